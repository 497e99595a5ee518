package side

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/wire"
)

func newSubscriber(stream uint64) *subscriber {
	return &subscriber{stream: stream, window: newWindow(100), cancel: func() {}}
}

// A second loss of the connection starts a grace period of its own.
func TestResumeGraceCountsFromLatestLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{streams: make(map[streamKey]*subscription), attempts: make(map[string]*attempt)}
		var cancelled atomic.Bool
		a := newAttempt(&wire.Request{RequestID: "r", Idempotent: true, Streaming: true}, func(error) { cancelled.Store(true) })
		s.attempts["r"] = a
		lose := func(stream uint64) {
			sub := newSubscriber(stream)
			require.True(t, a.attach(sub))
			s.awaitResume(&subscription{attempt: a, sub: sub})
		}
		lose(1)
		time.Sleep(resumeGrace - 100*time.Millisecond)
		lose(2) // resumed and lost again
		time.Sleep(resumeGrace / 2)
		require.False(t, cancelled.Load(), "cancelled 100 ms after its connection was lost")
		time.Sleep(resumeGrace)
		synctest.Wait()
		require.True(t, cancelled.Load(), "cancelled at the end of the second grace period")
		require.Empty(t, s.attempts)
	})
}

// A resume that arrives while the attempt is being cancelled is refused.
func TestCancelledAttemptIsNotResumed(t *testing.T) {
	loss := func(s *Server, a *attempt, sub *subscriber) {
		s.awaitResume(&subscription{attempt: a, sub: sub})
		time.Sleep(resumeGrace)
	}
	callerGone := func(s *Server, a *attempt, sub *subscriber) {
		s.streams[streamKey{nil, sub.stream}] = &subscription{attempt: a, sub: sub}
		s.handleCancel(nil, &wire.Cancel{Stream: sub.stream})
	}
	for name, end := range map[string]func(*Server, *attempt, *subscriber){"grace period over": loss, "caller gone": callerGone} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{streams: make(map[streamKey]*subscription), attempts: make(map[string]*attempt)}
				var a *attempt
				cancelled, resumed := false, false
				a = newAttempt(&wire.Request{RequestID: "r", Idempotent: true, Streaming: true}, func(error) {
					cancelled, resumed = true, a.attach(newSubscriber(2))
				})
				s.attempts["r"] = a
				sub := newSubscriber(1)
				require.True(t, a.attach(sub))
				end(s, a, sub)
				synctest.Wait()
				require.True(t, cancelled)
				require.False(t, resumed)
			})
		})
	}
}

// An attempt whose caller has gone is not kept.
func TestCancelledAttemptIsRemoved(t *testing.T) {
	for name, req := range map[string]*wire.Request{
		"idempotent":     {RequestID: "r", Idempotent: true},
		"stream":         {RequestID: "r", Idempotent: true, Streaming: true},
		"not idempotent": {RequestID: "r", Key: "k"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{streams: make(map[streamKey]*subscription), attempts: make(map[string]*attempt), keys: newKeyTable("i1")}
				ctx, cancel := context.WithCancelCause(context.Background())
				a := newAttempt(req, cancel)
				s.attempts["r"] = a
				stop := s.deliverTo(newSubscriber(1), a)
				s.handleCancel(nil, &wire.Cancel{Stream: 1})
				require.Equal(t, req.Idempotent, ctx.Err() != nil)
				s.finishAttempt(a, api.NewError(api.Cancelled, "")) // as the call to the backend server ends
				<-stop
				time.Sleep(2 * resumeGrace)
				synctest.Wait()
				require.Empty(t, s.attempts)
			})
		})
	}
}

// A stream that a slow caller reads after its end can be resumed when it is lost.
func TestSlowlyDeliveredStreamIsKeptForResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{streams: make(map[streamKey]*subscription), attempts: make(map[string]*attempt)}
		a := newAttempt(&wire.Request{RequestID: "r", Idempotent: true, Streaming: true}, func(error) {})
		s.attempts["r"] = a
		require.NoError(t, a.addChunk(t.Context(), []byte("token")))
		sub := newSubscriber(1)
		sub.window = newWindow(0)
		ended := s.deliverTo(sub, a)
		s.finishAttempt(a, nil)
		time.Sleep(resumeGrace + time.Second)
		synctest.Wait()
		require.True(t, s.keeps(a), "while it is delivered")
		s.awaitResume(s.streams[streamKey{nil, 1}]) // as the connection is lost
		<-ended
		time.Sleep(resumeGrace - time.Second)
		require.True(t, s.keeps(a), "within the grace period")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Empty(t, s.attempts)
	})
}

func (s *Server) keeps(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[a.req.RequestID] == a
}

// deliverTo starts to deliver the response of a to sub. The channel is closed when
// the delivery has ended.
func (s *Server) deliverTo(sub *subscriber, a *attempt) <-chan struct{} {
	ctx, cancel := context.WithCancel(context.Background())
	sub.cancel = cancel
	a.attach(sub)
	key := streamKey{nil, sub.stream}
	s.streams[key] = &subscription{attempt: a, sub: sub}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.deliver(ctx, key, a, sub)
	}()
	synctest.Wait()
	return ended
}
