package peerread

import (
	"net/netip"
	"time"

	"marjorampitch/store"
	"marjorampitch/wire"
)

// Limits on requests that wait for a record.
const (
	maxWait    = 2 * time.Second
	maxWaiting = 256
)

// Reply is an answer and the address that asked for it.
type Reply struct {
	To     netip.AddrPort
	Answer wire.LogAnswer
}

// Desk decides a reader's answers for one topic. It is a pure state machine and not
// safe for concurrent use.
type Desk struct {
	history history
	maxAge  time.Duration // age of the proof beyond which requests are refused
	waiting map[netip.AddrPort]waiting
	packer  packer
}

// waiting is a request that waits for a record.
type waiting struct {
	request  wire.LogRequest
	arrived  time.Duration
	deadline time.Duration
}

// NewDesk returns a Desk that refuses requests while its last complete read of the
// store is older than maxAge. The filter may be nil.
func NewDesk(maxAge time.Duration, filter Filter) *Desk {
	d := &Desk{history: history{filter: filter}, maxAge: maxAge, waiting: make(map[netip.AddrPort]waiting)}
	d.history.clear()
	return d
}

// Add records the result of a read of the store that began at start, and returns
// the answers to the requests that waited for it.
func (d *Desk) Add(now time.Duration, from store.Position, b *store.Batch, start time.Duration) []Reply {
	if from != d.history.next {
		d.Clear()
	}
	d.history.add(from, b, start)
	return d.release(func(w *waiting) bool { return now >= w.deadline || position(&w.request).Before(d.history.next) }, now)
}

// Clear forgets all records. Requests are refused until the next complete read.
func (d *Desk) Clear() {
	d.history.clear()
	d.packer.valid = false
}

// Request handles a request that arrived at the given time. It returns the answer, or, if
// the request waits for a record, the time at which Due answers it at the latest: when it
// has waited long enough, or when the records are no longer current. Only the last request
// of an address is kept.
func (d *Desk) Request(now, arrived time.Duration, to netip.AddrPort, r *wire.LogRequest) (replies []Reply, due time.Duration) {
	wait := min(time.Duration(r.WaitMillis)*time.Millisecond, maxWait)
	delete(d.waiting, to)
	h := &d.history
	if wait <= 0 || !d.current(now) || r.Era != h.next.Era || r.From < h.first || r.From < h.next.Offset {
		return []Reply{{To: to, Answer: d.answer(now, arrived, r)}}, 0
	}
	if len(d.waiting) >= maxWaiting {
		return []Reply{{To: to, Answer: wire.LogAnswer{Nonce: r.Nonce, Status: wire.LogRefused}}}, 0
	}
	due = min(now+wait, h.proof+d.maxAge+1)
	d.waiting[to] = waiting{request: *r, arrived: arrived, deadline: due}
	return nil, due
}

// Due returns the answers to the requests that have waited long enough.
func (d *Desk) Due(now time.Duration) []Reply {
	return d.release(func(w *waiting) bool { return now >= w.deadline }, now)
}

// release answers the waiting requests for which ready returns true.
func (d *Desk) release(ready func(*waiting) bool, now time.Duration) []Reply {
	var replies []Reply
	for to, w := range d.waiting {
		if ready(&w) {
			delete(d.waiting, to)
			replies = append(replies, Reply{To: to, Answer: d.answer(now, w.arrived, &w.request)})
		}
	}
	return replies
}

// position returns the position from which on a request wants records.
func position(r *wire.LogRequest) store.Position {
	return store.Position{Era: r.Era, Offset: r.From}
}

// current reports whether the last complete read is recent.
func (d *Desk) current(now time.Duration) bool {
	return d.history.proven && now-d.history.proof <= d.maxAge
}

// answer returns the answer to a request that arrived at the given time.
func (d *Desk) answer(now, arrived time.Duration, r *wire.LogRequest) wire.LogAnswer {
	if !d.current(now) {
		return wire.LogAnswer{Nonce: r.Nonce, Status: wire.LogRefused}
	}
	records, size, ok := d.history.since(position(r))
	if !ok {
		return wire.LogAnswer{Nonce: r.Nonce, Status: wire.LogGap}
	}
	a := wire.LogAnswer{
		Nonce: r.Nonce, Status: wire.LogOK, Era: d.history.next.Era, Next: d.history.next.Offset,
		Proof: int64(d.history.proof - arrived), Records: records,
	}
	if size > packedFrom {
		if a.Packed, ok = d.packer.pack(r.From, a.Next, records); !ok {
			return wire.LogAnswer{Nonce: r.Nonce, Status: wire.LogGap}
		}
		a.Records = nil
	}
	return a
}
