package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"marjorampitch/api"
	"marjorampitch/fleet"
	"marjorampitch/internal/idleconn"
	"marjorampitch/pace"
)

// call is the state of one caller request.
type call struct {
	id            string
	w             http.ResponseWriter
	r             *http.Request
	body          []byte
	bodyRead      bool  // to its end
	held          int64 // bytes taken from the budget of callers' connections until the call ends
	route         *fleet.Route
	org           string // organisation; empty for none
	priority      int    // of the organisation or the route; 0 is the highest
	view          *fleet.View
	service       *service
	arrived       time.Duration // on the gateway's clock
	deadline      time.Duration // on the gateway's clock; latest time for the final response
	clientTimeout time.Duration // timeout sent by the caller, counted from arrival; 0 for none
	retried       bool          // the caller was probably refused before
	queueTime     time.Duration // time spent waiting for admission
	ticket        *pace.Ticket  // admission at the service's gate; nil for requests that are not paced
	features      crashFeatures // by which crashes are attributed
	cost          requestCost

	tried        []string     // ids of servers that were sent the request or could not be reached
	sentAttempts int          // attempts that had a connection; the request may have reached the server
	attempts     int          // attempts that a server may have executed
	mayHaveRun   bool         // a server may have executed the request
	brokenOff    bool         // a server closed the connection before it had begun an answer
	headSent     bool         // the response head was sent to the caller
	late         bool         // an event came later than the route's objectives
	retryTaken   bool         // from the budget, for the next attempt
	replacements replacements // attempts made while an earlier one is silent
	noAttempt    string       // why no further attempt was made; empty if one was not needed
	lastEventID  int64        // id of the last event delivered, or the caller's Last-Event-ID; -1 for none
}

// group returns the rank group that the request was admitted to; empty for none.
func (c *call) group() string {
	if c.ticket == nil {
		return ""
	}
	return c.ticket.Group
}

// validate checks a request against the cached document. The error is the final
// response.
func (g *Gateway) validate(w http.ResponseWriter, r *http.Request) (*call, *api.Error) {
	// The freshness proof is read before the view, so the view is at least as new.
	fresh := g.documentFresh()
	view := g.opts.Cache.View()
	c := &call{id: r.Header.Get(g.opts.Headers.RequestID), w: w, r: r, view: view, arrived: g.now(), lastEventID: -1}
	if view.Document == nil {
		return c, g.retryElsewhere(api.NotReady, "")
	}
	if limit := view.Document.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return c, api.NewError(api.HeaderTooLarge, "")
	}
	c.route = view.Document.Match(r.Host, r.URL.Path)
	if c.route == nil {
		if !fresh {
			return c, g.retryElsewhere(api.NotCurrent, "route unknown to an old document")
		}
		return c, api.NewError(api.UnknownRoute, "")
	}
	if refusal := g.authenticate(c, fresh); refusal != nil {
		return c, refusal
	}
	g.setDeadline(c)
	if refusal := g.readBody(c); refusal != nil {
		return c, refusal
	}
	if last := r.Header.Get(g.opts.Headers.LastEvent); last != "" {
		if id, err := strconv.ParseInt(last, 10, 64); err == nil {
			c.lastEventID = id
		}
	}
	if g.stages.leaving.Load() {
		return c, g.retryElsewhere(api.Leaving, "")
	}
	c.features = g.crashFeatures(c)
	g.crashes.arrived(c, g.now())
	if refusal := g.crashes.check(c, view, g.now()); refusal != nil {
		return c, refusal
	}
	c.service = g.service(pickService(c.route.Split))
	c.cost = g.requestCost(c)
	return c, nil
}

// headerBytes returns the least size of a request head as sent: without optional white
// space, such as that after the colon of a field.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
		}
	}
	return n
}

// authenticate looks up the organisation of the caller's API key.
func (g *Gateway) authenticate(c *call, fresh bool) *api.Error {
	c.priority = c.route.Priority
	if !c.view.Document.RequiresKeys() {
		return nil
	}
	org := c.view.Document.Organisation(c.r.Header.Get(g.opts.Headers.Key))
	c.priority = c.route.PriorityFor(org)
	if org != nil {
		c.org = org.Name
	}
	if c.route.Anonymous {
		return nil
	}
	if !fresh {
		return g.retryElsewhere(api.NotCurrent, "keys cannot be checked")
	}
	if org == nil {
		return api.NewError(api.UnknownAPIKey, "")
	}
	return nil
}

// setDeadline sets the deadline from the route's timeout and the caller's.
func (g *Gateway) setDeadline(c *call) {
	limit := c.route.Timeout
	if ms, err := strconv.ParseFloat(c.r.Header.Get(g.opts.Headers.Deadline), 64); err == nil && ms > 0 {
		c.clientTimeout = time.Duration(ms * float64(time.Millisecond))
		if limit <= 0 || c.clientTimeout < limit {
			limit = c.clientTimeout
		}
		c.retried = g.timeouts.isRetry(c.route.Name, c.clientTimeout, c.arrived)
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	c.deadline = c.arrived + limit
}

// defaultTimeout applies where neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// pickService picks a service at random by the weights of a split.
func pickService(split []fleet.WeightedService) string {
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

// timeLeft returns the time until the request's deadline, or until its final answer in a stop.
func (g *Gateway) timeLeft(c *call) time.Duration {
	left := c.deadline - g.now()
	if toStop, ok := g.timeToStop(); ok {
		left = min(left, toStop)
	}
	return left
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.inFlight.begin() {
		g.opts.Log.Warn("request-aborted", "request", r.Header.Get(g.opts.Headers.RequestID), "reason", "shut down")
		panic(http.ErrAbortHandler) // shutting down; the request was not executed
	}
	defer g.inFlight.end()
	var c *call
	defer func() {
		if c != nil { // nil if validate panics
			g.callers.Release(c.held)
		}
	}()
	if g.stages.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	var refusal *api.Error
	c, refusal = g.validate(w, r)
	if refusal != nil {
		g.reject(c, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), g.timeLeft(c))
	defer cancel()
	if c.route.Kind != fleet.Stream || c.route.TargetGap <= 0 {
		g.forward(ctx, c)
		return
	}
	for !g.stream(ctx, c) {
		c.tried = nil // any server of a re-formed group may execute it
	}
}

// stream forwards a streaming request once the gate admits it. It reports false
// when the request should queue for admission again.
func (g *Gateway) stream(ctx context.Context, c *call) (ended bool) {
	if refusal := g.allResting(c); refusal != nil {
		g.reject(c, refusal)
		return true
	}
	release, refusal := g.acquireSlot(ctx, c)
	c.service.noteAdmission(refusal == nil)
	if refusal != nil {
		g.reject(c, refusal)
		return true
	}
	defer release()
	return g.forward(ctx, c)
}

// allResting returns the refusal of a request while all servers of its service rest;
// nil if one of them does not.
func (g *Gateway) allResting(c *call) *api.Error {
	members := g.opts.Cache.View().Services[c.service.name]
	if len(members) == 0 || g.statements.resting(members, g.now()) < len(members) {
		return nil
	}
	return g.statements.restRefusal(members, g.now())
}

// reject sends an error as the final response.
func (g *Gateway) reject(c *call, e *api.Error) {
	info := e.Code.Info()
	after := e.RetryAfter
	paced := c.service != nil && c.route.Kind == fleet.Stream
	if paced && info.Ran == api.NotRun && after > 0 && e.Code != api.CrashSuspect && e.Code != api.ServersResting {
		after = g.retryAfter(c)
	}
	h := c.w.Header()
	if g.stages.stopping.Load() { // may have begun meanwhile
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if c.id != "" {
		h.Set(g.opts.Headers.RequestID, c.id)
	}
	switch {
	case c.bodyRead:
	case e.Code == api.BuffersFull || e.Code == api.BodyTooSlow:
		idleconn.SkipBody(c.w, c.r)
	default:
		idleconn.FinishBody(c.w, c.r)
	}
	if after > 0 && info.Ran == api.NotRun {
		h.Set(retryAfterHeader, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	c.w.WriteHeader(info.Status)
	io.WriteString(c.w, e.Error()+"\n") //nolint:errcheck // the caller may have disconnected
	g.recordEnd(c, e.Code, "detail", e.Detail, "retry_after_ms", after.Milliseconds())
}

// retryAfter returns the Retry-After value for a refused request of a paced service.
func (g *Gateway) retryAfter(c *call) time.Duration {
	gate := g.gate(c.service, c.view, c.route)
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return gate.RetryAfter(g.timeLeft(c))
}

// recordEnd logs and counts the end of a request.
func (g *Gateway) recordEnd(c *call, code api.Code, more ...any) {
	elapsed := g.now() - c.arrived
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	g.metrics.requestEnded(name, code, elapsed, c.queueTime)
	class := 0
	if c.prioritized() {
		class = c.priorityClass()
		g.metrics.streamEnded(class, code)
	}
	version := int64(0)
	if c.view.Document != nil {
		version = c.view.Document.Version
	}
	age, _ := g.proofAge()
	fields := append([]any{
		"request", c.id, "code", int(code), "route", name, "org", c.org, "priority", c.priority, "class", class, "took_ms", elapsed.Milliseconds(),
		"waited_ms", c.queueTime.Milliseconds(), "attempts", c.attempts, "arrivals", c.sentAttempts, "servers", c.tried,
		"returns", c.retried, "offered_ms", c.clientTimeout.Milliseconds(), "document", version, "proof_age_ms", age.Milliseconds(),
	}, more...)
	g.opts.Log.Info("request-ended", append(fields, costFields(&c.cost)...)...)
}
