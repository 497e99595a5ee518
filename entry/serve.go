package entry

import (
	"context"
	"time"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/route"
	"marjorampitch/wire"
)

// maxAttempts bounds the attempts for one request.
const maxAttempts = 4

// run is the progress of one request that may be repeated.
type run struct {
	server *Server
	call   *call
	answer *answer
	parts  *assembler
	number uint32          // of the current attempt
	tried  map[string]bool // backend servers that are not to be picked again
	ran    api.Ran         // the worst case over all attempts
	last   *api.Error      // how the last attempt ended
	lost   bool            // the last attempt lost its connection
}

// serveIdempotent makes attempts until one delivers the whole answer or there
// is no point in another. The error is the caller's final answer.
func (s *Server) serveIdempotent(ctx context.Context, c *call, a *answer) *api.Error {
	r := &run{
		server: s,
		call:   c,
		answer: a,
		parts:  newAssembler(),
		tried:  make(map[string]bool),
	}
	s.countFirst()
	for r.number < maxAttempts {
		if !r.judge() {
			break
		}
		if r.number > 0 && !r.mayRetry() {
			break
		}
		if r.try(ctx) {
			return nil
		}
		if !r.another(ctx) {
			break
		}
	}
	return r.final()
}

// judge looks the request up among those that crash backend servers. It
// reports false when the request is refused for good.
func (r *run) judge() bool {
	switch r.server.node.Suspicion().Judge(r.call.fingerprint) {
	case admit.Refuse:
		r.last = api.NewError(api.Quarantined, "")
		return false
	case admit.RunAlone:
		r.call.alone = true
	}
	return true
}

// mayRetry takes a retry from the budget; an attempt that was refused before
// it ran costs the backend servers nothing and is free.
func (r *run) mayRetry() bool {
	if r.last.Ran == api.NotRun {
		return true
	}
	if !r.server.takeRetry() {
		return false
	}
	r.server.opt.Metrics.Retried()
	return true
}

// try makes one attempt, resumed as often as its connection is lost and comes
// back. It reports whether the answer is whole.
func (r *run) try(ctx context.Context) bool {
	span := r.server.startPick(ctx)
	l, ok := r.pick(ctx)
	span.End()
	if !ok {
		if r.last == nil {
			r.last = api.NewError(api.NoBackend, r.call.route.Pool)
		}
		r.number = maxAttempts
		return false
	}
	r.number++
	if r.number > 1 {
		r.parts.restart(r.number)
		r.answer.discard()
	}
	r.answer.servedBy = l.name
	r.answer.attempts = int(r.number)
	start := time.Now()
	ctx, span = r.server.startAttempt(ctx, l.name, r.number)
	out := r.attempt(ctx, l)
	endSpan(span, out.err)
	r.server.feedback(r.call, l.name, out, time.Since(start))
	if out.err == nil {
		return true
	}
	r.lost = out.lost || out.err.Code == api.NotResumable
	r.tried[l.name] = !r.lost // a lost connection says nothing about the server
	r.last = out.err
	r.ran = max(r.ran, out.err.Ran)
	return false
}

// pick chooses a backend server. When there is none but one whose connection
// was lost may be back soon, it waits for that.
func (r *run) pick(ctx context.Context) (*link, bool) {
	l, ok := r.server.pick(r.call, r.tried)
	if ok || !r.lost {
		return l, ok
	}
	ctx, stop := context.WithTimeout(ctx, resumeWait)
	defer stop()
	ticker := time.NewTicker(resumePoll)
	defer ticker.Stop()
	for !ok {
		select {
		case <-ctx.Done():
			return nil, false
		case <-ticker.C:
		}
		l, ok = r.server.pick(r.call, r.tried)
	}
	return l, true
}

// attempt sends the request to l and follows the answer across lost connections.
func (r *run) attempt(ctx context.Context, l *link) outcome {
	req := r.call.request(ctx, r.number, time.Now())
	lost := false
	for {
		req.Window = windowBytes
		x, e := l.open(func(stream uint64) wire.Message {
			req.Stream = stream
			return req
		})
		if e != nil {
			return outcome{err: afterSending(e, lost)}
		}
		out := follow(ctx, x, r.parts, r.answer)
		x.close()
		out.err = afterSending(out.err, lost)
		if !out.lost || !r.parts.resumable() {
			return out
		}
		if !l.await(ctx, x.conn) {
			l.witness(x.conn, r.call)
			return out
		}
		lost = true
		next := *req
		r.number++
		next.Attempt = r.number
		next.Resume = true
		next.ResumeFrom = r.parts.resume(r.number)
		next.BudgetMillis = time.Until(r.call.deadline).Milliseconds()
		req = &next
	}
}

// afterSending corrects an error that says "not run" of a resume: the request
// itself was sent before on a connection that was lost.
func afterSending(e *api.Error, lost bool) *api.Error {
	if e == nil || !lost || e.Ran != api.NotRun {
		return e
	}
	corrected := *e
	corrected.Ran = api.MayHaveRun
	return &corrected
}

// another reports whether a further attempt can help.
func (r *run) another(ctx context.Context) bool {
	switch r.last.Code {
	case api.Cancelled, api.DeadlineExceeded, api.Quarantined, api.BadRequest, api.KeyConflict:
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	if r.answer.begun() {
		return r.answer.stream && r.parts.restartable()
	}
	return true
}

// final is the caller's answer when no attempt delivered. "Not run" is said
// only if it holds for every attempt.
func (r *run) final() *api.Error {
	e := *r.last
	e.Ran = max(e.Ran, r.ran)
	return &e
}

// pick chooses a backend server that is not in tried. A request that is to run
// alone has one server, which all entries name alike.
func (s *Server) pick(c *call, tried map[string]bool) (*link, bool) {
	if c.alone {
		candidates, rows := s.table.candidates(c, nil)
		i, ok := route.TrialCandidate(c.fingerprint, candidates)
		if !ok || tried[candidates[i].Name] {
			return nil, false
		}
		return rows[i].link, true
	}
	candidates, rows := s.table.candidates(c, tried)
	req := route.Request{
		Organisation: c.organisation,
		Session:      c.session,
		Prefix:       c.prefix,
		Priority:     c.priority,
		Model:        c.model,
		Budget:       time.Until(c.deadline),
	}
	i, ok := s.policies.pick(&req, candidates)
	if !ok {
		return nil, false
	}
	return rows[i].link, true
}

// feedback tells the picker how an attempt ended.
func (s *Server) feedback(c *call, name string, out outcome, took time.Duration) {
	code := api.OK
	if out.err != nil {
		code = out.err.Code
	}
	s.opt.Metrics.AttemptDone(code)
	if out.firstChunk > 0 && c.streaming {
		s.opt.Metrics.FirstToken(out.firstChunk)
	}
	s.policies.done(route.Feedback{
		Candidate:  name,
		Session:    c.session,
		Code:       code,
		FirstToken: out.firstChunk,
		Total:      took,
	})
}
