package side

import (
	"math/rand/v2"
	"sync"
	"time"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/wire"
)

// Settings of a limiter.
const (
	reportFreshFor = 2 * time.Second // an engine's report older than this no longer shows that it is warm
	crashSpacing   = 5 * time.Second // within this, a crash of one incarnation is one crash
	settleTime     = time.Second     // longest time until an abandoned request shows in the engine's reports
)

// ticket is one request's place at the backend server.
type ticket struct {
	id           uint64
	organisation string
	fingerprint  uint64
	alone        bool
	start        func()           // called once when the request may run
	refuse       func(*api.Error) // called once instead when it may not
	slot         admit.Ticket     // set while it runs
	incarnation  string           // of the engine, when it was admitted
}

// limiter decides when requests run at the backend server: weighted shares
// order them, the cold-start limit bounds them.
//
// mu guards the fields below it. No other lock is taken while it is held, and
// start and refuse are called without it.
type limiter struct {
	began time.Time

	mu      sync.Mutex
	cold    *admit.ColdStart
	shares  *admit.FairShare
	waiting map[uint64]*ticket
	running map[uint64]*ticket
	next    uint64
	seq     uint64 // of the last report made
	last    backing.EngineReport
	crashes int
	told    bool          // entries were told what was in flight at the last crash
	downOf  string        // incarnation of the last crash
	downAt  time.Duration // when it was noted; 0 for never
	down    bool          // it has not answered since a crash
}

func newLimiter(be *config.Backend, limits config.Limits) *limiter {
	l := &limiter{
		began:   time.Now(),
		shares:  admit.NewFairShare(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting: make(map[uint64]*ticket),
		running: make(map[uint64]*ticket),
	}
	l.cold = admit.NewColdStart(admit.ColdStartConfig{
		ColdLimit:    limits.ColdStartLimit,
		WarmLimit:    min(be.MaxRunning, maxAttempts),
		ReportsLoad:  be.Kind == config.KindEngine,
		MaxReportAge: reportFreshFor,
		SettleTime:   settleTime,
	}, 0)
	return l
}

func (l *limiter) now() time.Duration { return time.Since(l.began) }

// limit is the number of this side's requests that may run at once. The caller holds mu.
func (l *limiter) limit(now time.Duration) int {
	foreign := l.cold.InFlight() - l.shares.Running()
	return l.cold.Limit(now) - max(0, foreign)
}

// offer asks for t to run. Exactly one of t.start and t.refuse is called, now or later.
func (l *limiter) offer(t *ticket, m *wire.Request, weight int) {
	l.mu.Lock()
	now := l.now()
	l.next++
	t.id = l.next
	job := admit.Job{
		ID:           t.id,
		Organisation: t.organisation,
		Weight:       weight,
		Priority:     api.Priority(m.Priority),
		Deadline:     now + time.Duration(m.BudgetMillis)*time.Millisecond,
	}
	if e := l.shares.Offer(now, job, l.limit(now)); e != nil {
		l.mu.Unlock()
		t.refuse(e)
		return
	}
	l.waiting[t.id] = t
	l.mu.Unlock()
	l.pump()
}

// pump starts and refuses what is due. It is called after every change and by a timer.
func (l *limiter) pump() {
	var calls []func()
	l.mu.Lock()
	now := l.now()
	start, refused := l.shares.Next(now, l.limit(now))
	for _, job := range start {
		calls = append(calls, l.admit(now, job))
	}
	for _, r := range refused {
		t := l.waiting[r.ID]
		delete(l.waiting, r.ID)
		calls = append(calls, func() { t.refuse(r.Err) })
	}
	l.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// admit takes a slot for a job whose turn has come. The caller holds mu and
// calls the result without it.
func (l *limiter) admit(now time.Duration, job admit.Job) func() {
	t := l.waiting[job.ID]
	delete(l.waiting, job.ID)
	slot, e := l.cold.Admit(now, t.alone)
	if e != nil {
		l.shares.Finish(now, job.ID, false)
		return func() { t.refuse(e) }
	}
	t.slot = slot
	t.incarnation = l.last.Incarnation
	l.running[t.id] = t
	return t.start
}

// answered notes that the backend server has begun to answer.
func (l *limiter) answered(t *ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.ResponseStarted(t.slot, l.now())
}

// finish gives the slot back. abandoned says that the backend server may
// still be at the request.
func (l *limiter) finish(t *ticket, whole, abandoned bool) {
	l.mu.Lock()
	now := l.now()
	delete(l.running, t.id)
	l.shares.Finish(now, t.id, whole)
	if abandoned {
		l.cold.Abandon(t.slot, now)
	} else {
		l.cold.Finish(t.slot, now, whole)
	}
	l.mu.Unlock()
	l.pump()
}

// withdraw forgets a request that still waits; false when it does not.
func (l *limiter) withdraw(t *ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting[t.id] == nil {
		return false
	}
	delete(l.waiting, t.id)
	return l.shares.Cancel(t.organisation, t.id)
}

// observe takes an engine's report; asked is when it was asked for.
func (l *limiter) observe(asked time.Duration, r *backing.EngineReport) {
	l.mu.Lock()
	l.cold.Observe(l.now(), asked, r)
	l.last = *r
	l.down = l.down && asked < l.downAt
	l.mu.Unlock()
	l.pump()
}

// incarnation returns the one that the engine last reported; empty before.
func (l *limiter) incarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last.Incarnation
}

// crashed notes that the incarnation went down, and returns what was in
// flight; trial says that a suspected request was running alone. number counts
// the crashes; it is 0 when the same crash was noted before.
func (l *limiter) crashed(incarnation string) (fingerprints []uint64, trial bool, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.cold.RecordCrash(now)
	l.down = true
	if l.downAt != 0 && incarnation == l.downOf && now-l.downAt < crashSpacing {
		return nil, false, 0
	}
	l.downAt = now
	l.downOf = incarnation
	l.crashes++
	l.told = false
	for _, t := range l.running {
		fingerprints = append(fingerprints, t.fingerprint)
		trial = trial || t.alone
	}
	return fingerprints, trial && len(fingerprints) == 1, l.crashes
}

// reconfigure takes the bounds of a new document.
func (l *limiter) reconfigure(be *config.Backend, limits config.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.Reconfigure(limits.ColdStartLimit, min(be.MaxRunning, maxAttempts))
}

// report describes the backend server for entries.
func (l *limiter) report() wire.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.seq++
	return wire.Report{
		Seq:        l.seq,
		Cold:       l.cold.Cold(now),
		Down:       l.down && l.told,
		Limit:      l.cold.Limit(now),
		Running:    l.shares.Running(),
		Waiting:    l.shares.Queued(),
		StepMillis: float32(l.last.StepMillis),
		CacheUsed:  float32(l.last.CacheUsed),
	}
}

// announced notes that entries know what was in flight at the last crash. From
// then on reports say that the backend server is down: an entry that passed it
// over without that news would take the request that crashed it elsewhere.
func (l *limiter) announced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = true
}

// isDown reports whether the backend server crashed and has not answered since.
func (l *limiter) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// answers notes that a backend server without reports accepts connections.
func (l *limiter) answers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

// busy reports whether any request waits or runs.
func (l *limiter) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)+len(l.running) > 0
}

// ready reports whether requests can be admitted at all.
func (l *limiter) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Ready(l.now())
}
