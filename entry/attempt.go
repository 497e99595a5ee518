package entry

import (
	"context"
	"time"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// Timing of attempts.
const (
	progressTimeout = 10 * time.Second // a stream without any message for this long is given up
	resumeWait      = 2 * time.Second  // a lost connection must be back within this for a resume
	resumePoll      = 20 * time.Millisecond
)

// sink receives the answer of a request as attempts deliver it.
type sink interface {
	// head is called once an attempt's status and headers are known.
	head(h *wire.Head)
	// write passes on bytes of the answer, in order. Its error means that the caller went away.
	write(data []byte) error
}

// outcome is how an attempt ended.
type outcome struct {
	err        *api.Error    // nil when the answer is whole
	lost       bool          // the connection failed: the side process may still be at it
	firstChunk time.Duration // from sending to the first chunk; 0 when there was none
}

// follow receives the answer of one attempt and feeds it to the sink until
// the attempt ends, the connection fails or ctx ends.
func follow(ctx context.Context, x *exchange, a *assembler, out sink) outcome {
	start := time.Now()
	var first time.Duration
	timer := time.NewTimer(progressTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			x.cancel(a.attempt)
			return outcome{err: contextError(ctx), firstChunk: first}
		case <-timer.C:
			x.cancel(a.attempt)
			return outcome{err: api.NewError(api.StreamBroken, "no progress"), firstChunk: first}
		case <-x.inbox.ready:
		}
		timer.Reset(progressTimeout)
		messages, lost := x.inbox.take()
		if first == 0 && hasChunk(messages) {
			first = time.Since(start)
		}
		end, err := consume(messages, x, a, out)
		if err != nil || end {
			return outcome{err: err, firstChunk: first}
		}
		if lost != nil {
			return outcome{err: api.NewError(api.StreamBroken, lost.Error()), lost: true, firstChunk: first}
		}
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

// consume handles the messages of one stream; end reports that the answer is whole.
func consume(messages []wire.Message, x *exchange, a *assembler, out sink) (end bool, err *api.Error) {
	for _, m := range messages {
		switch m := m.(type) {
		case *wire.Head:
			if m.Attempt == a.attempt {
				out.head(m)
			}
		case *wire.Chunk:
			if e := consumeChunk(m, x, a, out); e != nil {
				return false, e
			}
		case *wire.End:
			a.end(m)
		case *wire.Refusal:
			if m.Attempt == a.attempt {
				return false, refusalError(m)
			}
		}
	}
	if !a.ended {
		return false, nil
	}
	if !a.whole() {
		return false, api.NewError(api.StreamBroken, "chunks are missing")
	}
	return true, nil
}

func consumeChunk(m *wire.Chunk, x *exchange, a *assembler, out sink) *api.Error {
	x.credit(len(m.Data))
	for _, data := range a.add(m) {
		if out.write(data) != nil {
			x.cancel(a.attempt)
			return api.NewError(api.Cancelled, "caller went away")
		}
	}
	if a.diverged {
		x.cancel(a.attempt)
		return api.NewError(api.StreamBroken, "restarted answer differs from what was delivered")
	}
	return nil
}

// refusalError turns a side's refusal into an Error.
func refusalError(m *wire.Refusal) *api.Error {
	return &api.Error{
		Code:       api.Code(m.Code),
		Ran:        api.Ran(m.Ran),
		RetryAfter: time.Duration(m.RetryAfterMillis) * time.Millisecond,
		Detail:     m.Detail,
	}
}

// contextError says why a request's context ended.
func contextError(ctx context.Context) *api.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return api.NewError(api.DeadlineExceeded, "")
	}
	return api.NewError(api.Cancelled, "caller went away")
}
