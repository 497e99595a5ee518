package side

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// admitWarm makes the engine warm with a limit of 3, as its reports say, and admits 3
// requests. It returns the ticket of the last.
func admitWarm(t *testing.T, l *limiter) *ticket {
	t.Helper()
	l.startedAt = time.Now().Add(-time.Minute) // what was in flight at the start has ended
	l.observe(l.now(), &backing.EngineReport{Incarnation: "a"})
	admit := func() *ticket {
		slot, e := l.cold.Admit(l.now(), false)
		require.Nil(t, e)
		return &ticket{incarnation: "a", slot: slot}
	}
	first, second := admit(), admit()
	l.cold.Finish(first.slot, l.now(), true)
	l.cold.Finish(second.slot, l.now(), true)
	require.Equal(t, 3, l.cold.Limit(l.now()))
	admit()
	admit()
	return admit()
}

// The report that verifies a new connection shows that the engine has turned cold since
// the request was admitted. The request must not be sent unless it is within the cold
// limit, here 2.
func TestRequestBeyondColdLimitIsNotSent(t *testing.T) {
	for ended, want := range map[bool]int64{false: 0, true: 1} {
		var reached atomic.Int64
		s := newTestServer(t, newCountingEngine(t, "a", &reached))
		l := s.limiter.Load()
		last := admitWarm(t, l)
		if ended {
			l.cold.Finish(last.slot-1, l.now(), true)
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		a := newAttempt(&wire.Request{Method: http.MethodPost, Path: "/chat", Idempotent: true}, cancel)
		a.ticket = last
		e := s.backend.run(ctx, a, func() *api.Error { return l.confirm(last) }, func() {})
		require.Equal(t, want, reached.Load())
		if want > 0 {
			require.Nil(t, e)
			continue
		}
		require.Equal(t, api.ColdLimit, e.Code)
		require.Equal(t, api.NotRun, e.Ran)
		require.NoError(t, ctx.Err(), "the attempt was not abandoned")
		require.Equal(t, 2, l.cold.InFlight())
	}
}

// A request that was sent on a reused connection, which the engine closed, is not sent
// again after the limit has shrunk, and may have run.
func TestRefusedRepetitionMayHaveRun(t *testing.T) {
	refuse := false
	_, cancel := context.WithCancelCause(t.Context())
	var cause *api.Error
	g := sendGate{
		confirm: func() *api.Error {
			if refuse {
				return api.NewError(api.ColdLimit, "")
			}
			return nil
		},
		cancel: func(err error) {
			require.ErrorAs(t, err, &cause)
			cancel(err)
		},
	}
	first, second := &gatedConn{}, &gatedConn{}
	g.check(first)
	require.Nil(t, cause)
	require.False(t, first.refused.Load())
	refuse = true
	g.check(second)
	require.Equal(t, api.MayHaveRun, cause.Ran)
	_, err := second.Write([]byte("x"))
	require.ErrorIs(t, err, errSendRefused)
}
