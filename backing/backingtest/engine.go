package backingtest

import (
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"marjorampitch/backing"
)

// CrashMarker in a prompt crashes the engine that gets the request.
const CrashMarker = "!crash!"

// coldReportsUntilKnown is the number of load reports showing a cold engine, read over
// one connection, after which the caller is expected to respect its cold bound. A caller
// that asks for the third report has had time to act on the first. Reports read over
// different connections do not show this, since they may be under way at the same time.
const coldReportsUntilKnown = 3

// maxRecordedRuns is the maximum number of runs, and of orders, in EngineStats.
const maxRecordedRuns = 20_000

// EngineOptions are the properties of an Engine that do not change.
type EngineOptions struct {
	MaxRunning      int           // maximum number of sequences in a batch
	StepTime        time.Duration // time of a step without sequences
	StepPerSequence time.Duration // added to a step for each running sequence
	PrefillPerKB    time.Duration // added to a step for each 1000 bytes of prompt that join the batch, unless cached
	Tokens          int           // length of an answer if the request does not set it
	ColdBound       int           // running and waiting requests above which a cold engine crashes; 0: never cold
	WarmAfter       int           // completed requests after which a cold engine is warm
	ColdSlowdown    float64       // factor on the step time while cold; 0 means 1
	RestartTime     time.Duration // time from a crash until requests are accepted again
	CacheSessions   int           // sessions whose prompt prefix is cached
	ChecksFences    bool          // refuses orders with a fencing number lower than the highest seen
	Lockstep        *Lockstep     // lock-step of the rank's group; nil for an engine outside a group
	Rank            int           // rank in Lockstep
}

// DefaultEngineOptions returns the options of a small, fast engine.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		MaxRunning:      16,
		StepTime:        5 * time.Millisecond,
		StepPerSequence: 200 * time.Microsecond,
		PrefillPerKB:    2 * time.Millisecond,
		Tokens:          32,
		ColdSlowdown:    2,
		RestartTime:     500 * time.Millisecond,
		CacheSessions:   256,
	}
}

// EngineFaults are the faults of an Engine. They last until they are replaced. The
// zero value has none.
type EngineFaults struct {
	Freeze      bool     `json:"freeze"`       // no step is made and nothing is answered
	Slow        float64  `json:"slow"`         // factor on the step time; 0 means 1
	LoadOutage  bool     `json:"load_outage"`  // GET /load is refused
	ReportEvery Duration `json:"report_every"` // GET /load returns a report up to this old
	BreakAfter  int      `json:"break_after"`  // cut off every stream after this many tokens; 0: never
}

// Engine simulates a model engine with continuous batching that generates numbered
// tokens. It is safe for concurrent use.
type Engine struct {
	opts EngineOptions

	mu          sync.Mutex // guards the fields below
	faults      EngineFaults
	changed     chan struct{} // closed when faults or orders change
	process     engineProcess
	cold        bool
	coldKnown   bool           // the caller knows of the cold state: set by restart, or by enough coldReports
	coldReports map[string]int // number of cold load reports since TurnCold, by the caller's address
	completed   int            // requests completed since the engine became cold
	running     []*sequence
	waiting     []*sequence
	stepping    bool // the goroutine that makes steps is running
	stepTime    time.Duration
	prefixes    *simplelru.LRU[string, struct{}]
	report      backing.EngineReport
	reportAt    time.Time
	rank        rankState
	stats       EngineStats
}

// engineProcess identifies one run of the engine process.
type engineProcess struct {
	incarnation string
	upAt        time.Time
}

// NewEngine returns an engine, which is cold if its options have a cold bound.
func NewEngine(opts EngineOptions) *Engine {
	prefixes, err := simplelru.NewLRU[string, struct{}](max(1, opts.CacheSessions), nil)
	if err != nil {
		panic(err) // the size is at least 1
	}
	e := &Engine{opts: opts, prefixes: prefixes, changed: make(chan struct{})}
	e.stats.ByKey = make(map[string]int)
	e.restart(0)
	return e
}

// restart begins a new run of the process, which is down for the given time; e.mu is
// held, or e is new.
func (e *Engine) restart(down time.Duration) {
	e.process = engineProcess{incarnation: uuid.NewString(), upAt: time.Now().Add(down)}
	e.cold = e.opts.ColdBound > 0
	e.coldKnown = true
	e.completed = 0
	e.prefixes.Purge()
	e.reportAt = time.Time{}
	e.rank.restart()
	e.publishRank()
	for _, s := range append(e.running, e.waiting...) {
		s.fail()
		e.stats.Broken++
	}
	e.running, e.waiting = nil, nil
	e.signal()
}

// signal wakes the goroutines that wait for a change of the engine; e.mu is held.
func (e *Engine) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Crash makes the engine lose its state and all its requests, and restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash implements Crash; e.mu is held.
func (e *Engine) crash() {
	e.stats.Crashes++
	e.restart(e.opts.RestartTime)
}

// TurnCold makes the engine cold without a restart. Only its load reports show it.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ColdBound > 0 {
		e.cold = true
		e.coldKnown = false
		e.coldReports = make(map[string]int)
		e.completed = 0
		e.prefixes.Purge()
	}
}

// SetFaults replaces the faults and wakes what waits for the end of a freeze.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.signal()
}

// Faults returns the current faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// down reports whether the process is between a crash and its restart; e.mu is held.
func (e *Engine) down() bool {
	return time.Now().Before(e.process.upAt)
}

// knownCold reports whether the engine is cold and its caller has had time to act on
// a report of it; e.mu is held.
func (e *Engine) knownCold() bool {
	return e.cold && e.coldKnown
}

// submit queues a sequence. It returns false if the engine is down or crashes on it.
func (e *Engine) submit(s *sequence, run EngineRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down() {
		return false
	}
	s.run = e.stats.add(run)
	e.enqueue(s)
	load := len(e.running) + len(e.waiting)
	e.stats.MaxLoad = max(e.stats.MaxLoad, load)
	if e.knownCold() {
		e.stats.MaxColdLoad = max(e.stats.MaxColdLoad, load)
	}
	if strings.Contains(s.prompt, CrashMarker) {
		e.crash()
		return false
	}
	if e.knownCold() && load > e.opts.ColdBound {
		e.stats.ColdOverloads++
		e.crash()
		return false
	}
	e.wake()
	return true
}

// enqueue inserts s after the waiting sequences of the same or a lower priority
// number; e.mu is held.
func (e *Engine) enqueue(s *sequence) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority > s.priority {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = s
}

// cancel removes a sequence from the engine unless it has ended.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if remove(&e.running, s) || remove(&e.waiting, s) {
		e.stats.Cancelled++
	}
}

// remove removes s from list and reports whether it was there.
func remove(list *[]*sequence, s *sequence) bool {
	for i, other := range *list {
		if other == s {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// Report returns the load report that GET /load serves.
func (e *Engine) Report() backing.EngineReport {
	return e.reportTo("")
}

// reportTo returns the load report for a caller with the given address and records that
// the caller was told of a cold state.
func (e *Engine) reportTo(caller string) backing.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportAt) > time.Duration(e.faults.ReportEvery) || e.reportAt.IsZero() {
		e.report = e.freshReport()
		e.reportAt = time.Now()
	}
	if e.report.Cold && !e.coldKnown {
		e.coldReports[caller]++
		e.coldKnown = e.coldReports[caller] >= coldReportsUntilKnown
	}
	e.report.AgeMillis = time.Since(e.reportAt).Milliseconds()
	return e.report
}

func (e *Engine) freshReport() backing.EngineReport {
	return backing.EngineReport{
		Incarnation:   e.process.incarnation,
		Cold:          e.cold,
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		MaxRunning:    e.opts.MaxRunning,
		StepMillis:    float64(e.stepTime) / float64(time.Millisecond),
		CacheUsed:     float64(e.prefixes.Len()) / float64(max(1, e.opts.CacheSessions)),
		HighestFence:  e.rank.state.HighestFence,
		Step:          e.rank.state.Step,
		ExpertMapHash: e.rank.state.MapHash,
	}
}
