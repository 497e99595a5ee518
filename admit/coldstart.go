package admit

import (
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
)

// Settings of a ColdStart.
const (
	// growthFactor multiplies the limit each time enough requests have completed under it.
	growthFactor = 1.5
	// slowStepRatio is the step time, relative to the fastest step seen, above
	// which the limit does not grow.
	slowStepRatio = 3.0
	// stalledStepRatio is the relative step time above which the limit is halved.
	stalledStepRatio = 8.0
	// coldRetryAfter is the Retry-After of requests refused by the limit.
	coldRetryAfter = 500 * time.Millisecond
	// trialReserve is how long other requests are refused after a request that
	// must run alone found the server busy, so that the server has drained when
	// that request is tried again.
	trialReserve = 5 * time.Second
)

// ColdStartConfig holds the settings of a ColdStart.
type ColdStartConfig struct {
	ColdLimit    int           // maximum number of concurrent requests while the backend server is cold
	WarmLimit    int           // maximum number of concurrent requests once it is warm
	ReportsLoad  bool          // the backend server reports its load; false for plain services
	MaxReportAge time.Duration // a server without a report this recent is treated as cold
	SettleTime   time.Duration // longest time for an abandoned request to reach the server, or for its end to show in reports
}

// Ticket identifies an admitted request.
type Ticket uint64

// ColdStart limits the requests that a sidecar has in flight at its backend
// server. The server is treated as cold at first, and again after a restart of
// the sidecar, a crash, a new incarnation, a report that says cold, or a gap in
// the reports. While it is cold, at most ColdStartConfig.ColdLimit requests are
// in flight, including those that an earlier run of the sidecar left behind.
//
// Times are on the sidecar's monotonic clock and must not go backwards. A
// ColdStart is not safe for concurrent use.
type ColdStart struct {
	cfg            ColdStartConfig
	limit          int
	incarnation    string
	cold           bool
	sampledAt      time.Duration // when the newest report was sampled at the server
	untrackedKnown bool          // untracked is valid: set from a report, or after SettleTime without reports
	countFrom      time.Duration // reports sampled before this do not show all untracked requests
	coldFrom       time.Duration // reports sampled before this cannot end the cold state
	untracked      int           // in flight at the server but not in running: left by an earlier run, or abandoned
	count          serverCount   // report of the server that is not applied yet; valid while count.pending
	running        map[Ticket]flight
	lastTicket     Ticket
	alone          bool          // a request is running alone
	reservedUntil  time.Duration // until then only requests that run alone are admitted
	completions    int           // requests completed at the current limit
	generation     int           // number of times the limiter turned cold; completions of older requests do not count
	limitReached   bool          // the limit was reached since it last grew
	fastestStep    float64       // milliseconds
}

type flight struct {
	generation int           // ColdStart.generation at admission
	started    bool          // the server has begun to answer
	startedAt  time.Duration // when the first part of the answer arrived
}

// serverCount is the server's own count of its requests. A pending count is applied
// only when it is due: by then the sidecar has seen the end of every request that
// ended before the count was taken.
type serverCount struct {
	pending   bool
	sampledAt time.Duration
	due       time.Duration
	total     int
}

// NewColdStart returns a cold limiter for a sidecar that starts at now.
func NewColdStart(cfg ColdStartConfig, now time.Duration) *ColdStart {
	return &ColdStart{
		cfg:       cfg,
		limit:     cfg.ColdLimit,
		cold:      true,
		sampledAt: now - cfg.MaxReportAge - 1,
		countFrom: now + cfg.SettleTime,
		running:   map[Ticket]flight{},
	}
}

// Admit asks to send one request to the backend server. With alone set, the
// request is admitted only if nothing else is in flight, and nothing else is
// admitted until it has ended. A refused request (ColdLimit, Overloaded) was
// not run; the sidecar should send the current Limit with the refusal.
func (c *ColdStart) Admit(now time.Duration, alone bool) (Ticket, *api.Error) {
	c.checkReportAge(now)
	if !c.ready(now) {
		return 0, c.refusal("waiting for the server's report after a start")
	}
	inFlight := c.InFlight()
	switch {
	case c.alone && inFlight > 0:
		return 0, c.refusal("a suspected request is running alone")
	case alone && inFlight > 0:
		c.reservedUntil = now + trialReserve
		return 0, c.refusal("other requests are in flight")
	case !alone && now < c.reservedUntil:
		return 0, c.refusal("draining for a suspected request")
	case inFlight >= c.limit:
		c.limitReached = true
		return 0, c.refusal("at the limit")
	}
	c.lastTicket++
	c.running[c.lastTicket] = flight{generation: c.generation}
	c.alone = alone
	if inFlight+1 >= c.limit {
		c.limitReached = true
	}
	return c.lastTicket, nil
}

func (c *ColdStart) refusal(detail string) *api.Error {
	code := api.Overloaded
	if c.cold || c.limit < c.cfg.WarmLimit {
		code = api.ColdLimit
	}
	err := api.NewError(code, detail)
	err.RetryAfter = coldRetryAfter
	return err
}

// ready reports whether the number of untracked requests is known. Without
// reports, requests of earlier runs are assumed to have ended after SettleTime.
func (c *ColdStart) ready(now time.Duration) bool {
	if !c.cfg.ReportsLoad && now >= c.countFrom {
		c.untrackedKnown = true
		c.untracked = 0
	}
	return c.untrackedKnown
}

// Confirm checks an admitted request immediately before it is sent. The limit may
// have shrunk since Admit, because the server turned cold or the sidecar was paused
// meanwhile; a request beyond it must not be sent any more. After an error the
// request no longer counts as in flight.
func (c *ColdStart) Confirm(t Ticket, now time.Duration) *api.Error {
	c.checkReportAge(now)
	if _, ok := c.running[t]; ok && c.InFlight() <= c.limit {
		return nil
	}
	err := c.refusal("the limit shrank before the request was sent")
	c.Finish(t, now, false)
	return err
}

// ResponseStarted records that the backend server has begun to answer the request.
func (c *ColdStart) ResponseStarted(t Ticket, now time.Duration) {
	f, ok := c.running[t]
	if ok && !f.started {
		f.started, f.startedAt = true, now
		c.running[t] = f
	}
}

// Finish records that the backend server has ended the request, or never
// received it. complete is false for a failed answer, which does not help the
// limit to grow.
func (c *ColdStart) Finish(t Ticket, now time.Duration, complete bool) {
	f, ok := c.remove(t)
	if !ok {
		return
	}
	c.alone = false
	if !complete || f.generation != c.generation {
		return
	}
	c.completions++
	c.grow(now)
}

// Abandon records that the sidecar no longer waits for the request while the
// backend server may still be running it. The request counts against the limit
// until a later report shows that it has ended.
func (c *ColdStart) Abandon(t Ticket, now time.Duration) {
	if _, ok := c.remove(t); !ok {
		return
	}
	c.untracked++
	c.countFrom = now + c.cfg.SettleTime
}

func (c *ColdStart) remove(t Ticket) (flight, bool) {
	f, ok := c.running[t]
	delete(c.running, t)
	return f, ok
}

// Observe applies a report of the backend server. asked is when the sidecar
// sent the query that r answers, so r was sampled at asked-r.AgeMillis or later.
func (c *ColdStart) Observe(now, asked time.Duration, r *backing.EngineReport) {
	c.checkReportAge(now)
	sampledAt := asked - time.Duration(r.AgeMillis)*time.Millisecond
	if r.Incarnation != c.incarnation {
		c.turnCold(now)
	}
	if sampledAt < c.sampledAt {
		return
	}
	if r.Incarnation != c.incarnation {
		c.incarnation = r.Incarnation
		c.fastestStep = 0
		c.coldFrom = sampledAt
	}
	c.sampledAt = sampledAt
	if r.Cold || now-sampledAt > c.cfg.MaxReportAge {
		c.turnCold(sampledAt)
	}
	c.cold = sampledAt < c.coldFrom || r.Cold || now-sampledAt > c.cfg.MaxReportAge
	c.observeCount(now, sampledAt, r.Running+r.Waiting)
	c.checkStepTime(r.StepMillis, r.Running)
}

// observeCount handles the number of requests that the server reports. It is
// applied at once when the sidecar has no request that could be in it, and
// otherwise after SettleTime.
func (c *ColdStart) observeCount(now, sampledAt time.Duration, total int) {
	if c.count.pending && now >= c.count.due {
		c.applyCount(c.count.sampledAt, c.count.total)
		c.count.pending = false
	}
	if len(c.running) == 0 {
		c.applyCount(sampledAt, total)
		return
	}
	if !c.count.pending && c.untracked > 0 {
		c.count = serverCount{pending: true, sampledAt: sampledAt, due: now + c.cfg.SettleTime, total: total}
	}
}

// applyCount updates the number of untracked requests from the server's count.
// Tracked requests that had started before the count was taken and are still
// running are included in the count, and are subtracted.
func (c *ColdStart) applyCount(sampledAt time.Duration, total int) {
	if sampledAt < c.countFrom {
		return
	}
	tracked := 0
	for _, f := range c.running {
		if f.started && f.startedAt <= sampledAt {
			tracked++
		}
	}
	untracked := max(0, total-tracked)
	if !c.untrackedKnown || untracked < c.untracked {
		c.untracked = untracked
	}
	c.untrackedKnown = true
}

// checkStepTime halves the limit, or delays its growth, when steps take much
// longer than the fastest one seen.
func (c *ColdStart) checkStepTime(stepMillis float64, running int) {
	if stepMillis <= 0 || running == 0 {
		return
	}
	if c.fastestStep == 0 || stepMillis < c.fastestStep {
		c.fastestStep = stepMillis
	}
	if stepMillis > stalledStepRatio*c.fastestStep {
		c.limit = max(c.cfg.ColdLimit, c.limit/2)
	}
	if stepMillis > slowStepRatio*c.fastestStep {
		c.completions = 0
	}
}

// RecordCrash records that the backend server has crashed, as seen by its
// broken connections. The caller then ends the requests in flight with Finish.
func (c *ColdStart) RecordCrash(now time.Duration) {
	c.turnCold(now)
}

// turnCold resets the limit to the cold limit. Reports sampled before at cannot
// end the cold state.
func (c *ColdStart) turnCold(at time.Duration) {
	c.cold = true
	c.coldFrom = max(c.coldFrom, at)
	c.limit = min(c.cfg.ColdLimit, c.cfg.WarmLimit)
	c.generation++
	c.completions = 0
	c.limitReached = false
}

// checkReportAge turns the limiter cold when the newest report is too old.
func (c *ColdStart) checkReportAge(now time.Duration) {
	if c.cfg.ReportsLoad && now-c.sampledAt > c.cfg.MaxReportAge {
		c.turnCold(c.sampledAt)
	}
}

// grow raises the limit once it has been reached and as many requests as it
// admits at once have completed under it.
func (c *ColdStart) grow(now time.Duration) {
	c.checkReportAge(now)
	if c.cfg.ReportsLoad && c.cold {
		return
	}
	if !c.limitReached || c.completions < c.limit || c.limit >= c.cfg.WarmLimit {
		return
	}
	c.limit = min(c.cfg.WarmLimit, max(c.limit+1, int(float64(c.limit)*growthFactor)))
	c.cold = false
	c.completions = 0
	c.limitReached = false
}

// Limit returns the number of requests that may be in flight at now.
func (c *ColdStart) Limit(now time.Duration) int {
	c.checkReportAge(now)
	return c.limit
}

// Cold reports whether the backend server is treated as cold at now.
func (c *ColdStart) Cold(now time.Duration) bool {
	c.checkReportAge(now)
	return c.cold
}

// InFlight returns the number of requests that count against the limit,
// including abandoned ones and those of earlier runs of the sidecar.
func (c *ColdStart) InFlight() int { return len(c.running) + c.untracked }

// Incarnation returns the backend server's incarnation as last reported.
func (c *ColdStart) Incarnation() string { return c.incarnation }
