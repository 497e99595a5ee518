package admit

import (
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
)

// Settings of the growth of a ColdStart limit.
const (
	// growth is the factor by which the limit grows after each proof.
	growth = 1.5
	// slowStep is the ratio of a step's time to the fastest seen beyond which the limit does not grow.
	slowStep = 3.0
	// stalledStep is the ratio beyond which the limit is halved at once.
	stalledStep = 8.0
	// coldRetry is the Retry-After of a refusal by the limit.
	coldRetry = 500 * time.Millisecond
	// trialReserve is how long a server takes no other requests after it had to
	// refuse one that wants to run alone, so that it drains for the next try.
	trialReserve = 5 * time.Second
)

// ColdStartConfig sets a ColdStart.
type ColdStartConfig struct {
	ColdLimit    int           // requests at once that the cold backend server bears
	WarmLimit    int           // requests at once when warm
	ReportsLoad  bool          // the backend server reports its load; false for plain services
	MaxReportAge time.Duration // evidence older than this no longer shows that the server is warm
	SettleTime   time.Duration // longest time that an abandoned request takes to reach the server, or to show in no report
}

// Ticket identifies an admitted request.
type Ticket uint64

// ColdStart limits the requests that a side process has in flight at its
// backend server. It is cold until shown otherwise: after a restart of the
// side, a crash, a new incarnation, a report of cold, or a gap in reports.
// While cold, requests in flight are at most ColdConfig.Cold, with those that
// an earlier run of the side left behind counted in.
//
// Times are on the side's monotonic clock, which must not go backwards. It is
// not safe for concurrent use.
type ColdStart struct {
	cfg         ColdStartConfig
	limit       int
	incarnation string
	cold        bool
	evidence    time.Duration // when the last report was true
	known       bool          // a report (or Settle, without reports) showed what earlier runs left behind
	knowFrom    time.Duration // evidence before this says nothing about what was left behind
	chilled     time.Duration // reports true before this cannot lift the cold
	foreign     int           // in flight at the server and not ours: left behind, or abandoned
	count       count         // the server's count that waits to be used
	running     map[Ticket]flight
	next        Ticket
	alone       bool          // a request is running alone
	reserved    time.Duration // until then only a request that runs alone is admitted
	proofs      int           // requests completed at this limit
	chills      int           // times it turned cold; requests admitted before prove nothing after
	reached     bool          // the limit was reached since it last grew
	fastest     float64
}

type flight struct {
	chills int           // ColdStart.chills when it was admitted
	begun  bool          // the server has answered something for it
	since  time.Duration // when it first did
}

// count is the server's own count of its requests. It is used only at due,
// when the ends of those that were over by then have surely reached the side.
type count struct {
	pending  bool
	evidence time.Duration
	due      time.Duration
	total    int
}

// NewColdStart returns a cold limiter of a side process that starts at now.
func NewColdStart(cfg ColdStartConfig, now time.Duration) *ColdStart {
	return &ColdStart{
		cfg:      cfg,
		limit:    cfg.ColdLimit,
		cold:     true,
		evidence: now - cfg.MaxReportAge - 1,
		knowFrom: now + cfg.SettleTime,
		running:  map[Ticket]flight{},
	}
}

// Admit asks for one request to be sent to the backend server. alone asks for
// a run with nothing else in flight. Refusals (ColdLimit, Overloaded) did not
// run and are to be sent with Limit.
func (c *ColdStart) Admit(now time.Duration, alone bool) (Ticket, *api.Error) {
	c.age(now)
	if !c.settled(now) {
		return 0, c.refuse("waiting for the server's report after a start")
	}
	inFlight := c.InFlight()
	switch {
	case c.alone && inFlight > 0:
		return 0, c.refuse("a suspected request is running alone")
	case alone && inFlight > 0:
		c.reserved = now + trialReserve
		return 0, c.refuse("other requests are in flight")
	case !alone && now < c.reserved:
		return 0, c.refuse("draining for a suspected request")
	case inFlight >= c.limit:
		c.reached = true
		return 0, c.refuse("at the limit")
	}
	c.next++
	c.running[c.next] = flight{chills: c.chills}
	c.alone = alone
	if inFlight+1 >= c.limit {
		c.reached = true
	}
	return c.next, nil
}

func (c *ColdStart) refuse(detail string) *api.Error {
	code := api.Overloaded
	if c.cold || c.limit < c.cfg.WarmLimit {
		code = api.ColdLimit
	}
	err := api.NewError(code, detail)
	err.RetryAfter = coldRetry
	return err
}

// settled reports whether what earlier runs left behind is known.
func (c *ColdStart) settled(now time.Duration) bool {
	if !c.cfg.ReportsLoad && now >= c.knowFrom {
		c.known = true
		c.foreign = 0
	}
	return c.known
}

// ResponseStarted says that the backend server has answered something for the request.
func (c *ColdStart) ResponseStarted(t Ticket, now time.Duration) {
	f, ok := c.running[t]
	if ok && !f.begun {
		f.begun, f.since = true, now
		c.running[t] = f
	}
}

// Finish says that the backend server ended the request, or never received it.
// whole is false for a failed answer; it counts as no proof of health.
func (c *ColdStart) Finish(t Ticket, now time.Duration, whole bool) {
	f, ok := c.drop(t)
	if !ok {
		return
	}
	c.alone = false
	if !whole || f.chills != c.chills {
		return
	}
	c.proofs++
	c.grow(now)
}

// Abandon says that the side gave the request up while the backend server may
// still be running it. It counts until a later report shows it gone.
func (c *ColdStart) Abandon(t Ticket, now time.Duration) {
	if _, ok := c.drop(t); !ok {
		return
	}
	c.foreign++
	c.knowFrom = now + c.cfg.SettleTime
}

func (c *ColdStart) drop(t Ticket) (flight, bool) {
	f, ok := c.running[t]
	delete(c.running, t)
	return f, ok
}

// Observe takes the backend server's report. asked is when the side sent the
// question that r answers, so the report was true at asked-r.AgeMillis or later.
func (c *ColdStart) Observe(now, asked time.Duration, r *backing.EngineReport) {
	c.age(now)
	evidence := asked - time.Duration(r.AgeMillis)*time.Millisecond
	if r.Incarnation != c.incarnation {
		c.chill(now)
	}
	if evidence < c.evidence {
		return
	}
	if r.Incarnation != c.incarnation {
		c.incarnation = r.Incarnation
		c.fastest = 0
		c.chilled = evidence
	}
	c.evidence = evidence
	if r.Cold || now-evidence > c.cfg.MaxReportAge {
		c.chill(evidence)
	}
	c.cold = evidence < c.chilled || r.Cold || now-evidence > c.cfg.MaxReportAge
	c.learn(now, evidence, r.Running+r.Waiting)
	c.judge(r.StepMillis, r.Running)
}

// learn takes the server's own count, and uses it at once when no request of
// ours can be in it, else after Settle.
func (c *ColdStart) learn(now, evidence time.Duration, total int) {
	if c.count.pending && now >= c.count.due {
		c.settle(c.count.evidence, c.count.total)
		c.count.pending = false
	}
	if len(c.running) == 0 {
		c.settle(evidence, total)
		return
	}
	if !c.count.pending && c.foreign > 0 {
		c.count = count{pending: true, evidence: evidence, due: now + c.cfg.SettleTime, total: total}
	}
}

// settle learns from the server's count how many requests are not ours. Ours
// that had begun before the count, and whose end has not come until now, are
// in it.
func (c *ColdStart) settle(evidence time.Duration, total int) {
	if evidence < c.knowFrom {
		return
	}
	ours := 0
	for _, f := range c.running {
		if f.begun && f.since <= evidence {
			ours++
		}
	}
	left := max(0, total-ours)
	if !c.known || left < c.foreign {
		c.foreign = left
	}
	c.known = true
}

// judge shrinks the limit when steps take far longer than they should.
func (c *ColdStart) judge(step float64, running int) {
	if step <= 0 || running == 0 {
		return
	}
	if c.fastest == 0 || step < c.fastest {
		c.fastest = step
	}
	if step > stalledStep*c.fastest {
		c.limit = max(c.cfg.ColdLimit, c.limit/2)
	}
	if step > slowStep*c.fastest {
		c.proofs = 0
	}
}

// RecordCrash says that the backend server went down: its connections broke. What
// was in flight is to be ended with Finish.
func (c *ColdStart) RecordCrash(now time.Duration) {
	c.chill(now)
}

// chill makes the limiter cold at once. Reports that were true before at
// cannot lift it.
func (c *ColdStart) chill(at time.Duration) {
	c.cold = true
	c.chilled = max(c.chilled, at)
	c.limit = min(c.cfg.ColdLimit, c.cfg.WarmLimit)
	c.chills++
	c.proofs = 0
	c.reached = false
}

// age turns the limiter cold when the last evidence has become too old.
func (c *ColdStart) age(now time.Duration) {
	if c.cfg.ReportsLoad && now-c.evidence > c.cfg.MaxReportAge {
		c.chill(c.evidence)
	}
}

// grow raises the limit when as many requests were completed under it as it
// admits at once, and it was reached.
func (c *ColdStart) grow(now time.Duration) {
	c.age(now)
	if c.cfg.ReportsLoad && c.cold {
		return
	}
	if !c.reached || c.proofs < c.limit || c.limit >= c.cfg.WarmLimit {
		return
	}
	c.limit = min(c.cfg.WarmLimit, max(c.limit+1, int(float64(c.limit)*growth)))
	c.cold = false
	c.proofs = 0
	c.reached = false
}

// Limit returns the number of requests that may be in flight now.
func (c *ColdStart) Limit(now time.Duration) int {
	c.age(now)
	return c.limit
}

// Cold reports whether the backend server counts as cold now.
func (c *ColdStart) Cold(now time.Duration) bool {
	c.age(now)
	return c.cold
}

// InFlight returns the requests that count against the limit.
func (c *ColdStart) InFlight() int { return len(c.running) + c.foreign }

// Incarnation returns the incarnation that the last report named.
func (c *ColdStart) Incarnation() string { return c.incarnation }
