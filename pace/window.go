// Package pace decides how many streams of an instance run at once before a
// group of model engines, which wait, and which are refused.
//
// The ranks of a group execute every pass together, so that each stream
// lengthens the pauses of all. Window finds the number of streams at which
// pauses stay within the objective from the pauses alone, as a congestion
// controller finds its window from delays: every instance sees the same
// pauses, so that their windows converge to equal shares, and one that needs
// less leaves the rest to the others, with no messages between them.
//
// All types are pure: times are offsets on a monotonic clock of the caller's,
// and none is safe for concurrent use.
package pace

import "time"

// Settings of a Window.
const (
	// aimShare is the part of the objective at which the mean pause of the
	// worst recent period is held, so that the longest of a stream's pauses
	// stays within it.
	aimShare = 0.82
	// memory is for how long a period's pauses count. Demand for experts shifts
	// every few seconds and lengthens passes until the map follows; streams that
	// run then must still be on time.
	memory = 4 * time.Second
	// period is the time between two decisions; a stream that was admitted
	// shows in the pauses of the next pass or two.
	period = 150 * time.Millisecond
	// growth is the number of streams by which a window grows in one period.
	growth = 1.0
	// maxCut is the part of the window that one period takes away at most.
	maxCut = 0.25
	// minWindow is the number of streams that may always run.
	minWindow = 1.0
	// headroom is how far beyond the streams that run a window may grow.
	headroom = 2.0
)

// Window is the number of streams that may run at once.
type Window struct {
	objective time.Duration // longest pause for which a stream is on time
	limit     float64
	sum       time.Duration // of the pauses seen in this period
	count     int
	decided   time.Duration // when the last period ended
	lastGap   time.Duration // mean pause of the last period with any
	worst     []sample      // periods that no later one exceeds, oldest first
	heard     time.Duration // last pause
}

// sample is the mean pause of one period.
type sample struct {
	at, gap time.Duration
}

// NewWindow returns a window of initial streams.
func NewWindow(objective time.Duration, initial float64) *Window {
	return &Window{objective: objective, limit: max(initial, minWindow)}
}

// Limit is the number of streams that may run.
func (w *Window) Limit() int { return int(w.limit) }

// Gap is the mean pause of the last period in which one was seen.
func (w *Window) Gap() time.Duration { return w.lastGap }

// SetObjective changes the objective.
func (w *Window) SetObjective(d time.Duration) { w.objective = d }

// Observe takes the pause between two events of a stream, and decides when a
// period is over. running is the number of streams that run, limited says
// that others waited or were refused since the last call.
func (w *Window) Observe(now, gap time.Duration, running int, limited bool) {
	w.sum += gap
	w.count++
	w.heard = now
	if now-w.decided < period {
		return
	}
	mean := w.sum / time.Duration(w.count)
	w.sum, w.count, w.decided, w.lastGap = 0, 0, now, mean
	w.decide(mean, w.remember(now, mean), running, limited)
}

// remember returns the longest mean pause within memory.
func (w *Window) remember(now, gap time.Duration) time.Duration {
	for len(w.worst) > 0 && w.worst[len(w.worst)-1].gap <= gap {
		w.worst = w.worst[:len(w.worst)-1]
	}
	w.worst = append(w.worst, sample{now, gap})
	for now-w.worst[0].at > memory {
		w.worst = w.worst[1:]
	}
	return w.worst[0].gap
}

// decide shrinks the window on a long pause at once, and lets it grow while
// the longest recent one leaves room.
func (w *Window) decide(mean, worst time.Duration, running int, limited bool) {
	aim := aimShare * float64(w.objective)
	if aim <= 0 {
		return
	}
	if excess := float64(mean)/aim - 1; excess > 0 {
		w.limit = max(minWindow, w.limit*(1-min(excess/2, maxCut)))
		return
	}
	excess := float64(worst)/aim - 1
	if excess >= 0 {
		return
	}
	if limited || float64(running) >= w.limit-1 {
		w.limit += growth * min(1, -excess*4)
	}
	w.limit = min(w.limit, max(float64(running)+headroom, minWindow+headroom, w.limit-growth))
}
