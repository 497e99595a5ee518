package route

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"marjorampitch/api"
)

// Settings of an Experiment.
const (
	// pickTimeout is how long a pick waits for the candidate policy in share mode.
	pickTimeout = 500 * time.Microsecond
	// minGuardSamples is the number of attempts of the candidate policy before the
	// guards apply.
	minGuardSamples = 50
	// maxTrackedSessions is the number of sessions of the candidate policy that are
	// remembered in order to attribute feedback.
	maxTrackedSessions = 8192
)

// ExperimentConfig holds the settings of an Experiment, taken from config.Routing.
type ExperimentConfig struct {
	Shadow       bool    // the candidate policy picks without effect; otherwise it serves Share
	Share        float64 // fraction of sessions served by the candidate policy, 0 to 1
	MaxErrorRate float64 // guard: largest fraction of failed attempts of the candidate policy
	MaxP95Ratio  float64 // guard: largest ratio of its first-token p95 to that of the active policy; 0 for no guard
}

// Experiment is a Picker that runs a candidate policy next to the active one. In
// shadow mode the candidate policy gets copies of the arguments of every pick,
// unless it is busy, and has no effect. In share mode it serves a stable fraction of the sessions until one of
// its guards is exceeded; from then on the active policy serves all sessions. If
// the candidate policy does not pick in time, or picks a backend server that is
// not usable, the active policy picks instead.
//
// Like every Picker, an Experiment is not safe for concurrent use, except for
// Report.
type Experiment struct {
	cfg               ExperimentConfig
	active            Picker
	candidate         *isolatedPicker
	candidateSessions *simplelru.LRU[string, bool] // sessions whose last pick the candidate policy made

	mu         sync.Mutex // guards the fields below; no other lock is taken while it is held
	report     ExperimentReport
	firstToken [2]latencies // of the active policy and the candidate policy
}

// ExperimentReport holds the counts of an Experiment, as printed by the command
// `policy compare`. In arrays, index 0 is the active policy and index 1 the
// candidate policy.
type ExperimentReport struct {
	Picks    int64 // all picks
	Compared int64 // picks made by both policies, in shadow mode
	Same     int64 // compared picks for which both chose the same server
	// Load is the sum, over the compared picks, of the estimated load of the chosen
	// backend servers.
	Load     [2]int64
	Served   [2]int64 // finished attempts; a failed pick of the candidate policy counts as one
	Failed   [2]int64 // of Served, those with a failure that the pick may have caused
	FirstP95 [2]time.Duration
	Invalid  int64  // picks of the candidate policy that named no usable backend server
	Late     int64  // picks that the candidate policy did not make in time
	Panics   int64  // panics of the candidate policy
	Skipped  int64  // calls not passed to the candidate policy because it was busy
	Tripped  string // the guard that ended the share, "errors" or "slower"; empty if none
}

// NewExperiment starts an experiment. The caller must call Close when it is no
// longer used.
func NewExperiment(active, candidate Picker, cfg ExperimentConfig) *Experiment {
	candidateSessions, _ := simplelru.NewLRU[string, bool](maxTrackedSessions, nil) // fails only for a size below 1
	return &Experiment{cfg: cfg, active: active, candidate: newIsolatedPicker(candidate), candidateSessions: candidateSessions}
}

// Pick implements Picker.
func (e *Experiment) Pick(req *Request, candidates []Candidate) (int, bool) {
	e.mu.Lock()
	e.report.Picks++
	tripped := e.report.Tripped != ""
	e.mu.Unlock()
	if e.cfg.Shadow {
		return e.pickShadow(req, candidates)
	}
	if tripped || !e.inShare(req.Session) {
		e.candidateSessions.Remove(req.Session)
		return e.active.Pick(req, candidates)
	}
	return e.pickShared(req, candidates)
}

// pickShadow returns the pick of the active policy and passes copies of the
// arguments to the candidate policy for comparison.
func (e *Experiment) pickShadow(req *Request, candidates []Candidate) (int, bool) {
	index, ok := e.active.Pick(req, candidates)
	if !ok {
		return index, ok
	}
	load := candidates[index].Load()
	e.candidate.submitPick(req, candidates, nil, func(r result) { e.compare(index, load, r) })
	return index, ok
}

// compare records the result of one pick in shadow mode.
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

// inShare reports whether a session belongs to the candidate policy's share.
// Requests without a session are always served by the active policy.
func (e *Experiment) inShare(session string) bool {
	if session == "" {
		return false
	}
	const range53 = 1 << 53 // float64 represents integers up to 53 bits exactly
	return float64(Mix(HashName(session), HashName("share"))>>11)/range53 < e.cfg.Share
}

// pickShared returns the pick of the candidate policy, or that of the active one
// if the candidate policy fails. A failed pick counts as a failed attempt.
func (e *Experiment) pickShared(req *Request, candidates []Candidate) (int, bool) {
	r, inTime := e.candidate.pickWithin(req, candidates, pickTimeout)
	if inTime && r.ok && candidates[r.index].Usable() {
		e.candidateSessions.Add(req.Session, true)
		return r.index, true
	}
	e.candidateSessions.Remove(req.Session)
	index, ok := e.active.Pick(req, candidates)
	if r.noneUsable && !ok {
		return index, ok // both found no usable candidate
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
	e.checkGuards()
	return index, ok
}

// Done implements Picker.
func (e *Experiment) Done(f Feedback) {
	variant := 0
	if e.candidateSessions.Contains(f.Session) {
		variant = 1
		e.candidate.sendFeedback(f)
	} else {
		e.active.Done(f)
	}
	if e.cfg.Shadow {
		e.candidate.sendFeedback(f)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Served[variant]++
	if mayBePickFault(f.Code) {
		e.report.Failed[variant]++
	}
	if f.FirstToken > 0 {
		e.firstToken[variant].add(f.FirstToken)
	}
	e.checkGuards()
}

// mayBePickFault reports whether the pick of a server may have caused the failure.
func mayBePickFault(code api.Code) bool {
	switch {
	case code == api.OK, code == api.Cancelled, code == api.ShareExceeded:
		return false
	case code >= 100 && code < 200: // errors of the request itself
		return false
	}
	return true
}

// checkGuards ends the share if a guard is exceeded. The caller holds mu.
func (e *Experiment) checkGuards() {
	r := &e.report
	if e.cfg.Shadow || r.Tripped != "" || r.Served[1] < minGuardSamples {
		return
	}
	if float64(r.Failed[1]) > e.cfg.MaxErrorRate*float64(r.Served[1]) {
		r.Tripped = "errors"
		return
	}
	if e.cfg.MaxP95Ratio <= 0 || !e.firstToken[0].hasP95() || !e.firstToken[1].hasP95() {
		return
	}
	if float64(e.firstToken[1].p95()) > e.cfg.MaxP95Ratio*float64(e.firstToken[0].p95()) {
		r.Tripped = "slower"
	}
}

// Report returns the counts so far. It is safe for concurrent use.
func (e *Experiment) Report() ExperimentReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.report
	for variant := range e.firstToken {
		r.FirstP95[variant] = e.firstToken[variant].p95()
	}
	r.Panics = e.candidate.panics.Load()
	r.Skipped = e.candidate.skipped.Load()
	return r
}

// Close ends the candidate policy's goroutine once the queued calls have returned.
// Only Report may be called after Close.
func (e *Experiment) Close() { e.candidate.close() }
