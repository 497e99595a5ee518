package side

import (
	"context"
	"sync"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// Limits on the response data that an attempt buffers. Where many may run in little memory,
// each has less; see limitsFor.
const (
	maxUnsentBytes = 256 << 10 // reading from the backend server pauses at this much unsent data
	maxKeptBytes   = 2 << 20   // limit on buffered data, including sent chunks kept for a resume
	maxEventBytes  = api.MaxBodyBytes
	minKeptBytes   = 2 * maxChunkBytes
	// responseMemoryShare is the share of the process's memory for the responses that are
	// being read.
	responseMemoryShare = 0.4
)

// responseLimits bound what an attempt holds of its response, in bytes.
type responseLimits struct {
	kept  int // as maxKeptBytes
	event int // that is being read
}

// limitsFor returns the limits of each of so many attempts that run at once, in a process with
// this memory in bytes; 0 if that is not known.
func limitsFor(memory int64, running int) responseLimits {
	l := responseLimits{kept: maxKeptBytes, event: maxEventBytes}
	if memory > 0 {
		each := int(responseMemoryShare * float64(memory) / float64(2*max(running, 1)))
		l.kept, l.event = max(min(l.kept, each), minKeptBytes), max(min(l.event, each), minKeptBytes)
	}
	return l
}

// attempt is one execution of a request at the backend server. It buffers the
// response, which Server.sendResponse delivers to the current subscriber. It
// outlives its connection by resumeGrace, so that another connection can resume
// the response.
//
// mu guards the fields below it; no other lock is taken while it is held.
type attempt struct {
	req    *wire.Request
	limits responseLimits
	cancel context.CancelCauseFunc
	ticket *ticket

	mu          sync.Mutex
	head        *wire.Head
	first       uint64 // sequence number of chunks[0]
	chunks      [][]byte
	keptBytes   int        // bytes in chunks
	unsentBytes int        // bytes in chunks that have not been sent to any subscriber
	sentTo      uint64     // sequence number after the last chunk sent to any subscriber
	result      *api.Error // set with done; nil if the response is complete
	done        bool
	sub         *subscriber
	generation  uint64        // number of subscribers attached so far
	closed      bool          // no further subscriber may be attached
	changed     chan struct{} // closed and replaced on each change
}

// subscriber is the connection and stream that receive the response of an attempt.
type subscriber struct {
	conn    *wire.Conn
	stream  uint64
	attempt uint32
	next    uint64 // sequence number of the next chunk to send
	window  *window
	cancel  context.CancelFunc
}

func newAttempt(req *wire.Request, cancel context.CancelCauseFunc) *attempt {
	return &attempt{req: req, limits: limitsFor(0, 0), cancel: cancel, changed: make(chan struct{})}
}

// signal wakes all goroutines that wait for a change. The caller holds mu.
func (a *attempt) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// setHead stores the status and headers of the response.
func (a *attempt) setHead(status int, headers []wire.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &wire.Head{Status: status, Headers: headers}
	a.signal()
}

// addChunk appends one chunk of the response body. It blocks while unsentLimit is
// reached, and returns the cause of ctx if ctx ends first.
func (a *attempt) addChunk(ctx context.Context, data []byte) error {
	for {
		a.mu.Lock()
		if a.unsentBytes < a.unsentLimit() {
			a.appendChunk(data)
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

// unsentLimit returns the limit on unsent response data in bytes. It is higher
// for a non-idempotent call, whose response is read to the end even without a
// subscriber, because it is stored under the idempotency key.
func (a *attempt) unsentLimit() int {
	if a.req.Idempotent {
		return min(maxUnsentBytes, a.limits.kept)
	}
	return a.limits.kept
}

// appendChunk stores a chunk and discards the oldest sent chunks beyond
// limits.kept. The caller holds mu.
func (a *attempt) appendChunk(data []byte) {
	a.chunks = append(a.chunks, data)
	a.keptBytes += len(data)
	a.unsentBytes += len(data)
	limit := a.sentTo
	if a.sub != nil {
		limit = min(limit, a.sub.next)
	}
	for a.keptBytes > a.limits.kept && a.first < limit {
		a.keptBytes -= len(a.chunks[0])
		a.chunks[0] = nil
		a.chunks = a.chunks[1:]
		a.first++
	}
	a.signal()
}

// finish ends the response; result is nil if it is complete.
func (a *attempt) finish(result *api.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	a.result = result
	a.signal()
}

// attach makes s the subscriber and cancels the previous one. It returns false
// if the attempt is closed or the chunks from s.next on are not available.
func (a *attempt) attach(s *subscriber) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || s.next < a.first || s.next > a.first+uint64(len(a.chunks)) {
		return false
	}
	if a.sub != nil {
		a.sub.cancel()
	}
	a.sub = s
	a.generation++
	return true
}

// detach removes s. ok reports whether s was the current subscriber, so that the
// attempt now has none; generation identifies this state in a call of close.
func (a *attempt) detach(s *subscriber) (generation uint64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sub != s {
		return 0, false
	}
	a.sub = nil
	return a.generation, true
}

// close closes the attempt to subscribers, unless one was attached after the
// detach that returned generation. It reports whether the attempt is closed.
func (a *attempt) close(generation uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.generation != generation {
		return false
	}
	a.closed = true
	return true
}

// sendAction is the next action of Server.sendResponse. Exactly one of wait,
// head, chunk and done is set.
type sendAction struct {
	wait   <-chan struct{}
	head   *wire.Head
	chunk  []byte
	done   bool
	result *api.Error // with done; nil if the response is complete
	count  uint64     // with done: number of chunks in the response
}

// nextAction returns the next action for s; headSent reports whether s was sent
// the head.
func (a *attempt) nextAction(s *subscriber, headSent bool) sendAction {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil && !headSent {
		return sendAction{head: a.head}
	}
	if index := s.next - a.first; index < uint64(len(a.chunks)) {
		return sendAction{chunk: a.chunks[index]}
	}
	if a.done {
		return sendAction{done: true, result: a.result, count: a.first + uint64(len(a.chunks))}
	}
	return sendAction{wait: a.changed}
}

// markSent records that chunk s.next of the given size in bytes was sent to s.
func (a *attempt) markSent(s *subscriber, size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s.next++
	if s.next > a.sentTo {
		a.sentTo = s.next
		a.unsentBytes -= size
		a.signal()
	}
}

// incarnation returns the incarnation of the engine whose load report admitted
// the attempt; empty for a plain service.
func (a *attempt) incarnation() string {
	if a.ticket == nil {
		return ""
	}
	return a.ticket.incarnation
}
