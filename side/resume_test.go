package side

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

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
