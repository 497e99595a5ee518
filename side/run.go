package side

import (
	"context"
	"time"

	"marjorampitch/api"
)

// run performs one attempt at the backend server, on a worker of the pool.
func (s *Server) run(ctx context.Context, a *attempt) {
	start := time.Now()
	l := s.limiter.Load()
	s.opt.Metrics.Admitted()
	ctx, span := s.startAttempt(ctx, a.req)
	e := s.recheck(ctx)
	sent := e == nil
	if sent {
		e = s.backend.run(ctx, a, func() {
			s.opt.Metrics.FirstPart(time.Since(start))
			l.answered(a.ticket)
		})
	}
	endSpan(span, e)
	if e != nil {
		s.broke(l, e)
	} else {
		s.node.Suspicion().Completed(a.req.Fingerprint)
	}
	l.finish(a.ticket, e == nil, sent && abandoned(ctx, e))
	s.drop(a, e)
	code := api.OK
	if e != nil {
		code = e.Code
	}
	took := time.Since(start)
	s.opt.Metrics.Done(code, took)
	s.opt.Log.Debug("attempt", "request", a.req.RequestID, "attempt", a.req.Attempt, "code", int(code), "took", took)
}

// recheck is the last check before a request is sent. Its refusals say "not run".
func (s *Server) recheck(ctx context.Context) *api.Error {
	if cause := context.Cause(ctx); cause != nil {
		e := *causeError(cause)
		e.Ran = api.NotRun
		return &e
	}
	_, e := s.inService()
	return e
}

// abandoned reports whether this side gave the attempt up, so that the
// backend server may still be at it.
func abandoned(ctx context.Context, e *api.Error) bool {
	return e != nil && ctx.Err() != nil
}

// drop closes an attempt. A streamed one is kept for a while, since its end
// may be lost with the connection; any other is forgotten once it is sent.
func (s *Server) drop(a *attempt, e *api.Error) {
	if !a.req.Idempotent {
		s.keys.end(a, e)
	}
	a.finish(e)
	if a.req.Streaming {
		time.AfterFunc(resumeGrace, func() { s.forget(a) })
	}
}

// forget makes a unknown: it can no longer be resumed.
func (s *Server) forget(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[a.req.RequestID] == a {
		delete(s.attempts, a.req.RequestID)
	}
}
