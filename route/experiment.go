package route

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"marjorampitch/api"
)

// Settings of an Experiment.
const (
	// pickBudget is how long a pick waits for a candidate policy in share mode.
	pickBudget = 500 * time.Microsecond
	// guardSamples is the number of results of the candidate policy before the guards apply.
	guardSamples = 50
	// keptSessions is the number of sessions whose arm is remembered for feedback.
	keptSessions = 8192
)

// ExperimentConfig sets an Experiment; the fields are those of config.Routing.
type ExperimentConfig struct {
	Shadow       bool    // the candidate policy decides with no effect; else it serves Share
	Share        float64 // share of sessions that the candidate policy serves, 0 to 1
	MaxErrorRate float64 // guard: share of failed attempts of the candidate policy
	MaxP95Ratio  float64 // guard: its first-token p95 relative to the active policy's; 0 for none
}

// Experiment is a Picker that runs a candidate policy beside the active one.
// In shadow the candidate policy sees copies of the same picks and changes
// nothing. In share mode it serves a stable share of the sessions, until its
// guards are exceeded; from then on the active policy serves all. Whatever the
// candidate policy does, a pick that it fails to make in time, or that names a
// backend server that may not be picked, is made by the active policy.
//
// Like every Picker it is not safe for concurrent use, but for Report.
type Experiment struct {
	cfg       ExperimentConfig
	active    Picker
	candidate *isolated
	arms      *simplelru.LRU[string, bool] // sessions served by the candidate policy

	mu     sync.Mutex // guards what follows; no other lock is taken while it is held
	report ExperimentReport
	first  [2]latencies // of the active and the candidate policy
}

// ExperimentReport is what `policy compare` prints.
type ExperimentReport struct {
	Picks    int64 // picks while the experiment ran
	Compared int64 // picks that both policies decided, in shadow
	Same     int64 // compared picks in which both chose the same
	// Load is the sum of the loads of the chosen backend servers in compared
	// picks, as they were believed: of the active and of the candidate policy.
	Load     [2]int64
	Served   [2]int64 // attempts finished, by policy
	Failed   [2]int64 // attempts that failed for a reason that the pick may have caused
	FirstP95 [2]time.Duration
	Invalid  int64 // candidate policy's picks of no usable backend server
	Late     int64 // picks not made within the budget
	Panics   int64
	Skipped  int64  // calls not given to the candidate policy because it was at work
	Tripped  string // the guard that ended the share; empty while none has
}

// NewExperiment starts an experiment. Close it when it is no longer used.
func NewExperiment(active, candidate Picker, cfg ExperimentConfig) *Experiment {
	arms, _ := simplelru.NewLRU[string, bool](keptSessions, nil) // fails for sizes below 1 only
	return &Experiment{cfg: cfg, active: active, candidate: newIsolated(candidate), arms: arms}
}

// Pick implements Picker.
func (e *Experiment) Pick(req *Request, candidates []Candidate) (int, bool) {
	e.mu.Lock()
	e.report.Picks++
	tripped := e.report.Tripped != ""
	e.mu.Unlock()
	if e.cfg.Shadow {
		return e.shadow(req, candidates)
	}
	if tripped || !e.chosen(req.Session) {
		e.arms.Remove(req.Session)
		return e.active.Pick(req, candidates)
	}
	return e.share(req, candidates)
}

// shadow lets the active policy pick and the candidate policy look on.
func (e *Experiment) shadow(req *Request, candidates []Candidate) (int, bool) {
	index, ok := e.active.Pick(req, candidates)
	if !ok {
		return index, ok
	}
	load := candidates[index].Load()
	e.candidate.offer(req, candidates, nil, func(r result) { e.compare(index, load, r) })
	return index, ok
}

// compare counts one pick of the shadow.
func (e *Experiment) compare(active, load int, r result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.ok {
		e.report.Invalid++
		return
	}
	e.report.Compared++
	if r.index == active {
		e.report.Same++
	}
	e.report.Load[0] += int64(load)
	e.report.Load[1] += int64(r.load)
}

// chosen reports whether a session belongs to the candidate policy's share.
// Requests without a session stay with the active policy.
func (e *Experiment) chosen(session string) bool {
	if session == "" {
		return false
	}
	const range53 = 1 << 53
	return float64(Mix(HashName(session), HashName("share"))>>11)/range53 < e.cfg.Share
}

// share lets the candidate policy pick, and the active one if that fails.
func (e *Experiment) share(req *Request, candidates []Candidate) (int, bool) {
	r, inTime := e.candidate.ask(req, candidates, pickBudget)
	if inTime && r.ok && candidates[r.index].Usable() {
		e.arms.Add(req.Session, true)
		return r.index, true
	}
	e.arms.Remove(req.Session)
	index, ok := e.active.Pick(req, candidates)
	if r.none && !ok {
		return index, ok // both say that there is none
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if inTime {
		e.report.Invalid++
	} else {
		e.report.Late++
	}
	e.report.Served[1]++
	e.report.Failed[1]++
	e.guard()
	return index, ok
}

// Done implements Picker.
func (e *Experiment) Done(f Feedback) {
	arm := 0
	if e.arms.Contains(f.Session) {
		arm = 1
		e.candidate.tell(f)
	} else {
		e.active.Done(f)
	}
	if e.cfg.Shadow {
		e.candidate.tell(f)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Served[arm]++
	if blames(f.Code) {
		e.report.Failed[arm]++
	}
	if f.FirstToken > 0 {
		e.first[arm].add(f.FirstToken)
	}
	e.guard()
}

// blames reports whether a pick may have caused the failure.
func blames(code api.Code) bool {
	switch {
	case code == api.OK, code == api.Cancelled, code == api.ShareExceeded:
		return false
	case code >= 100 && code < 200: // wrong as sent
		return false
	}
	return true
}

// guard ends the share when a limit is exceeded. The caller holds mu.
func (e *Experiment) guard() {
	r := &e.report
	if e.cfg.Shadow || r.Tripped != "" || r.Served[1] < guardSamples {
		return
	}
	if float64(r.Failed[1]) > e.cfg.MaxErrorRate*float64(r.Served[1]) {
		r.Tripped = "errors"
		return
	}
	if e.cfg.MaxP95Ratio <= 0 || !e.first[0].ready() || !e.first[1].ready() {
		return
	}
	if float64(e.first[1].p95()) > e.cfg.MaxP95Ratio*float64(e.first[0].p95()) {
		r.Tripped = "slower"
	}
}

// Report returns the counts until now. It is safe for concurrent use.
func (e *Experiment) Report() ExperimentReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.report
	for arm := range e.first {
		r.FirstP95[arm] = e.first[arm].p95()
	}
	r.Panics = e.candidate.panics.Load()
	r.Skipped = e.candidate.busy.Load()
	return r
}

// Close ends the candidate policy's goroutine once it returns. No method but
// Report may be called after it.
func (e *Experiment) Close() { e.candidate.close() }
