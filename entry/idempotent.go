package entry

import (
	"context"
	"time"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/route"
	"marjorampitch/wire"
)

// maxAttempts is the number of attempts for one request, resumes included, after
// which it is not retried. Refusals of earlier rounds do not count; see roomWait.
const maxAttempts = 4

// retryLoop is the state of one idempotent request across its attempts.
type retryLoop struct {
	server        *Server
	call          *call
	resp          *response
	asm           *assembler
	attemptNumber uint32 // 0 before the first attempt
	lastAttempt   uint32 // number of the last attempt of this round
	room          roomWait
	noBudget      bool            // the retry budget did not allow another attempt
	excluded      map[string]bool // backend servers not to be picked again
	maxRan        api.Ran         // maximum of Ran over the failed attempts
	lastErr       *api.Error      // error of the last attempt
	connLost      bool            // the last attempt lost its connection or could not be resumed
}

// serveIdempotent makes attempts until one completes the answer or a retry is not
// allowed or cannot help. The error is to be sent to the caller.
func (s *Server) serveIdempotent(ctx context.Context, c *call, resp *response) *api.Error {
	r := &retryLoop{
		server:      s,
		call:        c,
		resp:        resp,
		asm:         newAssembler(),
		lastAttempt: maxAttempts,
		excluded:    make(map[string]bool),
	}
	h := &held{buffers: s.opt.Buffers}
	defer h.release()
	r.asm.held, r.resp.held = h, h
	s.depositRetryBudget()
	for {
		if r.runRound(ctx) {
			return nil
		}
		if !r.canRetry(ctx) || !r.awaitRoom(ctx) {
			return r.finalError()
		}
	}
}

// runRound makes attempts, each on another backend server, and reports whether the
// answer is complete.
func (r *retryLoop) runRound(ctx context.Context) bool {
	for r.attemptNumber < r.lastAttempt {
		if !r.checkQuarantine() {
			return false
		}
		if r.attemptNumber > 0 && !r.allowRetry() {
			return false
		}
		l, ok := r.pickTraced(ctx)
		if !ok {
			return false
		}
		if r.tryBackend(ctx, l) {
			return true
		}
		if !r.canRetry(ctx) {
			return false
		}
	}
	return false
}

// checkQuarantine checks whether the request is suspected of crashing backend
// servers. It returns false if the request is refused, and sets call.alone if it
// may only run alone.
func (r *retryLoop) checkQuarantine() bool {
	switch r.server.node.Quarantine().Check(r.call.fingerprint) {
	case admit.Refuse:
		r.lastErr = api.NewError(api.Quarantined, "")
		return false
	case admit.RunAlone:
		r.call.alone = true
	}
	return true
}

// allowRetry reports whether the retry budget permits another attempt. A retry
// after an attempt that did not run is not charged, since the failed attempt put
// no load on the backend servers.
func (r *retryLoop) allowRetry() bool {
	if r.lastErr.Ran == api.NotRun {
		return true
	}
	if !r.server.withdrawRetry() {
		r.noBudget = true
		return false
	}
	r.server.opt.Metrics.Retried()
	return true
}

// pickTraced is pick with a span. If no server is usable, it sets lastErr unless
// an attempt did.
func (r *retryLoop) pickTraced(ctx context.Context) (*link, bool) {
	span := r.server.startPick(ctx)
	l, ok := r.pick(ctx)
	span.End()
	if !ok && r.lastErr == nil {
		r.lastErr = api.NewError(api.NoBackend, r.call.route.Pool)
	}
	return l, ok
}

// tryBackend sends the request to a backend server. It reports whether the answer
// is complete.
func (r *retryLoop) tryBackend(ctx context.Context, l *link) bool {
	r.beginAttempt()
	r.resp.servedBy = l.name
	r.resp.attempts = int(r.attemptNumber)
	start := time.Now()
	ctx, span := r.server.startAttempt(ctx, l.name, r.attemptNumber)
	out := r.sendWithResume(ctx, l)
	endSpan(span, out.err)
	r.server.reportOutcome(r.call, l.name, out, time.Since(start))
	if out.err == nil {
		return true
	}
	r.connLost = out.connLost || out.err.Code == api.NotResumable
	r.excluded[l.name] = !r.connLost // a lost connection is no evidence against the server
	r.lastErr = out.err
	if isLackOfRoom(out.err) {
		r.room.record(l.name, out.err)
	}
	r.maxRan = max(r.maxRan, out.err.Ran)
	return false
}

// beginAttempt begins an attempt on another backend server. If nothing was sent to
// the caller, the answer starts over; otherwise it continues after what was sent.
func (r *retryLoop) beginAttempt() {
	r.attemptNumber++
	if !r.resp.started() {
		r.asm.startOver(r.attemptNumber)
		r.resp.startOver()
		return
	}
	r.asm.restart(r.attemptNumber)
}

// pick picks a backend server. If none is usable and the last attempt lost its
// connection, it waits at most reconnectTimeout for one to become usable.
func (r *retryLoop) pick(ctx context.Context) (*link, bool) {
	l, ok := r.server.pick(r.call, r.excluded)
	if ok || !r.connLost {
		return l, ok
	}
	ctx, stop := context.WithTimeout(ctx, reconnectTimeout)
	defer stop()
	ticker := time.NewTicker(linkPollInterval)
	defer ticker.Stop()
	for !ok {
		select {
		case <-ctx.Done():
			return nil, false
		case <-ticker.C:
		}
		l, ok = r.server.pick(r.call, r.excluded)
	}
	return l, true
}

// sendWithResume sends the request to l and receives the answer. Whenever the
// connection is lost and re-established in time, it resumes the answer as a new
// attempt.
func (r *retryLoop) sendWithResume(ctx context.Context, l *link) outcome {
	req := r.call.wireRequest(ctx, r.attemptNumber, time.Now())
	resumed := false
	for {
		req.Window = windowBytes
		cs, e := l.open(func(stream uint64) wire.Message {
			req.Stream = stream
			return req
		})
		if e != nil {
			return outcome{err: correctRan(e, resumed)}
		}
		out := receiveAnswer(ctx, cs, r.asm, r.resp)
		cs.close()
		out.err = correctRan(out.err, resumed)
		if !out.connLost || !r.asm.resumable() {
			return out
		}
		if !l.awaitReconnect(ctx, cs.conn) {
			l.recordLoss(ctx, cs.conn, r.call)
			return out
		}
		resumed = true
		next := *req
		r.attemptNumber++
		next.Attempt = r.attemptNumber
		next.Resume = true
		next.ResumeFrom = r.asm.resume(r.attemptNumber)
		next.BudgetMillis = time.Until(r.call.deadline).Milliseconds()
		req = &next
	}
}

// correctRan replaces NotRun by MayHaveRun in the error of a resume: the original
// request was sent on a connection that was lost, and may have run.
func correctRan(e *api.Error, resumed bool) *api.Error {
	if e == nil || !resumed || e.Ran != api.NotRun {
		return e
	}
	corrected := *e
	corrected.Ran = api.MayHaveRun
	return &corrected
}

// canRetry reports whether another attempt can complete the answer.
func (r *retryLoop) canRetry(ctx context.Context) bool {
	switch r.lastErr.Code {
	case api.Cancelled, api.DeadlineExceeded, api.Quarantined, api.BadRequest, api.KeyConflict:
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	if r.resp.started() {
		return r.resp.streaming && r.asm.restartable()
	}
	return true
}

// finalError returns the error for the caller after the last attempt. Its Ran is
// NotRun only if no attempt ran.
func (r *retryLoop) finalError() *api.Error {
	e := *r.lastErr
	e.Ran = max(e.Ran, r.maxRan)
	return &e
}

// pick picks a backend server that is not in excluded. A request that must run
// alone may only use the server that route.TrialCandidate returns, which is the
// same for all front proxies.
func (s *Server) pick(c *call, excluded map[string]bool) (*link, bool) {
	if c.alone {
		candidates, members := s.links.candidates(c, nil)
		i, ok := route.TrialCandidate(c.fingerprint, candidates)
		if !ok || excluded[candidates[i].Name] {
			return nil, false
		}
		return members[i].link, true
	}
	candidates, members := s.links.candidates(c, excluded)
	req := route.Request{
		Organisation: c.organisation,
		Session:      c.session,
		Prefix:       c.prefix,
		Priority:     c.priority,
		Model:        c.model,
		Budget:       time.Until(c.deadline),
	}
	i, ok := s.policy.pick(&req, candidates)
	if !ok {
		return nil, false
	}
	return members[i].link, true
}

// reportOutcome reports the outcome of an attempt to the metrics and the routing policy.
func (s *Server) reportOutcome(c *call, name string, out outcome, elapsed time.Duration) {
	code := api.OK
	if out.err != nil {
		code = out.err.Code
	}
	s.opt.Metrics.AttemptDone(code)
	if out.firstChunk > 0 && c.streaming {
		s.opt.Metrics.FirstToken(out.firstChunk)
	}
	s.policy.feedback(route.Feedback{
		Candidate:  name,
		Session:    c.session,
		Code:       code,
		FirstToken: out.firstChunk,
		Total:      elapsed,
	})
}
