package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/route"
	_ "marjorampitch/route/policies" // registers the compared policies
)

// Settings of the front proxies and the network; latencies are one-way.
const (
	reportInterval     = 100 * time.Millisecond
	clientLatency      = 3 * time.Millisecond
	localLatency       = 100 * time.Microsecond
	interCentreLatency = 1500 * time.Microsecond
	maxAttempts        = 3
	retryRatio         = 0.2
	retryBurst         = 20
)

// fleetConfig configures one run. Latencies are one-way.
type fleetConfig struct {
	policy             string
	seed               uint64
	frontProxies       int
	engines            int
	dataCentres        int
	reportLag          time.Duration // delay until the front proxies apply a sidecar's report
	straggler          bool          // engine 0 takes 2.5 times as long per step
	sidecar            sidecarMode
	retryBudget        bool // limit retries by admit.RetryBudget; else every failure is retried up to maxAttempts
	interCentreLatency time.Duration
	clientLatency      time.Duration
}

// fleet is the simulated system: front proxies, sidecars and engines.
type fleet struct {
	cfg          fleetConfig
	clock        *clock
	rng          *rand.Rand
	engines      []*engine
	sidecars     []*sidecar
	frontProxies []*frontProxy
	nextID       uint64
}

// frontProxy simulates one front proxy.
type frontProxy struct {
	fleet        *fleet
	dataCentre   string
	table        *route.Table
	picker       route.Picker
	retryBudgets *admit.RetryBudgets
}

func newFleet(cfg fleetConfig) *fleet {
	c := &clock{}
	f := &fleet{cfg: cfg, clock: c, rng: rand.New(rand.NewPCG(cfg.seed, 11))}
	for i := range cfg.engines {
		slowdown := 1.0
		if cfg.straggler && i == 0 {
			slowdown = 2.5
		}
		e := newEngine(c, slowdown)
		f.engines = append(f.engines, e)
		name := fmt.Sprintf("engine-%02d", i)
		f.sidecars = append(f.sidecars, newSidecar(c, name, dataCentreName(i%cfg.dataCentres), e, cfg.sidecar, cfg.seed+uint64(i)))
	}
	for i := range cfg.frontProxies {
		f.frontProxies = append(f.frontProxies, f.newFrontProxy(i))
	}
	c.every(reportInterval, f.publishReports)
	return f
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

func (f *fleet) newFrontProxy(i int) *frontProxy {
	picker, err := route.Build(f.cfg.policy, f.cfg.seed*100+uint64(i))
	if err != nil {
		panic(err) // policy names are constants of this package
	}
	p := &frontProxy{
		fleet:        f,
		dataCentre:   dataCentreName(i % f.cfg.dataCentres),
		table:        route.NewTable(),
		picker:       picker,
		retryBudgets: admit.NewRetryBudgets(retryRatio, retryBurst),
	}
	for _, s := range f.sidecars {
		p.table.Put(s.name, s.dataCentre, f.latency(p.dataCentre, s.dataCentre), false)
	}
	return p
}

func (f *fleet) latency(a, b string) time.Duration {
	if a == b {
		return localLatency
	}
	return f.cfg.interCentreLatency
}

// publishReports applies the sidecars' current reports at the front proxies
// after reportLag.
func (f *fleet) publishReports() {
	for _, s := range f.sidecars {
		r := s.report()
		f.clock.after(f.cfg.reportLag, func() {
			for _, p := range f.frontProxies {
				p.table.ApplyReport(s.name, &r, f.clock.now)
			}
		})
	}
}

// call is one request of a client.
type call struct {
	org         string
	weight      int
	priority    api.Priority
	job         job // template of the attempts
	sentAt      time.Duration
	deadline    time.Duration
	attempts    int           // by the front proxy, for this send
	resends     int           // by the client
	answeredAt  time.Duration // when the last answer reached the client
	firstSentAt time.Duration // when the client first sent it
	tried       map[string]bool
	firstToken  time.Duration // from sentAt to the first token; 0 if none yet
	onNextToken func(time.Duration)
	onDone      func(c *call, err *api.Error)
}

// send sends a call to a random front proxy; onDone is called once.
func (f *fleet) send(c *call) {
	c.sentAt = f.clock.now
	c.tried = map[string]bool{}
	p := f.frontProxies[f.rng.IntN(len(f.frontProxies))]
	f.clock.after(f.cfg.clientLatency, func() {
		p.retryBudgets.Get(c.org).Deposit()
		p.attempt(c)
	})
}

// attempt picks a sidecar and sends the call to it.
func (p *frontProxy) attempt(c *call) {
	f := p.fleet
	c.attempts++
	candidates := p.table.Candidates(f.clock.now)
	for i := range candidates {
		candidates[i].Excluded = c.tried[candidates[i].Name]
	}
	req := route.Request{Organisation: c.org, Prefix: c.job.session, Priority: c.priority, Budget: c.deadline - f.clock.now}
	i, ok := p.picker.Pick(&req, candidates)
	if !ok {
		p.answer(c, api.NewError(api.NoBackend, ""))
		return
	}
	s := f.sidecars[i]
	c.tried[s.name] = true
	p.table.Sent(s.name)
	latency := f.latency(p.dataCentre, s.dataCentre)
	f.clock.after(latency, func() { s.offer(p.newAttempt(c, s, latency)) })
}

// newAttempt returns the job of one attempt of a call at a sidecar.
func (p *frontProxy) newAttempt(c *call, s *sidecar, latency time.Duration) *sidecarJob {
	f := p.fleet
	f.nextID++
	j := c.job
	j.onFirstToken = func() {
		if c.firstToken == 0 {
			c.firstToken = f.clock.now - c.sentAt + latency + f.cfg.clientLatency
		}
	}
	j.onNextToken = c.onNextToken
	j.onEnd = func(complete bool) {
		f.clock.after(latency, func() {
			p.table.Finished(s.name)
			if complete {
				p.answer(c, nil)
				return
			}
			p.retryOrAnswer(c, api.NewError(api.BackendFailed, ""))
		})
	}
	return &sidecarJob{
		job:     &j,
		request: admit.Job{ID: f.nextID, Organisation: c.org, Weight: c.weight, Priority: c.priority, Deadline: c.deadline},
		onRefused: func(err *api.Error) {
			f.clock.after(latency, func() {
				p.table.Finished(s.name)
				p.retryOrAnswer(c, err)
			})
		},
	}
}

// retryOrAnswer retries a failed call. It answers with err after maxAttempts,
// when a retry finds the deadline too short, or when the retry budget is spent.
func (p *frontProxy) retryOrAnswer(c *call, err *api.Error) {
	if err.Code == api.DeadlineTooShort && c.attempts > 1 || c.attempts >= maxAttempts {
		p.answer(c, err)
		return
	}
	if p.fleet.cfg.retryBudget && !p.retryBudgets.Get(c.org).TryWithdraw() {
		p.answer(c, err)
		return
	}
	p.attempt(c)
}

func (p *frontProxy) answer(c *call, err *api.Error) {
	p.fleet.clock.after(p.fleet.cfg.clientLatency, func() {
		c.answeredAt = p.fleet.clock.now
		c.onDone(c, err)
	})
}
