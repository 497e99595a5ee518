package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"marjorampitch/api"
	"marjorampitch/fleet"
	"marjorampitch/pace"
)

// call is one request of a caller.
type call struct {
	id       string
	w        http.ResponseWriter
	r        *http.Request
	body     []byte
	route    *fleet.Route
	org      string // organisation; empty for none
	view     *fleet.View
	service  *service
	arrived  time.Duration // on the gateway's clock
	deadline time.Duration // on the gateway's clock: final answer due
	offered  time.Duration // the caller's own deadline, from its arrival
	returns  bool          // the caller has asked before
	waited   time.Duration // for a place among the streams
	ticket   *pace.Ticket  // its place among the streams; nil for other requests

	tried    []string // servers that were sent the request, or could not be reached
	arrivals int      // times that it reached a server
	attempts int      // times that a server may have begun to run it
	sent     bool     // a server may have begun to run it
	began    bool     // the head of the answer has gone to the caller
	lastID   int64    // of the last event delivered, or that the caller asked to go on after; -1 for none
}

// group is the rank group that the request was admitted to; empty for none.
func (c *call) group() string {
	if c.ticket == nil {
		return ""
	}
	return c.ticket.Group
}

// Errors of reading a request.
var errBody = errors.New("gateway: body cut off")

// accept checks a request against the document in force. The error is the
// final answer.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request) (*call, *api.Error) {
	// The proof is taken before the view: the view is then at least as new.
	current := g.current()
	view := g.opts.Cache.View()
	c := &call{id: r.Header.Get(g.opts.Headers.RequestID), w: w, r: r, view: view, arrived: g.now(), lastID: -1}
	if view.Document == nil {
		return c, soon(api.NotReady, "")
	}
	if limit := view.Document.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return c, api.NewError(api.HeaderTooLarge, "")
	}
	c.route = view.Document.Match(r.Host, r.URL.Path)
	if c.route == nil {
		if !current {
			return c, soon(api.NotCurrent, "route unknown to an old document")
		}
		return c, api.NewError(api.UnknownRoute, "")
	}
	if refusal := g.identify(c, current); refusal != nil {
		return c, refusal
	}
	g.schedule(c)
	if refusal := g.readBody(c); refusal != nil {
		return c, refusal
	}
	if last := r.Header.Get(g.opts.Headers.LastEvent); last != "" {
		if id, err := strconv.ParseInt(last, 10, 64); err == nil {
			c.lastID = id
		}
	}
	if g.leaving.Load() {
		return c, api.NewError(api.Leaving, "")
	}
	c.service = g.service(pickShare(c.route.Split))
	return c, nil
}

// headerBytes is the size of a request's head as sent, but for spaces.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// startRetry is when callers come back whom a process refused that has only
// just started, or lost touch with the store: other instances serve meanwhile.
const startRetry = 600 * time.Millisecond

// soon is a refusal after which the caller may come back soon.
func soon(code api.Code, detail string) *api.Error {
	e := api.NewError(code, detail)
	e.RetryAfter = startRetry
	return e
}

// identify finds the organisation by the caller's key.
func (g *Gateway) identify(c *call, current bool) *api.Error {
	if !c.view.Document.RequiresKeys() {
		return nil
	}
	org := c.view.Document.Organisation(c.r.Header.Get(g.opts.Headers.Key))
	if org != nil {
		c.org = org.Name
	}
	if c.route.Anonymous {
		return nil
	}
	if !current {
		return soon(api.NotCurrent, "keys cannot be checked")
	}
	if org == nil {
		return api.NewError(api.UnknownKey, "")
	}
	return nil
}

// returnBelow is the share of the longest time that the route's callers offer
// below which a caller must have spent some on an earlier attempt: first
// attempts offer more, and refused callers are kept away for longer.
const returnBelow = 0.845

// schedule works out when the final answer is due.
func (g *Gateway) schedule(c *call) {
	limit := c.route.Timeout
	if ms, err := strconv.ParseFloat(c.r.Header.Get(g.opts.Headers.Deadline), 64); err == nil && ms > 0 {
		c.offered = time.Duration(ms * float64(time.Millisecond))
		if limit <= 0 || c.offered < limit {
			limit = c.offered
		}
		c.returns = g.returning(c.route.Name, c.offered)
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	c.deadline = c.arrived + limit
}

// defaultTimeout is the time for a request for which neither caller nor route
// state one.
const defaultTimeout = 30 * time.Second

// returning reports whether a caller that offers this much has asked before.
func (g *Gateway) returning(route string, offered time.Duration) bool {
	longest, _ := g.deadlines.LoadOrStore(route, offered)
	if offered > longest.(time.Duration) {
		g.deadlines.Store(route, offered)
		return false
	}
	return float64(offered) < returnBelow*float64(longest.(time.Duration))
}

// readBody reads the whole body, within the document's limit.
func (g *Gateway) readBody(c *call) *api.Error {
	limit := c.view.Document.Limits.BodyBytes
	if limit <= 0 {
		limit = 1 << 22
	}
	if c.r.ContentLength > limit {
		return api.NewError(api.BodyTooLarge, "")
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	switch {
	case err != nil:
		return api.NewError(api.BadRequest, errBody.Error())
	case int64(len(body)) > limit:
		return api.NewError(api.BodyTooLarge, "")
	}
	c.body = body
	return nil
}

// pickShare chooses a service by the weights of a split.
func pickShare(split []fleet.WeightedService) string {
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	x := rand.Float64() * total
	for _, s := range split {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}

// left is the time until the final answer is due.
func (g *Gateway) left(c *call) time.Duration { return c.deadline - g.now() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.underway.begin() {
		panic(http.ErrAbortHandler) // the process ends; the request has not run
	}
	defer g.underway.end()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c, refusal := g.accept(w, r)
	if refusal != nil {
		g.refuse(c, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), g.left(c))
	defer cancel()
	if c.route.Kind != fleet.Stream || c.route.TargetGap <= 0 {
		g.forward(ctx, c)
		return
	}
	for !g.stream(ctx, c) {
		c.tried = nil // a group that was formed anew may take it anywhere
	}
}

// stream forwards a stream once there is a place for it. It reports false when
// the request may wait for a place once more.
func (g *Gateway) stream(ctx context.Context, c *call) (ended bool) {
	release, refusal := g.enter(ctx, c)
	if refusal != nil {
		g.refuse(c, refusal)
		return true
	}
	defer release()
	return g.forward(ctx, c)
}

// refuse gives the final answer of a request that ends without a server's.
func (g *Gateway) refuse(c *call, e *api.Error) {
	info := e.Code.Info()
	after := e.RetryAfter
	if c.service != nil && c.route.Kind == fleet.Stream && info.Ran == api.NotRun && after > 0 {
		after = g.returnAfter(c)
	}
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if c.id != "" {
		h.Set(g.opts.Headers.RequestID, c.id)
	}
	if after > 0 && info.Ran == api.NotRun {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	c.w.WriteHeader(info.Status)
	io.WriteString(c.w, e.Error()+"\n") //nolint:errcheck // a caller that has gone needs no answer
	g.ended(c, e.Code, "detail", e.Detail, "retry_after_ms", after.Milliseconds())
}

// returnAfter is when a refused caller of a paced service should come back.
func (g *Gateway) returnAfter(c *call) time.Duration {
	gate := g.gate(c.service, c.view, c.route)
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return gate.RetryAfter(g.left(c))
}

// ended writes the line of a request's end.
func (g *Gateway) ended(c *call, code api.Code, more ...any) {
	took := g.now() - c.arrived
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	g.metrics.ended(name, code, took, c.waited)
	version := int64(0)
	if c.view.Document != nil {
		version = c.view.Document.Version
	}
	age, _ := g.proofAge()
	fields := append([]any{
		"request", c.id, "code", int(code), "route", name, "org", c.org, "took_ms", took.Milliseconds(),
		"waited_ms", c.waited.Milliseconds(), "attempts", c.attempts, "arrivals", c.arrivals, "servers", c.tried,
		"returns", c.returns, "offered_ms", c.offered.Milliseconds(), "document", version, "proof_age_ms", age.Milliseconds(),
	}, more...)
	g.opts.Log.Info("request-ended", fields...)
}
