// Package pace implements admission control for the streams of a service: how
// many streams a group of model engines runs at once, which requests wait, and
// which are refused.
//
// The ranks of a group execute every forward pass together, so each running
// stream lengthens the gap between events for all streams. CapacityEstimator
// derives the number of streams at which gaps meet the objective from observed
// gaps and the number of streams that ran at the time. Gate admits requests up
// to that number, in the order that serves most callers on time, or first by priority.
//
// All types are pure state: times are offsets on the caller's monotonic clock.
// None of the types is safe for concurrent use.
package pace

import "time"

// Parameters of a CapacityEstimator.
const (
	// targetFraction is the fraction of the objective at which the mean gap of
	// the costliest recent period is kept, so that the longest gap of a stream
	// stays within the objective.
	targetFraction = 0.84
	// costWindow is how long a cost sample counts. Demand for experts shifts
	// every few seconds and lengthens passes until the expert map follows; streams
	// that run until then must still be on time.
	costWindow = 8 * time.Second
	// averagingPeriod is the period over which gaps are averaged, one or two
	// passes.
	averagingPeriod = 120 * time.Millisecond
	// minLoadFraction is the minimum ratio of running streams to the limit for a
	// period to yield a cost sample, unless its gap exceeds the objective: with fewer
	// streams, single prompts weigh too much.
	minLoadFraction = 0.5
	// minStreams is the lower bound of the limit.
	minStreams = 4.0
	// defaultLimit is the initial limit where the stream cost is unknown.
	defaultLimit = 16.0
	// baseWeight is the weight of the newest period in the moving average of the
	// base gap.
	baseWeight = 0.4
	// lateStreamTime is the time within which a stream of a degraded group must end:
	// callers disconnect after several seconds.
	lateStreamTime = 5 * time.Second
	// lateGain is the ratio of late to on-time throughput above which a group is
	// marked degraded and admits more streams, all of them late. It stays degraded
	// down to lateGain * lateHysteresis.
	lateGain       = 3.0
	lateHysteresis = 0.8
	// maxGrowth is the largest relative increase of the limit in one period above the
	// initial limit; one more stream is allowed on top.
	maxGrowth = 0.06
)

// CostModel is the configured cost model of a group's engines. Zero fields are
// unknown.
type CostModel struct {
	BaseGap         time.Duration // gap between events in a nearly idle group
	MaxStreamCost   time.Duration // largest increase of the gap per running stream
	EventsPerStream float64       // typical number of events of a stream
}

// CapacityEstimator estimates how many streams a group can run at once.
//
// It models the gap between events as base + cost * streams. The cost per
// stream varies with the skew of the expert map and with prompts; the highest
// value within costWindow applies. The part of a gap beyond the maximum cost is
// attributed to the base, because a slow rank lengthens passes regardless of
// the number of streams.
type CapacityEstimator struct {
	objective time.Duration // longest gap at which a stream is on time
	model     CostModel
	limit     float64
	initial   float64      // limit at the maximum stream cost; a group that was slow may return to it at once
	base      float64      // current estimate, seconds
	peakCosts []costSample // decreasing cost, oldest first; the first is the highest within costWindow
	degraded  bool

	gapSum    time.Duration // over the current period
	streamSum int           // running streams, summed over the gaps of the period
	gapCount  int
	periodEnd time.Duration // end of the last period
	meanGap   time.Duration // of the last period
}

// costSample is the cost per stream in one period, in seconds.
type costSample struct {
	at   time.Duration
	cost float64
}

// NewCapacityEstimator returns an estimator for a group with the given objective
// for gaps. The initial limit meets the objective at the maximum stream cost,
// because the initial expert map of a group does not reflect demand.
func NewCapacityEstimator(objective time.Duration, model CostModel) *CapacityEstimator {
	c := &CapacityEstimator{objective: objective, model: model, base: model.BaseGap.Seconds(), limit: defaultLimit}
	if model.MaxStreamCost > 0 {
		c.limit = max(minStreams, (targetFraction*objective.Seconds()-c.base)/model.MaxStreamCost.Seconds())
		c.initial = c.limit
	}
	return c
}

// Limit returns the number of streams that may run at once.
func (c *CapacityEstimator) Limit() float64 { return c.limit }

// Gap returns the mean gap of the last averaging period.
func (c *CapacityEstimator) Gap() time.Duration { return c.meanGap }

// Degraded reports whether the group is so slow that the limit admits many
// streams that end late instead of few that meet the objective.
func (c *CapacityEstimator) Degraded() bool { return c.degraded }

// SetObjective changes the objective for gaps.
func (c *CapacityEstimator) SetObjective(d time.Duration) { c.objective = d }

// Observe records the gap between two events of a stream while the group ran
// the given number of streams. It reports whether an averaging period ended.
func (c *CapacityEstimator) Observe(now, gap time.Duration, streams int) bool {
	c.gapSum += gap
	c.streamSum += streams
	c.gapCount++
	if now-c.periodEnd < averagingPeriod {
		return false
	}
	mean := c.gapSum / time.Duration(c.gapCount)
	running := float64(c.streamSum) / float64(c.gapCount)
	c.gapSum, c.streamSum, c.gapCount, c.periodEnd, c.meanGap = 0, 0, 0, now, mean
	if running >= 1 {
		c.updateEstimates(now, mean, running)
		c.updateLimit()
	}
	return true
}

// updateEstimates splits a mean gap into base and cost per stream and updates
// both estimates.
func (c *CapacityEstimator) updateEstimates(now, gap time.Duration, running float64) {
	cost := max(gap-c.model.BaseGap, time.Millisecond).Seconds() / running
	if c.model.MaxStreamCost > 0 {
		cost = min(cost, c.model.MaxStreamCost.Seconds())
	}
	base := max(gap.Seconds()-cost*running, c.model.BaseGap.Seconds())
	c.base += baseWeight * (base - c.base)
	if running >= minLoadFraction*c.limit || gap > c.objective {
		c.addSample(costSample{now, cost})
	}
	for len(c.peakCosts) > 0 && now-c.peakCosts[0].at > costWindow {
		c.peakCosts = c.peakCosts[1:]
	}
}

// addSample appends a sample and removes earlier ones of equal or lower cost.
func (c *CapacityEstimator) addSample(s costSample) {
	for len(c.peakCosts) > 0 && c.peakCosts[len(c.peakCosts)-1].cost <= s.cost {
		c.peakCosts = c.peakCosts[:len(c.peakCosts)-1]
	}
	c.peakCosts = append(c.peakCosts, s)
}

// updateLimit sets the limit to the number of streams that meets the objective.
// If late throughput exceeds on-time throughput by lateGain, it marks the group
// degraded and sets the limit that lets streams end within lateStreamTime.
func (c *CapacityEstimator) updateLimit() {
	if len(c.peakCosts) == 0 {
		return
	}
	cost := c.peakCosts[0].cost
	targetGap := targetFraction * c.objective.Seconds()
	onTimeStreams := max((targetGap-c.base)/cost, minStreams)
	lateGap := c.degradedGap()
	lateStreams := max((lateGap-c.base)/cost, 0)
	gain := lateGain
	if c.degraded {
		gain *= lateHysteresis
	}
	c.degraded = lateStreams/lateGap > gain*onTimeStreams/targetGap
	limit := onTimeStreams
	if c.degraded {
		limit = lateStreams
	}
	c.limit = max(minStreams, min(limit, max(c.limit*(1+maxGrowth)+1, c.initial)))
}

// degradedGap returns the gap, in seconds, at which a typical stream still ends
// within lateStreamTime.
func (c *CapacityEstimator) degradedGap() float64 {
	if c.model.EventsPerStream <= 0 {
		return 2 * c.objective.Seconds()
	}
	return lateStreamTime.Seconds() / c.model.EventsPerStream
}
