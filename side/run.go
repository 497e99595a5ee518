package side

import (
	"context"
	"time"

	"marjorampitch/api"
)

// runAttempt performs one attempt at the backend server. A worker of the pool
// calls it.
func (s *Server) runAttempt(ctx context.Context, a *attempt) {
	start := time.Now()
	l := s.limiter.Load()
	s.opt.Metrics.Admitted()
	ctx, span := s.startAttemptSpan(ctx, a.req)
	e := s.recheck(ctx)
	sent := e == nil
	if sent {
		confirm := func() *api.Error { return l.confirm(a.ticket) }
		e = s.backend.run(ctx, a, confirm, func() {
			s.opt.Metrics.FirstPart(time.Since(start))
			l.responseStarted(a.ticket)
		})
	}
	endSpan(span, e)
	if e != nil {
		s.handleFailure(l, e)
	} else {
		s.node.Quarantine().RecordCompletion(a.req.Fingerprint)
	}
	l.finish(a.ticket, e == nil, sent && abandoned(ctx, e))
	s.finishAttempt(a, e)
	code := api.OK
	if e != nil {
		code = e.Code
	}
	elapsed := time.Since(start)
	s.opt.Metrics.Done(code, elapsed)
	s.opt.Log.Debug("attempt", "request", a.req.RequestID, "attempt", a.req.Attempt, "code", int(code), "took", elapsed)
}

// recheck is the last check before a request is sent to the backend server. The
// Ran of its errors is NotRun.
func (s *Server) recheck(ctx context.Context) *api.Error {
	if cause := context.Cause(ctx); cause != nil {
		e := *causeError(cause)
		e.Ran = api.NotRun
		return &e
	}
	_, e := s.checkInService()
	return e
}

// abandoned reports whether this sidecar ended the attempt before the backend
// server did, so that the backend server may still be running it.
func abandoned(ctx context.Context, e *api.Error) bool {
	return e != nil && ctx.Err() != nil
}

// finishAttempt ends an attempt. It is removed by deliver, awaitResume or
// handleCancel.
func (s *Server) finishAttempt(a *attempt, e *api.Error) {
	if !a.req.Idempotent {
		s.keys.finish(a, e)
	}
	a.finish(e)
}

// removeAttempt removes a, which can no longer be resumed afterwards.
func (s *Server) removeAttempt(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[a.req.RequestID] == a {
		delete(s.attempts, a.req.RequestID)
	}
}
