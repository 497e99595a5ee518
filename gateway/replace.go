package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"marjorampitch/api"
	"marjorampitch/backend"
	"marjorampitch/fleet"
)

// replacements are the attempts of a request that were made because an earlier one is
// silent. The earlier one goes on until the response to one of them has begun.
type replacements struct {
	list    []*replacement
	made    int           // since the call of forward began
	changed chan struct{} // has room for one; sent to after each outcome
}

// replacement is one attempt of replacements. Its goroutine sends the request and reads
// the head of the response; everything else is done by the goroutine of the request.
type replacement struct {
	m       *fleet.Member
	ctx     context.Context
	cancel  context.CancelFunc
	cost    requestCost
	guarded bool // counts as in flight at the crash guard
	began   time.Duration
	usable  bool // its response is the answer to the request
	outcome atomic.Pointer[replacementOutcome]
	done    chan struct{} // closed when its goroutine has ended
}

// replacementOutcome is the result of sending a replacement.
type replacementOutcome struct {
	resp *backend.Response
	err  error
}

// silentAttempt is an attempt whose server has been silent.
type silentAttempt struct {
	m         *fleet.Member
	silence   time.Duration
	uncounted int    // 1 if the request's attempts do not include it yet
	recheck   func() // has its silence judged again
}

// reset prepares for a new call of forward.
func (x *replacements) reset() { *x = replacements{changed: make(chan struct{}, 1)} }

// pending reports whether there are replacements whose responses are awaited or usable.
func (x *replacements) pending() bool { return len(x.list) > 0 }

// usable returns the replacement whose response has begun; nil for none.
func (x *replacements) usable() *replacement {
	for _, r := range x.list {
		if r.usable {
			return r
		}
	}
	return nil
}

// replaceSilent makes a further attempt for a silent one, if there is cause to and one is
// left. It reports whether the silent one is to be ended, because the response to an
// earlier replacement has begun.
func (g *Gateway) replaceSilent(c *call, a silentAttempt) (end bool) {
	failure := g.settleReplacements(c)
	if c.replacements.usable() != nil {
		return true
	}
	// After a failure the next replacement waits until the silence is judged again.
	if failure == nil && g.mayReplace(c, a) {
		g.replace(c, a)
	}
	return false
}

// mayReplace reports whether the request is to be sent to one more server. The group of the
// silent server must have been active all the time of the silence: a group that was held
// meanwhile explains it. So must those of earlier replacements.
func (g *Gateway) mayReplace(c *call, a silentAttempt) bool {
	pending := c.replacements.list
	if !g.mayStart(c) {
		return false
	}
	if c.attempts+a.uncounted+len(pending) >= c.route.MaxAttempts || c.replacements.made >= maxServerAttempts ||
		g.timeLeft(c) <= deadlineSlack {
		return false
	}
	if !c.service.activeFor(a.m.ID, a.silence, g.now()) {
		return false
	}
	limit := g.firstResponseTimeout(c)
	for _, r := range pending {
		if limit <= 0 || g.now()-r.began < limit || !c.service.activeFor(r.m.ID, limit, g.now()) {
			return false
		}
	}
	return !c.brokenOff || g.crashes.mayRepeat(c, g.now())
}

// replace sends the request to one more server, if one can take it and the retry budget
// allows it.
func (g *Gateway) replace(c *call, a silentAttempt) {
	view := g.opts.Cache.View()
	members := view.Services[c.service.name]
	if !c.service.hasCandidate(members, c.group(), c.tried, g.now(), g.coldPolicy(c), &c.cost) {
		return
	}
	r := &replacement{cost: c.cost, guarded: !c.headSent, began: g.now(), done: make(chan struct{})}
	r.cost.entry = nil
	if r.guarded && g.crashes.begin(c, view, g.now()) != nil {
		return
	}
	if !c.service.takeRetry() { // last, as it is not given back
		g.endReplacement(c, r)
		return
	}
	r.m = c.service.pickByCost(members, c.group(), c.tried, g.now(), g.coldPolicy(c), &r.cost)
	if r.m == nil {
		g.endReplacement(c, r)
		return
	}
	c.tried = append(c.tried, r.m.ID)
	c.replacements.made++
	c.replacements.list = append(c.replacements.list, r)
	r.ctx, r.cancel = context.WithTimeout(c.r.Context(), g.timeLeft(c))
	g.opts.Log.Info("attempt-silent", "request", c.id, "server", a.m.ID, "next", r.m.ID, "last_event", c.lastEventID)
	go r.send(g.pool, g.request(c, r.m), c.replacements.changed, a.recheck)
}

// send sends the request and reads the head of the response.
func (r *replacement) send(pool *backend.Pool, request *backend.Request, changed chan<- struct{}, recheck func()) {
	defer close(r.done) // no recheck comes after it
	resp, err := pool.Do(r.ctx, r.m.Address, request)
	r.outcome.Store(&replacementOutcome{resp, err})
	select {
	case changed <- struct{}{}:
	default:
	}
	recheck()
}

// settleReplacements records what became of the replacements that have an outcome, and
// removes those that have failed. It returns the failure of the last of them; nil for none.
func (g *Gateway) settleReplacements(c *call) (failure *api.Error) {
	kept := c.replacements.list[:0]
	for _, r := range c.replacements.list {
		o := r.outcome.Load()
		if o == nil || r.usable {
			kept = append(kept, r)
			continue
		}
		<-r.done
		err := g.settle(r.ctx, c, r.m, o.resp, o.err, r.began)
		if err == nil {
			err = g.rejectAnswer(c, r, o.resp)
		}
		if err == nil {
			r.usable = true
			kept = append(kept, r)
			continue
		}
		failure = err
		g.endReplacement(c, r)
	}
	clear(c.replacements.list[len(kept):])
	c.replacements.list = kept
	return failure
}

// rejectAnswer ends a replacement whose response cannot take the place of the silent
// attempt's; otherwise it returns nil.
func (g *Gateway) rejectAnswer(c *call, r *replacement, resp *backend.Response) *api.Error {
	failed := resp.StatusCode >= http.StatusInternalServerError || impliesNotExecuted(resp.StatusCode)
	stream := isStream(resp.Response) && resp.StatusCode == http.StatusOK
	valid := g.validResponse(resp.Response)
	if valid && (stream || !c.headSent && !failed) {
		return nil
	}
	resp.Abort()
	switch {
	case !valid:
		g.attemptFailed(r.ctx, c, r.m, r.began, errors.New("answer without the server's proof"))
	case failed:
		c.service.attemptEnded(r.m, g.now(), severityError)
	default:
		c.service.attemptEnded(r.m, g.now(), severityNone)
	}
	return &api.Error{Code: api.BackendFailed, Ran: api.MayHaveRun, Detail: r.m.ID}
}

// adoptReplacement forwards the response to one of the replacements once it has begun; the
// attempt that they are to replace has ended. It returns as attempt does.
func (g *Gateway) adoptReplacement(c *call) (done bool, failure *api.Error) {
	r, failure := g.awaitReplacement(c)
	if r == nil {
		return false, failure
	}
	for i, o := range c.replacements.list {
		if o == r {
			c.replacements.list = append(c.replacements.list[:i], c.replacements.list[i+1:]...)
			break
		}
	}
	defer g.endReplacement(c, r)
	if c.headSent {
		g.metrics.resumes.Inc()
	}
	c.cost.entry, c.cost.expected = r.cost.entry, r.cost.expected
	done, failure = g.forwardAnswer(r.ctx, c, r.m, r.outcome.Load().resp, r.began)
	g.recordCost(c, done)
	return done, failure
}

// awaitReplacement waits for the response to one of the replacements to begin. It returns
// the last failure if all have failed.
func (g *Gateway) awaitReplacement(c *call) (*replacement, *api.Error) {
	var failure *api.Error
	for {
		err := g.settleReplacements(c)
		if err != nil {
			failure = err
		}
		if r := c.replacements.usable(); r != nil || !c.replacements.pending() {
			return r, failure
		}
		limit := g.firstResponseTimeout(c)
		a := silentAttempt{c.replacements.list[0].m, limit, 0, func() {}}
		if err == nil && g.mayReplace(c, a) {
			g.replace(c, a)
		}
		var judge <-chan time.Time
		if limit > 0 {
			judge = time.After(limit / replacementRechecks)
		}
		select {
		case <-c.replacements.changed:
		case <-judge:
		}
	}
}

// replacementRechecks is how often the silence of replacements is judged within
// firstResponseTimeout.
const replacementRechecks = 4

// dropReplacements ends all replacements: their responses are not needed. Their servers'
// connections are reset.
func (g *Gateway) dropReplacements(c *call) {
	if !c.replacements.pending() {
		return
	}
	g.settleReplacements(c)
	for _, r := range c.replacements.list {
		r.cancel()
		<-r.done
		o := r.outcome.Load()
		if r.usable {
			c.service.attemptEnded(r.m, g.now(), severityNone)
		} else {
			g.countCancelled(c, o)
			c.service.attemptCancelled(r.m)
		}
		if o.resp != nil {
			o.resp.Abort()
		}
		g.endReplacement(c, r)
		g.opts.Log.Info("attempt-cancelled", "request", c.id, "server", r.m.ID, "after_ms", (g.now() - r.began).Milliseconds())
	}
	c.replacements.list = nil
}

// countCancelled counts a replacement that was cancelled before it was settled.
func (g *Gateway) countCancelled(c *call, o *replacementOutcome) {
	if errors.Is(o.err, backend.ErrDial) {
		return
	}
	c.sentAttempts++
	g.metrics.retries.Inc()
	if o.err != nil || !g.notExecuted(o.resp) {
		c.mayHaveRun = true
		c.attempts++
	}
}

// endReplacement releases what a replacement holds.
func (g *Gateway) endReplacement(c *call, r *replacement) {
	if r.cancel != nil {
		r.cancel()
	}
	if r.guarded {
		g.crashes.end(c)
	}
	c.service.attemptCostEnded(g.now(), &r.cost, false)
}
