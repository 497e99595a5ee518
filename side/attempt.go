package side

import (
	"context"
	"sync"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// Bounds of the answer that an attempt keeps.
const (
	maxUnsentBytes = 256 << 10 // the backend server is not read beyond this much unsent answer
	maxKeptBytes   = 2 << 20   // sent chunks are kept for a resume up to this much
)

// attempt is one run of a request at the backend server. The producer adds
// to it; a pump sends it to the connection that asked last. It outlives its
// connection for a while, so that the answer can be resumed on another one.
//
// mu guards the fields below it; no other lock is taken while it is held.
type attempt struct {
	req    *wire.Request
	cancel context.CancelCauseFunc
	ticket *ticket

	mu      sync.Mutex
	head    *wire.Head
	first   uint64 // sequence number of chunks[0]
	chunks  [][]byte
	kept    int // bytes in chunks
	unsent  int // bytes in chunks that no pump has sent
	sentTo  uint64
	result  *api.Error // set with done, nil when the answer is whole
	done    bool
	sub     *subscriber
	changed chan struct{} // closed and replaced at each change
}

// subscriber is the connection and stream that an attempt's answer goes to.
type subscriber struct {
	conn    *wire.Conn
	stream  uint64
	attempt uint32
	next    uint64 // sequence number of the next chunk to send
	window  *window
	cancel  context.CancelFunc
}

func newAttempt(req *wire.Request, cancel context.CancelCauseFunc) *attempt {
	return &attempt{req: req, cancel: cancel, changed: make(chan struct{})}
}

// signal wakes everyone who waits for a change. The caller holds mu.
func (a *attempt) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// setHead records the start of the answer.
func (a *attempt) setHead(status int, headers []wire.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &wire.Head{Status: status, Headers: headers}
	a.signal()
}

// add appends one chunk, waiting while too much of the answer is unsent.
func (a *attempt) add(ctx context.Context, data []byte) error {
	for {
		a.mu.Lock()
		if a.unsent < a.maxUnsent() {
			a.append(data)
			a.mu.Unlock()
			return nil
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		}
	}
}

// maxUnsent bounds the unsent answer. That of a call that may not repeat is
// read to its end without a receiver, since it is kept for its key.
func (a *attempt) maxUnsent() int {
	if a.req.Idempotent {
		return maxUnsentBytes
	}
	return maxKeptBytes
}

// append stores a chunk and forgets the oldest sent ones. The caller holds mu.
func (a *attempt) append(data []byte) {
	a.chunks = append(a.chunks, data)
	a.kept += len(data)
	a.unsent += len(data)
	limit := a.sentTo
	if a.sub != nil {
		limit = min(limit, a.sub.next)
	}
	for a.kept > maxKeptBytes && a.first < limit {
		a.kept -= len(a.chunks[0])
		a.chunks[0] = nil
		a.chunks = a.chunks[1:]
		a.first++
	}
	a.signal()
}

// finish closes the answer; result is nil when it is whole.
func (a *attempt) finish(result *api.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	a.result = result
	a.signal()
}

// attach makes s the receiver of the answer, in place of an earlier one.
// It reports false when the chunks from s.next on are no longer kept.
func (a *attempt) attach(s *subscriber) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.next < a.first || s.next > a.first+uint64(len(a.chunks)) {
		return false
	}
	if a.sub != nil {
		a.sub.cancel()
	}
	a.sub = s
	return true
}

// detach removes s and reports whether the attempt then has no receiver.
func (a *attempt) detach(s *subscriber) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sub != s {
		return false
	}
	a.sub = nil
	return true
}

// step is the next thing for a pump to do: exactly one of its fields is set.
type step struct {
	wait   <-chan struct{}
	head   *wire.Head
	chunk  []byte
	done   bool
	result *api.Error
	count  uint64
}

// next returns what the pump of s has to do; headSent says whether it sent the head.
func (a *attempt) next(s *subscriber, headSent bool) step {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil && !headSent {
		return step{head: a.head}
	}
	if index := s.next - a.first; index < uint64(len(a.chunks)) {
		return step{chunk: a.chunks[index]}
	}
	if a.done {
		return step{done: true, result: a.result, count: a.first + uint64(len(a.chunks))}
	}
	return step{wait: a.changed}
}

// sent records that s sent its next chunk.
func (a *attempt) sent(s *subscriber, size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s.next++
	if s.next > a.sentTo {
		a.sentTo = s.next
		a.unsent -= size
		a.signal()
	}
}

// orphaned reports whether nobody receives the answer.
func (a *attempt) orphaned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sub == nil
}

// incarnation returns that of the engine on whose word the attempt was
// admitted; empty for a plain service.
func (a *attempt) incarnation() string {
	if a.ticket == nil {
		return ""
	}
	return a.ticket.incarnation
}
