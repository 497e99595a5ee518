package pace

import (
	"math"
	"time"
)

// Parameters of priorities.
const (
	// priorityWindow is the time over which the requests of a priority are counted.
	priorityWindow = 15 * time.Second
	// minInTimeFraction is the fraction of the requests of each priority that are
	// admitted in time before those of a higher one, if as many are of all.
	minInTimeFraction = 0.5
	// inTimeSlack is the number of requests by which a priority may lag behind
	// minInTimeFraction; so many may just be waiting.
	inTimeSlack = 1.0
	// runTimeWeight is the weight of the newest sample in the moving average of the
	// time that a stream runs.
	runTimeWeight = 0.05
	// firstLevel is the level of a request that goes before those of every priority.
	firstLevel = math.MinInt
)

// priorityLoad is the load of the requests of one priority.
type priorityLoad struct {
	rate    arrivalRate   // requests, retries included
	callers decayingCount // first attempts
	inTime  decayingCount // admitted while the objective could be met
}

// SetPrioritized sets whether requests are admitted by priority. It is off at first.
func (g *Gate) SetPrioritized(on bool) { g.prioritized = on }

// loadOf returns the load of a priority.
func (g *Gate) loadOf(priority int) *priorityLoad {
	l := g.priorities[priority]
	if l == nil {
		l = &priorityLoad{}
		g.priorities[priority] = l
	}
	return l
}

// recordPriority counts a request that arrives.
func (g *Gate) recordPriority(now time.Duration, t *Ticket) {
	l := g.loadOf(t.Priority)
	l.rate.record(now)
	if !t.Retry {
		l.callers.add(now)
	}
}

// recordAdmission counts a request that is being admitted.
func (g *Gate) recordAdmission(now time.Duration, t *Ticket) {
	t.admittedAt = now
	if !t.counted && !g.isLate(now, t) {
		t.counted = true
		g.loadOf(t.Priority).inTime.add(now)
	}
}

// recordRunTime records the time that an admitted stream has run.
func (g *Gate) recordRunTime(d time.Duration) {
	if g.runTime == 0 {
		g.runTime = d
		return
	}
	g.runTime += time.Duration(runTimeWeight * float64(d-g.runTime))
}

// starved reports whether too few requests of a priority were admitted in time: less
// than minInTimeFraction, and a smaller part than of all.
func (g *Gate) starved(now time.Duration, priority int) bool {
	callers, inTime := 0.0, 0.0
	for _, l := range g.priorities {
		callers += l.callers.at(now)
		inTime += l.inTime.at(now)
	}
	l := g.loadOf(priority)
	return l.inTime.at(now)+inTimeSlack < min(minInTimeFraction, inTime/max(callers, 1))*l.callers.at(now)
}

// place is a position in the order of admission. Lower levels go first; within one,
// requests that can be on time do, and then those that arrived first.
type place struct {
	level int // the priority, or firstLevel
	late  bool
}

// placeOf returns the place of a request.
func (g *Gate) placeOf(now time.Duration, t *Ticket) place {
	late := g.isLate(now, t)
	if !late && g.starved(now, t.Priority) {
		return place{level: firstLevel}
	}
	return place{t.Priority, late}
}

// before reports whether p goes before o, whenever they arrived.
func (p place) before(o place) bool {
	return p.level < o.level || p.level == o.level && !p.late && o.late
}

// rateBefore returns the rate, in requests per second, at which requests arrive that
// go before one at p: those of a higher priority, and for a late one also those of the
// same.
func (g *Gate) rateBefore(now time.Duration, p place) float64 {
	rate := 0.0
	for priority, l := range g.priorities {
		if priority < p.level || priority == p.level && p.late {
			rate += l.rate.at(now)
		}
	}
	return rate
}
