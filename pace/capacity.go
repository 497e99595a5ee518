// Package pace decides how many streams run at once before a group of model
// engines, which requests wait, and which are refused.
//
// The ranks of a group execute every pass together, so that each stream
// lengthens the pauses of all. Capacity finds the number of streams at which
// pauses stay within the objective, from the pauses and the number that ran
// when they were seen. Gate lets requests in accordingly, in the order that
// serves most callers in time.
//
// All types are pure: times are offsets on a monotonic clock of the caller's,
// and none is safe for concurrent use.
package pace

import "time"

// Settings of a Capacity.
const (
	// aimShare is the part of the objective at which the mean pause of the
	// worst recent period is held, so that the longest of a stream's pauses
	// stays within it.
	aimShare = 0.84
	// memory is for how long a period counts. Demand for experts shifts every
	// few seconds and lengthens passes until the map follows; streams that run
	// then must still be on time.
	memory = 8 * time.Second
	// period is the time over which pauses are averaged: a pass or two.
	period = 120 * time.Millisecond
	// learnFrom is the part of the capacity that must run for a period to
	// count: with fewer streams, single prompts weigh too much.
	learnFrom = 0.5
	// minStreams is the number of streams that may always run.
	minStreams = 4.0
	// growth is the part by which a capacity grows in one period at most.
	growth = 0.06
)

// Capacity estimates how many streams may run in a group at once.
//
// The model is pause = base + cost x streams. The cost of one stream rises and
// falls with the skew of the expert map, with prompts and with slow ranks; the
// highest cost within memory counts.
type Capacity struct {
	objective time.Duration // longest pause for which a stream is on time
	base      time.Duration // pause of an empty group
	limit     float64
	worst     []sample // periods that no later one exceeds in cost, oldest first

	sum     time.Duration // of the pauses in this period
	streams int           // sum of the streams that ran at each of them
	count   int
	decided time.Duration // when the last period ended
	gap     time.Duration // mean pause of the last period
}

// sample is the cost of one stream in one period, in seconds.
type sample struct {
	at   time.Duration
	cost float64
}

// NewCapacity returns an estimate that begins with initial streams. base is the
// pause of a group in which next to nothing runs.
func NewCapacity(objective, base time.Duration, initial float64) *Capacity {
	return &Capacity{objective: objective, base: base, limit: max(initial, minStreams)}
}

// Limit is the number of streams that may run.
func (c *Capacity) Limit() float64 { return c.limit }

// Gap is the mean pause of the last period.
func (c *Capacity) Gap() time.Duration { return c.gap }

// SetObjective changes the objective.
func (c *Capacity) SetObjective(d time.Duration) { c.objective = d }

// Observe takes the pause between two events of a stream; streams is the
// number that run in the group. It reports whether the limit was decided anew.
func (c *Capacity) Observe(now, gap time.Duration, streams int) bool {
	c.sum += gap
	c.streams += streams
	c.count++
	if now-c.decided < period {
		return false
	}
	mean := c.sum / time.Duration(c.count)
	running := float64(c.streams) / float64(c.count)
	c.sum, c.streams, c.count, c.decided, c.gap = 0, 0, 0, now, mean
	c.decide(now, mean, running)
	return true
}

func (c *Capacity) decide(now, gap time.Duration, running float64) {
	aim := time.Duration(aimShare * float64(c.objective))
	if aim <= c.base || running < 1 {
		return
	}
	if running >= learnFrom*c.limit || gap > aim {
		c.remember(sample{now, max(gap-c.base, time.Millisecond).Seconds() / running})
	}
	for len(c.worst) > 0 && now-c.worst[0].at > memory {
		c.worst = c.worst[1:]
	}
	if len(c.worst) == 0 {
		return
	}
	fits := (aim - c.base).Seconds() / c.worst[0].cost
	c.limit = max(minStreams, min(fits, c.limit*(1+growth)+1))
}

// remember keeps a sample and drops the earlier ones that it exceeds.
func (c *Capacity) remember(s sample) {
	for len(c.worst) > 0 && c.worst[len(c.worst)-1].cost <= s.cost {
		c.worst = c.worst[:len(c.worst)-1]
	}
	c.worst = append(c.worst, s)
}
