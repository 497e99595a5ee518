package backingtest

import (
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"marjorampitch/backing"
)

// CrashMarker in a prompt crashes the engine that runs it.
const CrashMarker = "!crash!"

// reportsToTell is the number of reports of cold after which a caller is held
// to know: one that asks for the third has had time to act on the first.
const reportsToTell = 3

// maxKeptRuns bounds the runs that GET /stats lists.
const maxKeptRuns = 20_000

// EngineOptions are the fixed properties of an Engine.
type EngineOptions struct {
	MaxRunning      int           // sequences in one batch
	StepTime        time.Duration // of a step, whatever runs
	StepPerSequence time.Duration // added to a step for each running sequence
	PrefillPerKB    time.Duration // added to a step for each 1000 bytes of prompt admitted, unless cached
	Tokens          int           // length of an answer when the request doesn't say
	ColdBound       int           // load that a cold engine bears; more makes it fall over; 0: never cold
	WarmAfter       int           // completed requests until a cold engine is warm
	ColdSlowdown    float64       // factor on the step time while cold; 0 means 1
	RestartTime     time.Duration // from a crash until requests are taken again
	CacheSessions   int           // sessions whose prompt prefix is kept
	ChecksFences    bool          // refuses orders with an old fencing number
	Lockstep        *Lockstep     // of the rank's group; nil for an engine that is no rank
	Rank            int           // in Lockstep
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

// EngineFaults are the faults of an Engine that last until they are replaced.
type EngineFaults struct {
	Freeze      bool     `json:"freeze"`       // no step is made and nothing is answered
	Slow        float64  `json:"slow"`         // factor on the step time; 0 means 1
	LoadOutage  bool     `json:"load_outage"`  // GET /load is refused
	ReportEvery Duration `json:"report_every"` // GET /load shows a report up to this old
	BreakAfter  int      `json:"break_after"`  // cut off every stream after this many tokens; 0: never
}

// Engine is a model engine with continuous batching that makes numbered
// tokens. It is safe for use by several goroutines.
type Engine struct {
	opts EngineOptions

	mu        sync.Mutex // guards what follows
	faults    EngineFaults
	changed   chan struct{} // closed when faults or orders change
	start     engineStart
	cold      bool
	told      int // reports since it became cold that showed it
	completed int // since the engine became cold
	running   []*sequence
	waiting   []*sequence
	stepping  bool // a goroutine makes steps
	stepTime  time.Duration
	prefixes  *simplelru.LRU[string, struct{}]
	report    backing.EngineReport
	reportAt  time.Time
	rank      rankState
	stats     EngineStats
}

// engineStart identifies one run of the engine process.
type engineStart struct {
	incarnation string
	upAt        time.Time
}

// NewEngine returns an engine; it is cold when its options have a cold bound.
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

// restart begins a new run of the process; e.mu is held, or e is new.
func (e *Engine) restart(down time.Duration) {
	e.start = engineStart{incarnation: uuid.NewString(), upAt: time.Now().Add(down)}
	e.cold = e.opts.ColdBound > 0
	e.told = reportsToTell
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

// signal wakes what waits for a change of the engine; e.mu is held.
func (e *Engine) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Crash makes the engine lose everything and start anew.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.stats.Crashes++
	e.restart(e.opts.RestartTime)
}

// TurnCold makes the engine cold without a restart and without telling.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ColdBound > 0 {
		e.cold = true
		e.told = 0
		e.completed = 0
		e.prefixes.Purge()
	}
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.signal()
}

// Faults returns the faults that are set.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// down says whether the process is between a crash and its restart; e.mu is held.
func (e *Engine) down() bool {
	return time.Now().Before(e.start.upAt)
}

// knownCold says whether the engine is cold and its caller can know it; e.mu is held.
func (e *Engine) knownCold() bool {
	return e.cold && e.told >= reportsToTell
}

// submit queues a sequence; it returns false when the engine is down or falls over.
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

// enqueue puts s behind the waiting sequences of its priority.
func (e *Engine) enqueue(s *sequence) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority > s.priority {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = s
}

// cancel takes a sequence out of the engine.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if remove(&e.running, s) || remove(&e.waiting, s) {
		e.stats.Cancelled++
	}
}

func remove(list *[]*sequence, s *sequence) bool {
	for i, other := range *list {
		if other == s {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// Report returns the report that GET /load shows.
func (e *Engine) Report() backing.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportAt) > time.Duration(e.faults.ReportEvery) || e.reportAt.IsZero() {
		e.report = e.freshReport()
		e.reportAt = time.Now()
	}
	if e.report.Cold {
		e.told++
	}
	e.report.AgeMillis = time.Since(e.reportAt).Milliseconds()
	return e.report
}

func (e *Engine) freshReport() backing.EngineReport {
	return backing.EngineReport{
		Incarnation:   e.start.incarnation,
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
