package pace

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings of a Gate.
const (
	// transit is the time of an answer's way to the caller and back that no
	// measurement here shows.
	transit = 10 * time.Millisecond
	// maxWaitShare is the part of the objective for which a request may wait.
	maxWaitShare = 0.5
	// unknownFirst is the part of the objective taken for the first event
	// before one was seen.
	unknownFirst = 0.5
	// returnShare is the part of the objective for which a request that came
	// back after a refusal may wait. It is late already: those that can still be
	// on time go first, and it takes the places that they leave.
	returnShare = 0.125
	// waitingShare is the number of requests that may wait for each one that
	// runs: about as many end within the longest wait.
	waitingShare = 0.25
	// firstWeight is the weight of one more time to the first event in the mean.
	firstWeight = 0.1
	// minReturn and maxReturn bound the time after which refused callers come
	// back, as parts of the time that they have left. Callers wait for a third
	// of it at most.
	minReturn = 0.2
	maxReturn = 0.32
)

// Ticket is one request at a Gate.
type Ticket struct {
	Objective time.Duration // for the first event, from the caller's first attempt
	Returns   bool          // the caller was refused before
	Arrived   time.Duration
	expires   time.Duration
	admitted  bool
}

// Admitted reports whether the request may run.
func (t *Ticket) Admitted() bool { return t.admitted }

// Expires is the time at which a waiting request is to be given up.
func (t *Ticket) Expires() time.Duration { return t.expires }

// Gate admits the streams of one service.
type Gate struct {
	window  *Window
	running int
	queue   []*Ticket // by arrival, those that came back last
	limited bool      // a request had to wait since the last decision
	first   time.Duration
	source  *rand.Rand
}

// NewGate returns a gate with an idle group behind it.
func NewGate(window *Window, source *rand.Rand) *Gate {
	return &Gate{window: window, source: source}
}

// Running is the number of streams that run.
func (g *Gate) Running() int { return g.running }

// Waiting is the number of requests that wait.
func (g *Gate) Waiting() int { return len(g.queue) }

// Window is the gate's window.
func (g *Gate) Window() *Window { return g.window }

// First is the mean time from sending a request to its first event.
func (g *Gate) First() time.Duration { return g.first }

// Arrive admits a request or lets it wait. It reports false when the request
// could not meet its objective anyway and is refused.
func (g *Gate) Arrive(now time.Duration, t *Ticket) bool {
	t.Arrived = now
	if len(g.queue) == 0 && g.running < g.window.Limit() {
		g.admit(t)
		return true
	}
	g.limited = true
	wait := g.patience(t)
	if wait <= 0 || g.hopeless() {
		return false
	}
	t.expires = now + wait
	g.insert(t)
	return true
}

func (g *Gate) admit(t *Ticket) {
	t.admitted = true
	g.running++
}

// patience is how long a request may wait.
func (g *Gate) patience(t *Ticket) time.Duration {
	if t.Returns {
		return time.Duration(returnShare * float64(t.Objective))
	}
	first := g.first
	if first == 0 {
		first = time.Duration(unknownFirst * float64(t.Objective))
	}
	return min(t.Objective-first-transit, time.Duration(maxWaitShare*float64(t.Objective)))
}

// hopeless reports whether the requests that wait already will take up all
// that is likely to end meanwhile.
func (g *Gate) hopeless() bool {
	return float64(len(g.queue)) > waitingShare*float64(g.running)+1
}

func (g *Gate) insert(t *Ticket) {
	if t.Returns {
		g.queue = append(g.queue, t)
		return
	}
	at := slices.IndexFunc(g.queue, func(o *Ticket) bool { return o.Returns })
	if at < 0 {
		at = len(g.queue)
	}
	g.queue = slices.Insert(g.queue, at, t)
}

// Leave notes that a stream has ended, and returns the requests that may run now.
func (g *Gate) Leave(now time.Duration) []*Ticket {
	g.running--
	return g.next(now)
}

// next admits those who wait while there is room.
func (g *Gate) next(now time.Duration) []*Ticket {
	var admitted []*Ticket
	for len(g.queue) > 0 && g.running < g.window.Limit() {
		t := g.queue[0]
		g.queue = g.queue[1:]
		if now >= t.expires {
			continue // its caller is told by Cancel
		}
		g.admit(t)
		admitted = append(admitted, t)
	}
	return admitted
}

// Cancel takes a request that waits out of the queue. It reports false when
// the request was admitted meanwhile.
func (g *Gate) Cancel(t *Ticket) bool {
	if t.admitted {
		return false
	}
	g.queue = slices.DeleteFunc(g.queue, func(o *Ticket) bool { return o == t })
	return true
}

// Began takes the time from sending a request to its first event.
func (g *Gate) Began(d time.Duration) {
	if g.first == 0 {
		g.first = d
		return
	}
	g.first += time.Duration(firstWeight * float64(d-g.first))
}

// Event takes the pause between two events of a stream, and returns the
// requests that may run now.
func (g *Gate) Event(now, gap time.Duration) []*Ticket {
	g.window.Observe(now, gap, g.running, g.limited)
	if g.window.decided == now {
		g.limited = len(g.queue) > 0
	}
	return g.next(now)
}

// ReturnAfter is when a refused caller with this much time left is asked to
// come back: late enough for a peak to be over, and spread out.
func (g *Gate) ReturnAfter(left time.Duration) time.Duration {
	return time.Duration((minReturn + g.source.Float64()*(maxReturn-minReturn)) * float64(left))
}
