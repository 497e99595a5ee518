package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjorampitch/api"
	"marjorampitch/backend"
	"marjorampitch/fleet"
	"marjorampitch/pace"
)

// Settings of forwarding.
const (
	maxDials = 4 // connections that are tried for one request
	// tryShare is the part of the time left that the first attempt of a plain
	// request gets when another may follow.
	tryShare = 0.4
	// tryTargets is how many times the latency objective an attempt gets at least.
	tryTargets = 3
	// maxAnswer bounds an answer that is kept whole, in bytes.
	maxAnswer = 16 << 20
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// enter waits for a place among the streams of the service. The error is the
// final answer; release gives the place back.
func (g *Gateway) enter(ctx context.Context, c *call) (release func(), refusal *api.Error) {
	s := c.service
	gate := g.gate(s, c.view, c.route)
	if c.ticket == nil {
		c.ticket = &pace.Ticket{Objective: c.route.TargetLatency, Retry: c.returns}
	}
	t := c.ticket
	t.Reset()
	ready := make(chan struct{})
	s.mu.Lock()
	s.objective = c.route.TargetGap
	gate.SetObjective(c.route.TargetGap)
	asked := g.now()
	admitted := gate.Arrive(asked, t)
	switch {
	case !admitted:
		detail := "no place in time: " + gate.Summary(asked)
		stopped := gate.AllStalled()
		s.mu.Unlock()
		if stopped {
			return nil, api.NewError(api.GroupStalled, detail)
		}
		return nil, api.NewError(api.Overloaded, detail)
	case !t.Admitted():
		s.waiters[t] = ready
	}
	waits := !t.Admitted()
	s.mu.Unlock()
	release = func() { s.leave(g.now(), t) }
	if !waits {
		return release, nil
	}
	timer := time.NewTimer(t.WaitDeadline() - g.now())
	defer timer.Stop()
	defer func() { c.waited += g.now() - asked }()
	select {
	case <-ready:
		return release, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	cancelled := gate.Cancel(t)
	delete(s.waiters, t)
	detail := "waited in vain: " + gate.Summary(g.now())
	s.mu.Unlock()
	if !cancelled { // admitted in the moment in which the wait ended
		return release, nil
	}
	return nil, api.NewError(api.Overloaded, detail)
}

// forward sends the request until it has an answer or must end without one. It
// reports false when its group has stopped and the request has not run: it may
// wait for the group.
func (g *Gateway) forward(ctx context.Context, c *call) bool {
	if c.arrivals == 0 {
		c.service.first()
	}
	var last *api.Error
	for dials := 0; dials < maxDials; dials++ {
		if c.attempts >= c.route.MaxAttempts || c.arrivals > 0 && !c.service.retry() {
			break
		}
		// Servers may have left since the request came.
		members := g.opts.Cache.View().Services[c.service.name]
		m := c.service.pick(members, c.group(), c.tried, g.now(), g.coldLimit(c))
		if m == nil {
			break
		}
		if c.began {
			g.metrics.resumes.Inc()
		}
		done, failure := g.attempt(ctx, c, m)
		if done {
			return true
		}
		last = failure
		if failure.Code == api.GroupStalled && !c.sent {
			return false
		}
		if g.expired(ctx, c) || failure.Ran != api.NotRun && !c.route.Retryable() {
			break
		}
	}
	g.giveUp(ctx, c, last)
	return true
}

// coldLimit is this instance's part of what a cold server bears in a second.
func (g *Gateway) coldLimit(c *call) float64 {
	svc := c.view.Document.Services[c.service.name]
	if svc == nil || svc.ColdPerSecond <= 0 {
		return 0
	}
	return math.Max(1, math.Floor(svc.ColdPerSecond/float64(g.instances())))
}

// giveUp ends a request that no server has answered in full.
func (g *Gateway) giveUp(ctx context.Context, c *call, last *api.Error) {
	if c.began {
		g.ended(c, api.StreamBroken, "detail", detail(last), "last_event", c.lastID)
		panic(http.ErrAbortHandler) // the answer must not look complete
	}
	switch {
	case c.r.Context().Err() != nil:
		g.ended(c, api.Cancelled)
		panic(http.ErrAbortHandler)
	case g.expired(ctx, c) && c.sent:
		g.refuse(c, api.NewError(api.DeadlineExceeded, detail(last)))
	case c.sent:
		g.refuse(c, api.NewError(api.Unresolved, detail(last)))
	case last != nil:
		g.refuse(c, last)
	default:
		g.refuse(c, api.NewError(api.NoBackend, ""))
	}
}

// deadlineSlack is the time before a request's deadline from which on it has
// passed: a connection may time out a moment before its context does.
const deadlineSlack = 10 * time.Millisecond

// expired reports whether a request's time is over, or its caller has gone.
func (g *Gateway) expired(ctx context.Context, c *call) bool {
	return ctx.Err() != nil || g.left(c) <= deadlineSlack
}

func detail(e *api.Error) string {
	if e == nil {
		return ""
	}
	return e.Error()
}

// attempt sends the request to one server. done means that the caller has its
// whole answer; else the failure says whether the server may have run it.
func (g *Gateway) attempt(ctx context.Context, c *call, m *fleet.Member) (done bool, failure *api.Error) {
	c.tried = append(c.tried, m.ID)
	ctx, cancel := context.WithTimeout(ctx, g.tryTime(c))
	defer cancel()
	began := g.now()
	watch := g.watchHead(c, cancel)
	resp, err := g.pool.Do(ctx, m.Address, g.request(c, m))
	watch.Stop()
	if errors.Is(err, backend.ErrDial) {
		if c.r.Context().Err() != nil {
			c.service.ended(m, g.now(), sound)
		} else {
			c.service.unreached(m, g.now())
		}
		return false, api.NewError(api.Unreachable, m.ID)
	}
	c.arrivals++
	if c.arrivals > 1 {
		g.metrics.retries.Inc()
	}
	if err != nil {
		c.sent = true
		c.attempts++
		g.attemptFailed(c, m, err)
		return false, &api.Error{Code: api.Unresolved, Ran: api.MayHaveRun, Detail: m.ID + ": " + err.Error()}
	}
	if g.notRun(resp) {
		return false, g.declined(c, m, resp)
	}
	c.sent = true
	c.attempts++
	if isStream(resp.Response) && resp.StatusCode == http.StatusOK {
		return g.relay(ctx, c, m, resp, began)
	}
	return g.deliver(ctx, c, m, resp)
}

// attemptFailed notes an attempt without a whole answer, unless the caller
// itself has gone.
func (g *Gateway) attemptFailed(c *call, m *fleet.Member, err error) {
	if c.r.Context().Err() != nil {
		c.service.ended(m, g.now(), sound)
		return
	}
	c.service.ended(m, g.now(), failed)
	g.opts.Log.Warn("attempt-failed", "request", c.id, "server", m.ID, "attempt", c.attempts,
		"last_event", c.lastID, "err", err)
}

// tryTime is the time for one attempt: all that is left, unless another
// server may be asked after this one.
func (g *Gateway) tryTime(c *call) time.Duration {
	left := g.left(c)
	if c.route.Kind != fleet.Idempotent || c.attempts+1 >= c.route.MaxAttempts {
		return left
	}
	return min(left, max(tryTargets*c.route.TargetLatency, time.Duration(tryShare*float64(left))))
}

// request builds what the server is sent.
func (g *Gateway) request(c *call, m *fleet.Member) *backend.Request {
	n := &g.opts.Headers
	h := c.r.Header.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
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
	h.Set(n.Deadline, strconv.FormatInt(max(g.left(c).Milliseconds(), 1), 10))
	if c.lastID >= 0 {
		h.Set(n.LastEvent, strconv.FormatInt(c.lastID, 10))
	}
	return &backend.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: h,
		Body: c.body, SendLength: c.r.ContentLength >= 0 && c.r.Method != http.MethodGet || c.r.ContentLength < 0,
		IDHeader: n.RequestID, ID: c.id,
		NoReuse: !c.route.Retryable(),
	}
}

// notRun reports whether the server promises that it did not run the request.
func (g *Gateway) notRun(resp *backend.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(g.opts.Headers.NotExecuted) != ""
}

// declined handles an answer that says "not run".
func (g *Gateway) declined(c *call, m *fleet.Member, resp *backend.Response) *api.Error {
	at := resp.Header.Get(g.opts.Headers.AtServer)
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
		resp.Abort()
	} else {
		resp.Finish()
	}
	if resp.StatusCode == http.StatusServiceUnavailable && at != "" && c.route.Kind == fleet.Stream {
		c.service.ended(m, g.now(), sound)
		c.service.stall(g.now(), c.group(), at)
		g.opts.Log.Warn("attempt-declined", "request", c.id, "server", m.ID, "status", resp.StatusCode, "at_server", at)
		return api.NewError(api.GroupStalled, at)
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		c.service.misdirected(m, g.now())
	} else {
		c.service.ended(m, g.now(), doubtful)
	}
	g.opts.Log.Warn("attempt-declined", "request", c.id, "server", m.ID, "status", resp.StatusCode, "at_server", at)
	return api.NewError(api.Overloaded, m.ID+" answered "+strconv.Itoa(resp.StatusCode))
}

// genuine reports whether an answer is the server's own and usable.
func (g *Gateway) genuine(resp *http.Response) bool {
	if resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	return resp.StatusCode/100 != 2 || resp.Header.Get(g.opts.Headers.Seal) != ""
}

// deliver reads a whole answer and passes it on.
func (g *Gateway) deliver(ctx context.Context, c *call, m *fleet.Member, resp *backend.Response) (bool, *api.Error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err == nil && !g.genuine(resp.Response) {
		err = errors.New("answer without the server's proof")
	}
	if err != nil {
		resp.Abort()
		g.attemptFailed(c, m, err)
		return false, &api.Error{Code: api.Unresolved, Ran: api.MayHaveRun, Detail: m.ID + ": " + err.Error()}
	}
	resp.Finish()
	if resp.StatusCode >= http.StatusInternalServerError {
		c.service.ended(m, g.now(), faulty)
		if g.again(ctx, c) {
			g.opts.Log.Info("attempt-error", "request", c.id, "server", m.ID, "status", resp.StatusCode)
			return false, &api.Error{Code: api.BackendFailed, Ran: api.MayHaveRun, Detail: m.ID}
		}
		if promises(resp.StatusCode) {
			return false, &api.Error{Code: api.BackendFailed, Ran: api.MayHaveRun, Detail: m.ID}
		}
	} else {
		c.service.ended(m, g.now(), sound)
	}
	if c.began { // a resumed stream cannot go on with this
		return false, &api.Error{Code: api.StreamBroken, Ran: api.MayHaveRun, Detail: m.ID}
	}
	g.copyHead(c, resp.Response)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(resp.StatusCode)
	c.w.Write(body) //nolint:errcheck // a caller that has gone needs no answer
	g.ended(c, api.OK, "status", resp.StatusCode, "server", m.ID)
	return true, nil
}

// again reports whether a request that a server has failed is worth sending
// to another.
func (g *Gateway) again(ctx context.Context, c *call) bool {
	return c.route.Retryable() && c.attempts < c.route.MaxAttempts && ctx.Err() == nil && g.left(c) > c.route.TargetLatency/2
}

// promises reports whether a status means towards callers that the request
// has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHead passes the head of an answer on.
func (g *Gateway) copyHead(c *call, resp *http.Response) {
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
}

// isStream reports whether an answer is a stream of events.
func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}
