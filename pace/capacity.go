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
	// unknownLimit is the number of streams that a group begins with of whose
	// engines nothing is known.
	unknownLimit = 16.0
	// baseWeight is the weight of the newest period in the estimate of the base.
	baseWeight = 0.4
	// lateTime is the time within which a stream that is late anyway must end:
	// callers wait several seconds.
	lateTime = 5 * time.Second
	// lateGain is how many times more streams must end late than could end in
	// time before a group serves them late; lateHysteresis keeps it there.
	lateGain       = 3.0
	lateHysteresis = 0.8
	// growth is the part by which a capacity grows in one period at most.
	growth = 0.06
)

// CostModel is what is known of a group beforehand, from its engines' cost model.
type CostModel struct {
	BaseGap         time.Duration // pause of a group in which next to nothing runs
	MaxStreamCost   time.Duration // most that one stream adds to a pause; 0 where it is not known
	EventsPerStream float64       // usual number of events of a stream
}

// CapacityEstimator estimates how many streams may run in a group at once.
//
// The model is pause = base + cost x streams. The cost of one stream rises and
// falls with the skew of the expert map and with prompts; the highest within
// memory counts. What a pause exceeds the worst cost by is base: a slow rank
// lengthens passes however few streams run.
type CapacityEstimator struct {
	objective time.Duration // longest pause for which a stream is on time
	model     CostModel
	limit     float64
	base      float64  // present estimate, seconds
	worst     []sample // periods that no later one exceeds in cost, oldest first
	late      bool     // the group is too slow: more callers are served late

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

// NewCapacityEstimator returns an estimate that begins with what meets the objective at
// the worst cost: a group that starts has a map that knows no demand.
func NewCapacityEstimator(objective time.Duration, model CostModel) *CapacityEstimator {
	c := &CapacityEstimator{objective: objective, model: model, base: model.BaseGap.Seconds(), limit: unknownLimit}
	if model.MaxStreamCost > 0 {
		c.limit = max(minStreams, (aimShare*objective.Seconds()-c.base)/model.MaxStreamCost.Seconds())
	}
	return c
}

// Limit is the number of streams that may run.
func (c *CapacityEstimator) Limit() float64 { return c.limit }

// Gap is the mean pause of the last period.
func (c *CapacityEstimator) Gap() time.Duration { return c.gap }

// Late reports whether the group is so slow that it serves more callers late
// than few in time.
func (c *CapacityEstimator) Late() bool { return c.late }

// SetObjective changes the objective.
func (c *CapacityEstimator) SetObjective(d time.Duration) { c.objective = d }

// Observe takes the pause between two events of a stream; streams is the
// number that run in the group. It reports whether the limit was decided anew.
func (c *CapacityEstimator) Observe(now, gap time.Duration, streams int) bool {
	c.sum += gap
	c.streams += streams
	c.count++
	if now-c.decided < period {
		return false
	}
	mean := c.sum / time.Duration(c.count)
	running := float64(c.streams) / float64(c.count)
	c.sum, c.streams, c.count, c.decided, c.gap = 0, 0, 0, now, mean
	if running >= 1 {
		c.learn(now, mean, running)
		c.decide()
	}
	return true
}

// learn splits a pause into base and cost.
func (c *CapacityEstimator) learn(now, gap time.Duration, running float64) {
	cost := max(gap-c.model.BaseGap, time.Millisecond).Seconds() / running
	if c.model.MaxStreamCost > 0 {
		cost = min(cost, c.model.MaxStreamCost.Seconds())
	}
	base := max(gap.Seconds()-cost*running, c.model.BaseGap.Seconds())
	c.base += baseWeight * (base - c.base)
	if running >= learnFrom*c.limit || gap > c.objective {
		c.remember(sample{now, cost})
	}
	for len(c.worst) > 0 && now-c.worst[0].at > memory {
		c.worst = c.worst[1:]
	}
}

// remember keeps a sample and drops the earlier ones that it exceeds.
func (c *CapacityEstimator) remember(s sample) {
	for len(c.worst) > 0 && c.worst[len(c.worst)-1].cost <= s.cost {
		c.worst = c.worst[:len(c.worst)-1]
	}
	c.worst = append(c.worst, s)
}

// decide sets the limit to what meets the objective; where that is so little
// that several times as many callers can be served late, to that.
func (c *CapacityEstimator) decide() {
	if len(c.worst) == 0 {
		return
	}
	cost := c.worst[0].cost
	aim := aimShare * c.objective.Seconds()
	inTime := max((aim-c.base)/cost, minStreams)
	lateGap := c.lateGap()
	late := max((lateGap-c.base)/cost, 0)
	gain := lateGain
	if c.late {
		gain *= lateHysteresis
	}
	c.late = late/lateGap > gain*inTime/aim
	fits := inTime
	if c.late {
		fits = late
	}
	c.limit = max(minStreams, min(fits, c.limit*(1+growth)+1))
}

// lateGap is the pause at which a usual stream still ends within the time that
// callers give it.
func (c *CapacityEstimator) lateGap() float64 {
	if c.model.EventsPerStream <= 0 {
		return 2 * c.objective.Seconds()
	}
	return lateTime.Seconds() / c.model.EventsPerStream
}
