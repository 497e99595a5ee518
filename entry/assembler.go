package entry

import (
	"bytes"
	"encoding/json"

	"marjorampitch/wire"
)

// Limits of an assembler.
const (
	maxOutOfOrderChunks = 1024    // chunks buffered while an earlier one is missing
	maxRetainedBytes    = 1 << 20 // delivered bytes retained to verify a restarted answer
)

// assembler merges the chunks of all attempts at a request into one answer. It
// does no I/O. Invariants: every byte is delivered once and in order; chunks of
// any attempt but the current one are ignored; after a restart on another
// backend server nothing is delivered until the new attempt has repeated, event
// by event, everything delivered before.
type assembler struct {
	attempt    uint32
	nextSeq    uint64            // sequence number of the next chunk expected from the current attempt
	outOfOrder map[uint64][]byte // chunks that arrived ahead of nextSeq, by sequence number
	total      uint64            // number of chunks in the answer; valid once ended is set
	ended      bool

	delivered      [][]byte // delivered chunks, in order; nil if historyDropped
	retainedBytes  int      // size of delivered
	historyDropped bool     // delivered exceeded maxRetainedBytes or its room, so the answer cannot be restarted
	held           *held    // from which the room for delivered is taken
	unverified     int      // number of delivered chunks that the restarted attempt has yet to repeat
	diverged       bool     // the restarted attempt differs from the delivered chunks
}

func newAssembler() *assembler {
	return &assembler{attempt: 1, outOfOrder: make(map[uint64][]byte)}
}

// started reports whether any chunk was delivered.
func (a *assembler) started() bool { return len(a.delivered) > 0 || a.historyDropped }

// restartable reports whether another backend server may restart the answer.
func (a *assembler) restartable() bool { return !a.historyDropped && !a.diverged }

// resumable reports whether the answer can continue after the last chunk accepted.
func (a *assembler) resumable() bool { return !a.diverged }

// resume makes number the current attempt, which continues the answer. It
// returns the sequence number of the first chunk to be sent.
func (a *assembler) resume(number uint32) uint64 {
	a.reset(number, a.nextSeq)
	return a.nextSeq
}

// startOver makes number the current attempt and forgets all others, of which the
// caller has received nothing.
func (a *assembler) startOver(number uint32) {
	a.delivered, a.retainedBytes, a.historyDropped = nil, 0, false
	a.restart(number)
}

// restart makes number the current attempt, which repeats the answer from its start.
func (a *assembler) restart(number uint32) {
	a.reset(number, 0)
	a.unverified = len(a.delivered)
}

func (a *assembler) reset(number uint32, next uint64) {
	a.attempt = number
	a.nextSeq = next
	a.outOfOrder = make(map[uint64][]byte)
	a.ended = false
	a.total = 0
	a.diverged = false
}

// add accepts a chunk and returns the chunks that can now be delivered, in order.
func (a *assembler) add(m *wire.Chunk) [][]byte {
	if m.Attempt != a.attempt || m.Seq < a.nextSeq || a.diverged {
		return nil
	}
	if m.Seq > a.nextSeq {
		if len(a.outOfOrder) < maxOutOfOrderChunks {
			a.outOfOrder[m.Seq] = m.Data
		}
		return nil
	}
	var out [][]byte
	data, ok := m.Data, true
	for ok && !a.diverged {
		out = a.deliver(out, data)
		a.nextSeq++
		data, ok = a.outOfOrder[a.nextSeq]
		delete(a.outOfOrder, a.nextSeq)
	}
	return out
}

// deliver appends data, the next chunk in sequence, to out. After a restart it
// compares data with the chunk delivered before instead.
func (a *assembler) deliver(out [][]byte, data []byte) [][]byte {
	if a.unverified == 0 {
		a.retain(data)
		return append(out, data)
	}
	index := len(a.delivered) - a.unverified
	if !sameEvent(a.delivered[index], data) {
		a.diverged = true
		return out
	}
	a.unverified--
	return out
}

// end handles the end of an attempt.
func (a *assembler) end(m *wire.End) {
	if m.Attempt != a.attempt {
		return
	}
	a.ended = true
	a.total = m.Count
}

// complete reports whether the whole answer was received.
func (a *assembler) complete() bool {
	return a.ended && a.nextSeq == a.total && a.unverified == 0 && !a.diverged
}

// retain keeps a delivered chunk for verification. When the retained chunks exceed
// maxRetainedBytes or there is no room for them, it drops all of them.
func (a *assembler) retain(data []byte) {
	if a.historyDropped {
		return
	}
	a.retainedBytes += len(data)
	if a.retainedBytes > maxRetainedBytes || !a.held.reserve(len(data)) {
		a.delivered = nil
		a.historyDropped = true
		return
	}
	a.delivered = append(a.delivered, data)
}

// eventFields holds the fields of a completion event that sameEvent compares.
type eventFields struct {
	ID      string          `json:"id"`
	Choices json.RawMessage `json:"choices"`
}

// sameEvent reports whether two chunks are equivalent to a caller. Of two
// completion events it compares only the id and the choices, since the creation
// time may differ between two executions of a request.
func sameEvent(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, okX := parseEvent(a)
	y, okY := parseEvent(b)
	return okX && okY && x.ID == y.ID && bytes.Equal(x.Choices, y.Choices)
}

// parseEvent decodes a chunk that is a server-sent completion event. It returns
// false for any other chunk.
func parseEvent(data []byte) (eventFields, bool) {
	var fields eventFields
	payload, ok := bytes.CutPrefix(bytes.TrimSpace(data), []byte("data: "))
	if !ok || json.Unmarshal(payload, &fields) != nil {
		return fields, false
	}
	return fields, fields.Choices != nil
}
