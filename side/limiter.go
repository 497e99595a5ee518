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

// Timing of a limiter.
const (
	maxReportAge     = 2 * time.Second // an engine without a load report this recent is treated as cold
	crashDedupWindow = 5 * time.Second // crashes of one incarnation within this time count as one
	settleTime       = time.Second     // longest time until the engine's reports include an abandoned request
)

// ticket tracks one request in the limiter.
type ticket struct {
	id           uint64
	organisation string
	fingerprint  uint64
	alone        bool
	start        func()           // called once if the request is admitted
	refuse       func(*api.Error) // called once if the request is refused
	slot         admit.Ticket     // set while the request runs
	incarnation  string           // of the engine when the request was admitted
}

// limiter decides when requests run at the backend server. Weighted fair queueing
// orders them, and the cold-start limit bounds their concurrency.
//
// mu guards the fields below it. No other lock is taken while it is held, and
// start and refuse are called without it.
type limiter struct {
	startedAt time.Time

	mu               sync.Mutex
	cold             *admit.ColdStart
	shares           *admit.FairShare
	waiting          map[uint64]*ticket
	running          map[uint64]*ticket
	nextID           uint64
	reportSeq        uint64 // sequence number of the last report sent to front proxies
	lastReport       backing.EngineReport
	crashes          int
	crashAnnounced   bool          // front proxies were notified of the requests in flight at the last crash
	crashIncarnation string        // incarnation of the last crash
	crashedAt        time.Duration // time of the last crash; 0 for none
	down             bool          // crashed and has not responded since
}

func newLimiter(be *config.Backend, limits config.Limits) *limiter {
	l := &limiter{
		startedAt: time.Now(),
		shares:    admit.NewFairShare(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting:   make(map[uint64]*ticket),
		running:   make(map[uint64]*ticket),
	}
	l.cold = admit.NewColdStart(admit.ColdStartConfig{
		ColdLimit:    limits.ColdStartLimit,
		WarmLimit:    min(be.MaxRunning, maxAttempts),
		ReportsLoad:  be.Kind == config.KindEngine,
		MaxReportAge: maxReportAge,
		SettleTime:   settleTime,
	}, 0)
	return l
}

func (l *limiter) now() time.Duration { return time.Since(l.startedAt) }

// limit returns the number of requests of this sidecar that may run concurrently.
// Requests that the backend server still runs although they were abandoned, or
// left behind by an earlier run of the sidecar, reduce it. The caller holds mu.
func (l *limiter) limit(now time.Duration) int {
	untracked := l.cold.InFlight() - l.shares.Running()
	return l.cold.Limit(now) - max(0, untracked)
}

// offer queues t for admission. Exactly one of t.start and t.refuse is called,
// possibly before offer returns.
func (l *limiter) offer(t *ticket, m *wire.Request, weight int) {
	l.mu.Lock()
	now := l.now()
	l.nextID++
	t.id = l.nextID
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
	l.dispatch()
}

// dispatch starts the requests that may run now and refuses those that can no
// longer run. It is called after every change and periodically.
func (l *limiter) dispatch() {
	var calls []func()
	l.mu.Lock()
	now := l.now()
	start, refused := l.shares.Next(now, l.limit(now))
	for _, job := range start {
		calls = append(calls, l.admitJob(now, job))
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

// admitJob takes a slot for the next job of the fair queue and returns the
// callback to call. The caller holds mu, and calls the callback without it.
func (l *limiter) admitJob(now time.Duration, job admit.Job) func() {
	t := l.waiting[job.ID]
	delete(l.waiting, job.ID)
	slot, e := l.cold.Admit(now, t.alone)
	if e != nil {
		l.shares.Finish(now, job.ID, false)
		return func() { t.refuse(e) }
	}
	t.slot = slot
	t.incarnation = l.lastReport.Incarnation
	l.running[t.id] = t
	return t.start
}

// confirm checks the admission of t immediately before its request is sent. The
// Ran of its errors is NotRun.
func (l *limiter) confirm(t *ticket) *api.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Confirm(t.slot, l.now())
}

// responseStarted records that the backend server has begun to respond.
func (l *limiter) responseStarted(t *ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.ResponseStarted(t.slot, l.now())
}

// finish releases the slot of t. complete means that the complete response was
// received, abandoned that the backend server may still be running the request.
func (l *limiter) finish(t *ticket, complete, abandoned bool) {
	l.mu.Lock()
	now := l.now()
	delete(l.running, t.id)
	l.shares.Finish(now, t.id, complete)
	if abandoned {
		l.cold.Abandon(t.slot, now)
	} else {
		l.cold.Finish(t.slot, now, complete)
	}
	l.mu.Unlock()
	l.dispatch()
}

// withdraw removes a queued request. It returns false if t is not queued.
func (l *limiter) withdraw(t *ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting[t.id] == nil {
		return false
	}
	delete(l.waiting, t.id)
	return l.shares.Cancel(t.organisation, t.id)
}

// observe applies a load report of the engine; asked is when it was requested.
func (l *limiter) observe(asked time.Duration, r *backing.EngineReport) {
	l.mu.Lock()
	l.cold.Observe(l.now(), asked, r)
	l.lastReport = *r
	l.down = l.down && asked < l.crashedAt
	l.mu.Unlock()
	l.dispatch()
}

// incarnation returns the incarnation that the engine last reported; empty before
// the first report.
func (l *limiter) incarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReport.Incarnation
}

// recordCrash records a crash of the given incarnation and returns the
// fingerprints of the requests in flight. trial reports whether the only request
// in flight was a suspected one that ran alone. number counts the crashes; it is 0
// if this crash was recorded before.
func (l *limiter) recordCrash(incarnation string) (fingerprints []uint64, trial bool, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.cold.RecordCrash(now)
	l.down = true
	if l.crashedAt != 0 && incarnation == l.crashIncarnation && now-l.crashedAt < crashDedupWindow {
		return nil, false, 0
	}
	l.crashedAt = now
	l.crashIncarnation = incarnation
	l.crashes++
	l.crashAnnounced = false
	for _, t := range l.running {
		fingerprints = append(fingerprints, t.fingerprint)
		trial = trial || t.alone
	}
	return fingerprints, trial && len(fingerprints) == 1, l.crashes
}

// reconfigure applies the limits of a changed service configuration.
func (l *limiter) reconfigure(be *config.Backend, limits config.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.Reconfigure(limits.ColdStartLimit, min(be.MaxRunning, maxAttempts))
}

// report returns the state of the backend server for front proxies.
func (l *limiter) report() wire.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.reportSeq++
	return wire.Report{
		Seq:        l.reportSeq,
		Cold:       l.cold.Cold(now),
		Down:       l.down && l.crashAnnounced,
		Limit:      l.cold.Limit(now),
		Running:    l.shares.Running(),
		Waiting:    l.shares.Queued(),
		StepMillis: float32(l.lastReport.StepMillis),
		CacheUsed:  float32(l.lastReport.CacheUsed),
	}
}

// setCrashAnnounced records that front proxies were notified of the requests in
// flight at the last crash. Only then do reports mark the backend server as down.
// A front proxy that saw it down before it received the notification would send
// the request that caused the crash to another backend server.
func (l *limiter) setCrashAnnounced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashAnnounced = true
}

// isDown reports whether the backend server crashed and has not responded since.
func (l *limiter) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// setReachable records that a backend server without load reports accepts
// connections.
func (l *limiter) setReachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

// busy reports whether any request is queued or running.
func (l *limiter) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)+len(l.running) > 0
}

// ready reports whether the number of requests that earlier runs of the sidecar
// left in flight is known. Until then every request is refused.
func (l *limiter) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Ready(l.now())
}
