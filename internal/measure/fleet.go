package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/route"
	_ "marjorampitch/route/policies" // the policies that are compared
)

// Settings of the entries and of the fleet.
const (
	reportInterval = 100 * time.Millisecond
	clientDistance = 3 * time.Millisecond
	localDistance  = 100 * time.Microsecond
	centreDistance = 1500 * time.Microsecond
	maxAttempts    = 3
	retryRatio     = 0.2
	retryBurst     = 20
)

// fleetConfig sets one run.
type fleetConfig struct {
	policy    string
	seed      uint64
	entries   int
	engines   int
	centres   int
	reportLag time.Duration // from the side's view to the entries' use of it
	straggler bool          // engine 0 is 2.5 times slower
	side      sideMode
	budget    bool // retries are bounded by admit.RetryBudget; else every failure is retried
	distance  time.Duration
	client    time.Duration
}

// fleet is the whole path: entries, side processes and engines.
type fleet struct {
	cfg     fleetConfig
	clock   *clock
	source  *rand.Rand
	engines []*engine
	sides   []*side
	entries []*entry
	nextID  uint64
}

// entry is one entry instance.
type entry struct {
	fleet      *fleet
	dataCentre string
	table      *route.Table
	picker     route.Picker
	budget     *admit.RetryBudgets
}

func newFleet(cfg fleetConfig) *fleet {
	c := &clock{}
	f := &fleet{cfg: cfg, clock: c, source: rand.New(rand.NewPCG(cfg.seed, 11))}
	for i := range cfg.engines {
		slow := 1.0
		if cfg.straggler && i == 0 {
			slow = 2.5
		}
		e := newEngine(c, slow)
		f.engines = append(f.engines, e)
		name := fmt.Sprintf("engine-%02d", i)
		f.sides = append(f.sides, newSide(c, name, centre(i%cfg.centres), e, cfg.side, cfg.seed+uint64(i)))
	}
	for i := range cfg.entries {
		f.entries = append(f.entries, f.newEntry(i))
	}
	c.every(reportInterval, f.spread)
	return f
}

func centre(i int) string { return fmt.Sprintf("dc-%d", i) }

func (f *fleet) newEntry(i int) *entry {
	picker, err := route.Build(f.cfg.policy, f.cfg.seed*100+uint64(i))
	if err != nil {
		panic(err) // the policies' names are constants of this package
	}
	e := &entry{
		fleet:      f,
		dataCentre: centre(i % f.cfg.centres),
		table:      route.NewTable(),
		picker:     picker,
		budget:     admit.NewRetryBudgets(retryRatio, retryBurst),
	}
	for _, s := range f.sides {
		e.table.Put(s.name, s.dataCentre, f.distance(e.dataCentre, s.dataCentre), false)
	}
	return e
}

func (f *fleet) distance(a, b string) time.Duration {
	if a == b {
		return localDistance
	}
	return f.cfg.distance
}

// spread brings the sides' reports to the entries after the lag.
func (f *fleet) spread() {
	for _, s := range f.sides {
		r := s.report()
		f.clock.after(f.cfg.reportLag, func() {
			for _, e := range f.entries {
				e.table.ApplyReport(s.name, &r, f.clock.now)
			}
		})
	}
}

// call is one request of a caller on its way.
type call struct {
	org      string
	weight   int
	priority api.Priority
	job      job // template of the attempts
	began    time.Duration
	deadline time.Duration
	attempts int           // of this request
	tries    int           // requests sent again by the caller
	ended    time.Duration // when the answer reached the caller
	origin   time.Duration // when the caller first wanted it
	tried    map[string]bool
	first    time.Duration // until the first token; 0 before
	gaps     func(time.Duration)
	done     func(c *call, err *api.Error)
}

// send brings a call to an entry; its done is called once.
func (f *fleet) send(c *call) {
	c.began = f.clock.now
	c.tried = map[string]bool{}
	e := f.entries[f.source.IntN(len(f.entries))]
	f.clock.after(f.cfg.client, func() {
		e.budget.Get(c.org).Deposit()
		e.attempt(c)
	})
}

// attempt picks a side and sends the call there.
func (e *entry) attempt(c *call) {
	f := e.fleet
	c.attempts++
	candidates := e.table.Candidates(f.clock.now)
	for i := range candidates {
		candidates[i].Excluded = c.tried[candidates[i].Name]
	}
	req := route.Request{Organisation: c.org, Prefix: c.job.session, Priority: c.priority, Budget: c.deadline - f.clock.now}
	i, ok := e.picker.Pick(&req, candidates)
	if !ok {
		e.answer(c, api.NewError(api.NoBackend, ""))
		return
	}
	s := f.sides[i]
	c.tried[s.name] = true
	e.table.Sent(s.name)
	away := f.distance(e.dataCentre, s.dataCentre)
	f.clock.after(away, func() { s.offer(e.wrap(c, s, away)) })
}

// wrap makes the attempt of a call at a side.
func (e *entry) wrap(c *call, s *side, away time.Duration) *sideJob {
	f := e.fleet
	f.nextID++
	j := c.job
	j.first = func() {
		if c.first == 0 {
			c.first = f.clock.now - c.began + away + f.cfg.client
		}
	}
	j.gap = c.gaps
	j.end = func(whole bool) {
		f.clock.after(away, func() {
			e.table.Finished(s.name)
			if whole {
				e.answer(c, nil)
				return
			}
			e.failed(c, api.NewError(api.BackendFailed, ""))
		})
	}
	return &sideJob{
		job: &j,
		ask: admit.Job{ID: f.nextID, Organisation: c.org, Weight: c.weight, Priority: c.priority, Deadline: c.deadline},
		refuse: func(err *api.Error) {
			f.clock.after(away, func() {
				e.table.Finished(s.name)
				e.failed(c, err)
			})
		},
	}
}

// failed tries again elsewhere, or answers.
func (e *entry) failed(c *call, err *api.Error) {
	if err.Code == api.DeadlineTooShort && c.attempts > 1 || c.attempts >= maxAttempts {
		e.answer(c, err)
		return
	}
	if e.fleet.cfg.budget && !e.budget.Get(c.org).TryWithdraw() {
		e.answer(c, err)
		return
	}
	e.attempt(c)
}

func (e *entry) answer(c *call, err *api.Error) {
	e.fleet.clock.after(e.fleet.cfg.client, func() {
		c.ended = e.fleet.clock.now
		c.done(c, err)
	})
}
