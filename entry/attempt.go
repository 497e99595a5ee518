package entry

import (
	"context"
	"time"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// Timeouts of attempts.
const (
	progressTimeout  = 10 * time.Second // an attempt is cancelled if no message arrives for this long while none is being passed on
	reconnectTimeout = 2 * time.Second  // how long a resume waits for a lost connection to be re-established
	linkPollInterval = 20 * time.Millisecond
)

// sink receives the answer to a request.
type sink interface {
	// head sets the status and headers. It is called for each attempt that receives them.
	head(h *wire.Head)
	// write appends data to the answer. An error that is no *api.Error means that the caller
	// disconnected.
	write(data []byte) error
}

// outcome is the result of an attempt.
type outcome struct {
	err        *api.Error    // nil if the answer is complete
	connLost   bool          // the connection was lost; the sidecar may still be serving the request
	firstChunk time.Duration // from sending the request to the first chunk; 0 if none arrived
}

// receiveAnswer passes the answer of one attempt to the sink until the attempt
// ends, the connection is lost or ctx is done. What has been received by then is
// passed on first, since it may complete the answer.
func receiveAnswer(ctx context.Context, cs *clientStream, asm *assembler, out sink) outcome {
	start := time.Now()
	var firstChunk time.Duration
	timer := time.NewTimer(progressTimeout)
	defer timer.Stop()
	for {
		done, expired := false, false
		select {
		case <-ctx.Done():
			done = true
		case <-timer.C:
			expired = true
		case <-cs.inbox.ready:
		}
		messages, connErr := cs.inbox.take()
		if expired && len(messages) == 0 && connErr == nil {
			cs.cancel(asm.attempt)
			return outcome{err: api.NewError(api.StreamBroken, "no progress"), firstChunk: firstChunk}
		}
		if firstChunk == 0 && hasChunk(messages) {
			firstChunk = time.Since(start)
		}
		complete, err := consume(messages, cs, asm, out)
		if err != nil || complete {
			return outcome{err: err, firstChunk: firstChunk}
		}
		if done {
			cs.cancel(asm.attempt)
			return outcome{err: contextError(ctx), firstChunk: firstChunk}
		}
		if connErr != nil {
			return outcome{err: api.NewError(api.StreamBroken, connErr.Error()), connLost: true, firstChunk: firstChunk}
		}
		timer.Reset(progressTimeout) // the time that the caller took to read does not count
	}
}

func hasChunk(messages []wire.Message) bool {
	for _, m := range messages {
		if _, ok := m.(*wire.Chunk); ok {
			return true
		}
	}
	return false
}

// consume handles the messages of one stream; complete is true if the answer is complete.
func consume(messages []wire.Message, cs *clientStream, asm *assembler, out sink) (complete bool, err *api.Error) {
	for _, m := range messages {
		switch m := m.(type) {
		case *wire.Head:
			if m.Attempt == asm.attempt {
				out.head(m)
			}
		case *wire.Chunk:
			if e := consumeChunk(m, cs, asm, out); e != nil {
				return false, e
			}
		case *wire.End:
			asm.end(m)
		case *wire.Refusal:
			if m.Attempt == asm.attempt {
				return false, refusalError(m)
			}
		}
	}
	if !asm.ended {
		return false, nil
	}
	if !asm.complete() {
		return false, api.NewError(api.StreamBroken, "chunks are missing")
	}
	return true, nil
}

func consumeChunk(m *wire.Chunk, cs *clientStream, asm *assembler, out sink) *api.Error {
	cs.grantCredit(len(m.Data))
	for _, data := range asm.add(m) {
		if err := out.write(data); err != nil {
			cs.cancel(asm.attempt)
			var e *api.Error
			if asError(err, &e) {
				return e
			}
			return api.NewError(api.Cancelled, "caller went away")
		}
	}
	if asm.diverged {
		cs.cancel(asm.attempt)
		return api.NewError(api.StreamBroken, "restarted answer differs from what was delivered")
	}
	return nil
}

// refusalError converts a sidecar's refusal into an Error.
func refusalError(m *wire.Refusal) *api.Error {
	return &api.Error{
		Code:       api.Code(m.Code),
		Ran:        api.Ran(m.Ran),
		RetryAfter: time.Duration(m.RetryAfterMillis) * time.Millisecond,
		Detail:     m.Detail,
	}
}

// contextError returns the error for a request whose context is done.
func contextError(ctx context.Context) *api.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return api.NewError(api.DeadlineExceeded, "")
	}
	return api.NewError(api.Cancelled, "caller went away")
}
