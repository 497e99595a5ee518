package entry

import (
	"bytes"
	"encoding/json"

	"marjorampitch/wire"
)

// Bounds of an assembler.
const (
	maxEarlyChunks = 1024    // chunks held because an earlier one is missing
	maxDelivered   = 1 << 20 // bytes kept to verify a restarted answer
)

// assembler puts the chunks of a request's attempts into one answer. It does
// no I/O. The invariants: bytes leave it once and in order; chunks of an
// attempt other than the current one are ignored; after a restart on another
// backend server nothing leaves it before the new attempt has repeated, event
// by event, what already left.
type assembler struct {
	attempt uint32
	next    uint64            // sequence number of the next chunk of this attempt
	early   map[uint64][]byte // chunks that arrived before their turn
	count   uint64            // chunks of the whole answer, once known
	ended   bool

	delivered [][]byte // every chunk that left, in order, until there are too many
	kept      int      // bytes in delivered
	forgot    bool     // delivered was dropped: the answer cannot be restarted
	verify    int      // chunks of delivered still to be repeated by a restarted attempt
	diverged  bool     // the restarted attempt differs from what was delivered
}

func newAssembler() *assembler {
	return &assembler{attempt: 1, early: make(map[uint64][]byte)}
}

// started reports whether any chunk was delivered.
func (a *assembler) started() bool { return len(a.delivered) > 0 || a.forgot }

// restartable reports whether another backend server may begin the answer anew.
func (a *assembler) restartable() bool { return !a.forgot && !a.diverged }

// resumable reports whether the answer can go on after the last chunk taken.
func (a *assembler) resumable() bool { return !a.diverged }

// resume makes number the current attempt; it continues after the last delivered chunk.
func (a *assembler) resume(number uint32) uint64 {
	a.reset(number, a.next)
	return a.next
}

// restart makes number the current attempt; it begins the answer anew.
func (a *assembler) restart(number uint32) {
	a.reset(number, 0)
	a.verify = len(a.delivered)
}

func (a *assembler) reset(number uint32, next uint64) {
	a.attempt = number
	a.next = next
	a.early = make(map[uint64][]byte)
	a.ended = false
	a.count = 0
	a.diverged = false
}

// add takes one chunk and returns the bytes that may now leave, in order.
func (a *assembler) add(m *wire.Chunk) [][]byte {
	if m.Attempt != a.attempt || m.Seq < a.next || a.diverged {
		return nil
	}
	if m.Seq > a.next {
		if len(a.early) < maxEarlyChunks {
			a.early[m.Seq] = m.Data
		}
		return nil
	}
	var out [][]byte
	data, ok := m.Data, true
	for ok && !a.diverged {
		out = a.take(out, data)
		a.next++
		data, ok = a.early[a.next]
		delete(a.early, a.next)
	}
	return out
}

// take delivers one chunk in its turn, or checks it against the delivered ones.
func (a *assembler) take(out [][]byte, data []byte) [][]byte {
	if a.verify == 0 {
		a.remember(data)
		return append(out, data)
	}
	index := len(a.delivered) - a.verify
	if !sameEvent(a.delivered[index], data) {
		a.diverged = true
		return out
	}
	a.verify--
	return out
}

// end records the end of the current attempt.
func (a *assembler) end(m *wire.End) {
	if m.Attempt != a.attempt {
		return
	}
	a.ended = true
	a.count = m.Count
}

// whole reports whether the answer is complete.
func (a *assembler) whole() bool {
	return a.ended && a.next == a.count && a.verify == 0 && !a.diverged
}

// remember keeps a delivered chunk, or drops them all when there are too many.
func (a *assembler) remember(data []byte) {
	if a.forgot {
		return
	}
	a.kept += len(data)
	if a.kept > maxDelivered {
		a.delivered = nil
		a.forgot = true
		return
	}
	a.delivered = append(a.delivered, data)
}

// eventFields are the fields of a streamed completion that callers read.
type eventFields struct {
	ID      string          `json:"id"`
	Choices json.RawMessage `json:"choices"`
}

// sameEvent reports whether a caller reads the same in two chunks. Times of
// creation may differ between two runs of one request, so of two completion
// events only the id and the choices count.
func sameEvent(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, okX := parseEvent(a)
	y, okY := parseEvent(b)
	return okX && okY && x.ID == y.ID && bytes.Equal(x.Choices, y.Choices)
}

// parseEvent reads the payload of one server-sent completion event.
func parseEvent(data []byte) (eventFields, bool) {
	var fields eventFields
	payload, ok := bytes.CutPrefix(bytes.TrimSpace(data), []byte("data: "))
	if !ok || json.Unmarshal(payload, &fields) != nil {
		return fields, false
	}
	return fields, fields.Choices != nil
}
