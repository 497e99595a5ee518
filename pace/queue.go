package pace

import (
	"fmt"
	"slices"
	"time"
)

// This file holds the queue of a gate that admits by priority.

// A request is refused if those that go before it exceed the admissions expected while
// it may wait. The factors leave room for chance.
const (
	// arrivalFactor applies to the requests that will arrive meanwhile.
	arrivalFactor = 1.5
	// queueFactor applies to these and the waiting ones together. It is larger, so that
	// whatever becomes free finds a request waiting.
	queueFactor = 4.0
)

// admitOrQueueByPriority is AdmitOrQueue for a gate that admits by priority. A request
// is also refused if those that go before it, waiting and to come, will probably take
// all that becomes free while it may wait. One that is queued may displace another of
// a lower priority.
func (g *Gate) admitOrQueueByPriority(now time.Duration, t *Ticket) (accepted bool) {
	p := g.placeOf(now, t)
	ahead := g.ahead(now, p)
	if ahead == 0 && g.tryAdmit(now, t) {
		return true
	}
	wait := g.maxWait(t)
	if wait <= 0 || g.AllStalled() || !g.inReach(now, p, ahead, wait) {
		return false
	}
	t.waitDeadline = now + wait
	g.queue = append(g.queue, t)
	g.displace(now, t)
	return true
}

// ahead returns the number of waiting requests that go before one that arrives at p.
func (g *Gate) ahead(now time.Duration, p place) int {
	n := 0
	for _, o := range g.queue {
		if !p.before(g.placeOf(now, o)) {
			n++
		}
	}
	return n
}

// inReach reports whether a request at p, with so many waiting before it, will probably
// be admitted within the wait.
func (g *Gate) inReach(now time.Duration, p place, ahead int, wait time.Duration) bool {
	arrivals, admissions := g.rateBefore(now, p)*wait.Seconds(), g.expectedAdmissions(now, wait)
	return arrivals <= arrivalFactor*admissions && arrivals+float64(ahead) <= queueFactor*admissions
}

// expectedAdmissions returns the number of requests that will probably be admitted
// within d.
func (g *Gate) expectedAdmissions(now, d time.Duration) float64 {
	n := 0.0
	for _, gr := range g.groups {
		if gr.vanished || now < gr.closedUntil {
			continue
		}
		share := g.share(gr, now)
		if g.runTime == 0 {
			n += waitingPerStream * max(share, float64(gr.running))
			continue
		}
		n += max(share-float64(gr.running), 0) + share*d.Seconds()/g.runTime.Seconds()
	}
	return n
}

// displace removes the last waiting request of a lower priority than t, which was just
// queued, if it will probably not be admitted any more.
func (g *Gate) displace(now time.Duration, t *Ticket) {
	last, at := -1, g.placeOf(now, t)
	for i, o := range g.queue {
		if p := g.placeOf(now, o); o.Priority > t.Priority && !p.before(at) {
			last, at = i, p
		}
	}
	if last < 0 {
		return
	}
	o := g.queue[last]
	others := g.ahead(now, at) - 1 // without the request itself
	if g.inReach(now, at, others, o.waitDeadline-now) {
		return
	}
	g.queue = slices.Delete(g.queue, last, last+1)
	g.displaced = append(g.displaced, o)
}

// TakeDisplaced returns the requests that have lost their places in the queue to
// others since the last call. They are refused.
func (g *Gate) TakeDisplaced() []*Ticket {
	list := g.displaced
	g.displaced = nil
	return list
}

// admitByPriority admits waiting requests in order of their places and returns them.
func (g *Gate) admitByPriority(now time.Duration) []*Ticket {
	var admitted []*Ticket
	for len(g.queue) > 0 {
		if free, _ := g.selectGroup(now); free == nil { // most often, and cheaper to find than the first
			break
		}
		first := g.firstWaiting(now)
		g.tryAdmit(now, g.queue[first])
		admitted = append(admitted, g.queue[first])
		g.queue = slices.Delete(g.queue, first, first+1)
	}
	return admitted
}

// firstWaiting returns the index of the waiting request to be admitted next. The queue
// is not empty.
func (g *Gate) firstWaiting(now time.Duration) int {
	first, at := -1, place{}
	for i, o := range g.queue {
		if p := g.placeOf(now, o); first < 0 || p.before(at) {
			first, at = i, p
		}
	}
	return first
}

// Explain describes the state that the admission of a request depends on, for the
// detail of its refusal.
func (g *Gate) Explain(now time.Duration, t *Ticket) string {
	if !g.prioritized {
		return g.Summary(now)
	}
	p, wait := g.placeOf(now, t), g.maxWait(t)
	return fmt.Sprintf("%s; class %d: %d wait before it, %.1f a second come, %.1f admissions in %dms", g.Summary(now),
		t.Priority, g.ahead(now, p), g.rateBefore(now, p), g.expectedAdmissions(now, wait), wait.Milliseconds())
}
