package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/backend"
	"marjorampitch/fleet"
	"marjorampitch/internal/callerconn"
	"marjorampitch/internal/clock"
	"marjorampitch/internal/idleconn"
	"marjorampitch/pace"
)

// Limits of forwarding.
const (
	// maxServerAttempts bounds the attempts of one call of forward, including those
	// that fail to connect, and separately those that are to replace silent ones. A
	// stream that queues for admission again starts anew.
	maxServerAttempts = 4
	// firstAttemptShare is the fraction of the remaining time that the first
	// attempt of a plain request gets when another attempt may follow.
	firstAttemptShare = 0.4
	// minAttemptTargets is the minimum time of an attempt, as a multiple of the
	// route's latency objective.
	minAttemptTargets = 3
	// maxRefusalBytes and refusalTimeout bound the body of a response that states that
	// the request did not run.
	maxRefusalBytes = 64 << 10
	refusalTimeout  = 100 * time.Millisecond
	// maxResponseBytes bounds a buffered response.
	maxResponseBytes = 16 << 20
)

// retryAfterHeader says when to return with a request that was turned away.
const retryAfterHeader = "Retry-After"

// hopByHopHeaders are not forwarded, since they apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// acquireSlot waits until the gate of the service admits the stream. The error
// is the final response; release ends the admission.
func (g *Gateway) acquireSlot(ctx context.Context, c *call) (release func(), refusal *api.Error) {
	s := c.service
	gate := g.gate(s, c.view, c.route)
	if c.ticket == nil {
		c.ticket = &pace.Ticket{Objective: c.route.TargetLatency, Retry: c.retried, Priority: c.priorityClass()}
	}
	t := c.ticket
	t.Reset()
	ready := make(chan struct{})
	s.mu.Lock()
	s.objective = c.route.TargetGap
	if !g.mayStart(c) {
		s.mu.Unlock()
		return nil, g.retryElsewhere(api.Leaving, "")
	}
	gate.SetObjective(c.route.TargetGap)
	gate.SetPrioritized(c.prioritized())
	start := g.now()
	accepted := gate.AdmitOrQueue(start, t)
	s.wake(gate.TakeDisplaced())
	switch {
	case !accepted:
		detail := "no place in time: " + gate.Explain(start, t)
		stopped := gate.AllStalled()
		s.mu.Unlock()
		if stopped {
			return nil, api.NewError(api.GroupStalled, detail)
		}
		return nil, api.NewError(api.Overloaded, detail)
	case !t.Admitted():
		s.waiters[t] = ready
	}
	queued := !t.Admitted()
	s.mu.Unlock()
	release = func() { s.release(g.now(), t) }
	if !queued {
		return release, nil
	}
	timer := time.NewTimer(t.WaitDeadline() - g.now())
	defer timer.Stop()
	defer func() { c.queueTime += g.now() - start }()
	select {
	case <-ready:
		if t.Admitted() {
			return release, nil
		}
		if !g.mayStart(c) {
			return nil, g.retryElsewhere(api.Leaving, "waited")
		}
		s.mu.Lock()
		detail := "displaced by a higher priority: " + gate.Explain(g.now(), t)
		s.mu.Unlock()
		return nil, api.NewError(api.Overloaded, detail)
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	cancelled := gate.Cancel(t)
	delete(s.waiters, t)
	detail := "waited in vain: " + gate.Explain(g.now(), t)
	s.mu.Unlock()
	if !cancelled { // admitted just as the wait ended
		return release, nil
	}
	return nil, api.NewError(api.Overloaded, detail)
}

// forward sends the request to servers until one answers or no attempt is left.
// It reports false when the rank group has stalled and the request was not
// executed, so that it may queue again.
func (g *Gateway) forward(ctx context.Context, c *call) bool {
	if c.sentAttempts == 0 {
		c.service.depositRetry()
	}
	c.replacements.reset()
	defer g.dropReplacements(c)
	var last *api.Error
	for n := 0; n < maxServerAttempts || c.replacements.pending(); n++ {
		var done bool
		var failure *api.Error
		if c.replacements.pending() {
			done, failure = g.adoptReplacement(c)
		} else {
			var refusal *api.Error
			done, failure, refusal = g.nextAttempt(ctx, c, last)
			if failure == nil && !done {
				last = refusal
				break
			}
		}
		if done {
			return true
		}
		last = failure
		if c.replacements.pending() && !g.expired(ctx, c) {
			continue
		}
		g.dropReplacements(c)
		if failure.Code == api.GroupStalled && !c.mayHaveRun {
			return false
		}
		if g.expired(ctx, c) || failure.Ran != api.NotRun && !c.route.Retryable() {
			break
		}
		if c.brokenOff && !(g.crashes.mayRepeat(c, g.now()) && g.awaitRepeat(ctx, c)) {
			c.noAttempt = "crash suspected"
			break
		}
	}
	g.fail(ctx, c, last)
	return true
}

// nextAttempt sends the request to one more server. If no attempt was made, failure is nil
// and refusal, which may be nil, says why; last is the failure of the attempt before.
func (g *Gateway) nextAttempt(ctx context.Context, c *call, last *api.Error) (done bool, failure, refusal *api.Error) {
	if !g.mayStart(c) {
		c.noAttempt = "stopping"
		if c.mayHaveRun {
			return false, nil, last
		}
		return false, nil, g.retryElsewhere(api.Leaving, "")
	}
	if c.attempts >= c.route.MaxAttempts {
		c.noAttempt = "attempts used up"
		return false, nil, last
	}
	if c.sentAttempts > 0 && !c.retryTaken && !c.service.takeRetry() {
		c.noAttempt = "no retry budget"
		return false, nil, last
	}
	c.retryTaken = false
	view := g.opts.Cache.View() // may have changed since the request arrived
	if !c.headSent {            // a stream that goes on has had an answer
		if refusal := g.crashes.begin(c, view, g.now()); refusal != nil {
			return false, nil, refusal
		}
		defer g.crashes.end(c)
	}
	members := view.Services[c.service.name]
	m := c.service.pickByCost(members, c.group(), c.tried, g.now(), g.coldPolicy(c), &c.cost)
	if m == nil {
		c.noAttempt = "no server"
		return false, nil, g.noServer(c, members, last)
	}
	if c.headSent {
		g.metrics.resumes.Inc()
	}
	done, failure = g.attempt(ctx, c, m)
	g.recordCost(c, done)
	return done, failure, nil
}

// noServer returns the refusal of a request for which no server is left. last is the
// failure of its last attempt; nil for none.
func (g *Gateway) noServer(c *call, members []*fleet.Member, last *api.Error) *api.Error {
	switch {
	case last == nil:
		return g.statements.refusal(c.service.name, members, g.now())
	case last.Ran == api.NotRun: // the ends of rests say better when to return
		if refusal := g.statements.restRefusal(members, g.now()); refusal != nil {
			return refusal
		}
	}
	return last
}

// awaitRepeat waits until the repeat of a request that a server has broken off tells
// its crashes apart. It returns false if the request ends meanwhile. Requests without a
// prompt are not delayed: their objectives are short, and faults other than crashes
// break them off, too.
func (g *Gateway) awaitRepeat(ctx context.Context, c *call) bool {
	if len(c.features[causePart]) == 0 {
		return true
	}
	clock.Sleep(ctx, admit.PartRepeatDelay)
	return !g.expired(ctx, c)
}

// fail ends a request that no server has answered completely.
func (g *Gateway) fail(ctx context.Context, c *call, last *api.Error) {
	evicted := callerEvicted(c.r)
	if c.headSent {
		g.recordEnd(c, api.StreamBroken, "detail", detail(last), "last_event", c.lastEventID, "no_attempt", c.noAttempt,
			"caller_cut", evicted)
		panic(http.ErrAbortHandler) // abort, so that the response does not look complete
	}
	switch {
	case stopped(c.r.Context()) && c.mayHaveRun:
		g.reject(c, api.NewError(api.Unresolved, "process stops: "+detail(last)))
	case stopped(c.r.Context()):
		g.reject(c, g.retryElsewhere(api.Leaving, ""))
	case c.r.Context().Err() != nil:
		g.recordEnd(c, api.Cancelled, "caller_cut", evicted)
		panic(http.ErrAbortHandler)
	case g.expired(ctx, c) && c.mayHaveRun:
		g.reject(c, api.NewError(api.DeadlineExceeded, detail(last)))
	case c.mayHaveRun:
		g.reject(c, api.NewError(api.Unresolved, detail(last)))
	case last != nil:
		g.reject(c, last)
	default:
		g.reject(c, api.NewError(api.NoBackend, ""))
	}
}

// deadlineSlack is the time left at which a deadline counts as passed: a
// connection may time out shortly before its context does.
const deadlineSlack = 10 * time.Millisecond

// expired reports whether the deadline has passed or the caller has disconnected.
func (g *Gateway) expired(ctx context.Context, c *call) bool {
	return ctx.Err() != nil || g.timeLeft(c) <= deadlineSlack
}

// detail returns the text of an error; empty for nil.
func detail(e *api.Error) string {
	if e == nil {
		return ""
	}
	return e.Error()
}

// attempt sends the request to one server. done means that the caller has the
// complete response; otherwise failure.Ran says whether the server may have
// executed the request.
func (g *Gateway) attempt(ctx context.Context, c *call, m *fleet.Member) (done bool, failure *api.Error) {
	c.tried = append(c.tried, m.ID)
	ctx, cancel := context.WithTimeout(ctx, g.attemptTimeout(c))
	defer cancel()
	if ctx.Err() != nil { // nothing was sent, and the server is not at fault
		c.service.attemptEnded(m, g.now(), severityNone)
		return false, api.NewError(api.Unreachable, m.ID)
	}
	began := g.now()
	request := g.request(c, m)
	g.watchFirstResponse(c, m, request)
	resp, err := g.pool.Do(ctx, m.Address, request)
	if failure := g.settle(ctx, c, m, resp, err, began); failure != nil {
		return false, failure
	}
	return g.forwardAnswer(ctx, c, m, resp, began)
}

// settle records what became of an attempt up to the head of its response. It returns nil
// if the response is the answer to the request.
func (g *Gateway) settle(ctx context.Context, c *call, m *fleet.Member, resp *backend.Response, err error, sent time.Duration) *api.Error {
	if errors.Is(err, backend.ErrNoSocket) {
		c.service.attemptEnded(m, g.now(), severityNone)
		return g.retryElsewhere(api.BuffersFull, "connections to servers")
	}
	if errors.Is(err, backend.ErrDial) {
		if c.r.Context().Err() != nil || errors.Is(err, backend.ErrPaused) {
			c.service.attemptEnded(m, g.now(), severityNone)
		} else {
			c.service.dialFailed(m, g.now())
		}
		if backend.Refused(err) {
			g.crashes.serverDown(m.ID, "refused", g.now())
		}
		return api.NewError(api.Unreachable, m.ID)
	}
	c.sentAttempts++
	if c.sentAttempts > 1 {
		g.metrics.retries.Inc()
	}
	if err != nil {
		c.mayHaveRun = true
		c.attempts++
		g.attemptFailed(ctx, c, m, sent, err)
		return &api.Error{Code: api.Unresolved, Ran: api.MayHaveRun, Detail: m.ID + ": " + err.Error()}
	}
	g.statements.observe(m, resp.Response, g.now())
	if g.notExecuted(resp) {
		return g.handleNotExecuted(c, m, resp)
	}
	c.mayHaveRun = true
	c.attempts++
	return nil
}

// forwardAnswer forwards the response to an attempt for which settle returned nil.
func (g *Gateway) forwardAnswer(ctx context.Context, c *call, m *fleet.Member, resp *backend.Response, sent time.Duration) (bool, *api.Error) {
	if conn := idleconn.Conn(c.r); conn != nil {
		conn.Served()
	}
	if isStream(resp.Response) && resp.StatusCode == http.StatusOK {
		return g.forwardStream(ctx, c, m, resp, sent)
	}
	return g.forwardResponse(ctx, c, m, resp, sent)
}

// pauseSlack is the time after a deadline from which on this process counts as having been
// paused as the deadline passed.
const pauseSlack = 200 * time.Millisecond

// pausedAtDeadline reports whether this process was paused as the deadline passed. What the
// server has sent until then was not read.
func pausedAtDeadline(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Since(deadline) > pauseSlack
}

// attemptFailed records an attempt without a complete response. If the caller
// has disconnected, there is no room for the response, or the time was over after a pause
// of this process, the server is not at fault.
func (g *Gateway) attemptFailed(ctx context.Context, c *call, m *fleet.Member, sent time.Duration, err error) {
	if c.r.Context().Err() != nil || errors.Is(err, callerconn.ErrNoRoom) || pausedAtDeadline(ctx) {
		c.service.attemptEnded(m, g.now(), severityNone)
		return
	}
	c.service.attemptEnded(m, g.now(), severityFailed)
	g.opts.Log.Warn("attempt-failed", "request", c.id, "server", m.ID, "attempt", c.attempts,
		"last_event", c.lastEventID, "err", err)
	if ctx.Err() == nil && !c.headSent && backend.ClosedByServer(err) {
		c.brokenOff = true
		g.crashes.broke(c, m, sent, g.now())
	}
}

// attemptTimeout returns the time for one attempt: all the time left, unless
// another server may be tried afterwards.
func (g *Gateway) attemptTimeout(c *call) time.Duration {
	left := g.timeLeft(c)
	if c.route.Kind != fleet.Idempotent || c.attempts+1 >= c.route.MaxAttempts {
		return left
	}
	return min(left, max(minAttemptTargets*c.route.TargetLatency, time.Duration(firstAttemptShare*float64(left))))
}

// request builds the request for a server.
func (g *Gateway) request(c *call, m *fleet.Member) *backend.Request {
	n := &g.opts.Headers
	h := c.r.Header.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for _, name := range n.Reserved {
		h.Del(name)
	}
	h.Del(n.Key)
	h.Del(n.Organisation)
	if c.org != "" {
		h.Set(n.Organisation, c.org)
	}
	h.Set(n.ExpectServer, m.ID)
	h.Set(n.Deadline, strconv.FormatInt(max(g.timeLeft(c).Milliseconds(), 1), 10))
	if n.Priority != "" && c.prioritized() {
		h.Set(n.Priority, strconv.Itoa(min(c.priorityClass(), lowestServerPriority)))
	}
	if c.lastEventID >= 0 {
		h.Set(n.LastEvent, strconv.FormatInt(c.lastEventID, 10))
	}
	return &backend.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: h,
		Body: c.body, SendLength: c.r.ContentLength >= 0 && c.r.Method != http.MethodGet || c.r.ContentLength < 0,
		IDHeader: n.RequestID, ID: c.id,
		NoReuse: !c.route.Retryable() || c.id == "", // without an id, answers cannot be told apart
	}
}

// notExecuted reports whether the server states that it did not execute the request.
func (g *Gateway) notExecuted(resp *backend.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(g.opts.Headers.NotExecuted) != ""
}

// handleNotExecuted records a response for which notExecuted holds. A 503 with
// the AtServer header on a stream means that the whole rank group has stalled.
func (g *Gateway) handleNotExecuted(c *call, m *fleet.Member, resp *backend.Response) *api.Error {
	at := resp.Header.Get(g.opts.Headers.AtServer)
	resp.Discard(maxRefusalBytes, refusalTimeout)
	if resp.StatusCode == http.StatusServiceUnavailable && at != "" && c.route.Kind == fleet.Stream {
		c.service.attemptEnded(m, g.now(), severityNone)
		c.service.markStalled(g.now(), c.group(), at)
		g.serverAtFault(m, at)
		g.opts.Log.Warn("attempt-declined", "request", c.id, "server", m.ID, "status", resp.StatusCode, "at_server", at,
			"retry_after", resp.Header.Get(retryAfterHeader))
		return api.NewError(api.GroupStalled, at)
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		c.service.misdirected(m, g.now())
		g.crashes.serverDown(m.ID, "misdirected", g.now())
	} else {
		c.service.attemptEnded(m, g.now(), severityRefused)
		if impliesNotExecuted(resp.StatusCode) { // another status is about the request
			g.statements.turnedAway(m, 0, g.now())
		}
	}
	g.opts.Log.Warn("attempt-declined", "request", c.id, "server", m.ID, "status", resp.StatusCode, "at_server", at,
		"retry_after", resp.Header.Get(retryAfterHeader))
	return api.NewError(api.Overloaded, m.ID+" answered "+strconv.Itoa(resp.StatusCode))
}

// serverAtFault records that m has named a server, by address or id, because of
// which its group has stalled. Servers also name themselves.
func (g *Gateway) serverAtFault(m *fleet.Member, at string) {
	for id, o := range g.opts.Cache.View().Members {
		if (id == at || o.Address == at) && o.Address != m.Address {
			g.crashes.serverDown(id, "group-stalled", g.now())
		}
	}
}

// validResponse reports whether a response is not content-encoded and, if it is
// successful, carries the server's seal.
func (g *Gateway) validResponse(resp *http.Response) bool {
	if resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	return resp.StatusCode/100 != 2 || resp.Header.Get(g.opts.Headers.Seal) != ""
}

// forwardResponse reads a complete response and forwards it to the caller.
func (g *Gateway) forwardResponse(ctx context.Context, c *call, m *fleet.Member, resp *backend.Response, sent time.Duration) (bool, *api.Error) {
	body, size, err := g.readResponse(ctx, c, resp)
	if err == nil && !g.validResponse(resp.Response) {
		err = errors.New("answer without the server's proof")
	}
	if err != nil {
		resp.Abort()
		g.attemptFailed(ctx, c, m, sent, err)
		return false, &api.Error{Code: api.Unresolved, Ran: api.MayHaveRun, Detail: m.ID + ": " + err.Error()}
	}
	resp.Finish()
	if !impliesNotExecuted(resp.StatusCode) {
		g.started(c, m, g.now())
	}
	if resp.StatusCode >= http.StatusInternalServerError || impliesNotExecuted(resp.StatusCode) {
		c.service.attemptEnded(m, g.now(), severityError)
		if g.shouldRetry(ctx, c) {
			g.opts.Log.Info("attempt-error", "request", c.id, "server", m.ID, "status", resp.StatusCode)
			return false, &api.Error{Code: api.BackendFailed, Ran: api.MayHaveRun, Detail: m.ID}
		}
		if impliesNotExecuted(resp.StatusCode) {
			return false, &api.Error{Code: api.BackendFailed, Ran: api.MayHaveRun, Detail: m.ID}
		}
	} else {
		c.service.attemptEnded(m, g.now(), severityNone)
		if resp.StatusCode/100 == 2 {
			c.service.answered(m, c.route.Name, sent, g.now())
		}
	}
	if c.headSent { // not the continuation of the stream that has begun
		return false, &api.Error{Code: api.StreamBroken, Ran: api.MayHaveRun, Detail: m.ID}
	}
	g.dropReplacements(c)
	g.copyHeader(c, resp.Response)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	c.w.WriteHeader(resp.StatusCode)
	for _, piece := range body {
		c.w.Write(piece) //nolint:errcheck // the caller may have disconnected
	}
	g.recordEnd(c, api.OK, "status", resp.StatusCode, "server", m.ID)
	return true, nil
}

// shouldRetry reports whether a request that a server answered with an error
// should be sent to another one.
func (g *Gateway) shouldRetry(ctx context.Context, c *call) bool {
	return c.route.Retryable() && c.attempts < c.route.MaxAttempts && ctx.Err() == nil && g.timeLeft(c) > c.route.TargetLatency/2
}

// impliesNotExecuted reports whether a status tells a client that the request was
// not executed. notExecuted has handled 421.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHeader copies the end-to-end headers of a response to the caller's.
func (g *Gateway) copyHeader(c *call, resp *http.Response) {
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if g.stages.stopping.Load() {
		h.Set("Connection", "close")
	}
}

// isStream reports whether a response is a stream of server-sent events.
func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}
