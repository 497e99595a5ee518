package placementtest

import (
	"math/rand/v2"
	"time"

	"marjorampitch/placement"
	"marjorampitch/placement/pack"
)

// Sizes of the stand-in.
const (
	assignments  = 2048 // expert assignments a rank and step, in the mean
	perToken     = 8    // experts that one token is assigned to
	interval     = time.Minute
	stepTime     = 50 * time.Millisecond
	sampledSteps = 3   // steps drawn and measured in each interval
	countsKept   = 0.2 // of the counts, from one interval to the next
	expertBytes  = 44 << 20
	layerRate    = 35e6 // bytes a second and layer from the weight store
)

// Result is the outcome of one run.
type Result struct {
	P50, P95, P99  float64 // skew: longest rank time over mean rank time, by step and layer
	Mean           float64 // mean skew
	WorstInterval  float64 // worst interval's median skew
	AboveTarget    time.Duration
	Steps          float64 // length of the run, in balanced steps
	Bytes          int64
	Switches       int     // maps put in force
	MovingSwitches int     // of them, those that moved weights
	DroppedMaps    int     // maps staged and not put in force
	HeldSteps      float64 // steps lost to holds at switches
	CostSteps      float64 // steps lost to holds and cold caches
	LostTokens     float64
	DecideMean     time.Duration // mean processor time of a decision
	DecideMax      time.Duration
	Bound          Bound
}

// Bound is what the load itself allows.
type Bound struct {
	P50, P95, P99 float64 // skew of the draw alone, with perfectly packed ranks
	Slots         float64 // least expected skew that the number of replica slots allows at the start
}

// Simulation is one policy in one group under one load.
type Simulation struct {
	Shape    placement.Shape
	Workload Workload
	Policy   string
	Seed     uint64
}

// state is the group during a run.
type state struct {
	run      Simulation
	policy   placement.Policy
	src      rand.Source
	pops     []*popularity
	loads    *placement.Loads
	speeds   *placement.SpeedEstimator
	current  *placement.Map
	staged   *placement.Map // nil when nothing is on its way
	readyAt  time.Duration
	lastMove time.Duration
	skews    samples
	bound    samples
	result   Result
	decide   time.Duration
	decided  int
}

// Run runs the group. The same Run gives the same result but for Decide.
func (r Simulation) Run() (Result, error) {
	s, err := r.start()
	if err != nil {
		return Result{}, err
	}
	for t := time.Duration(0); t < r.Workload.Duration; t += interval {
		s.arrive(t)
		s.step(t)
		s.report(t)
		if err := s.rebalance(t); err != nil {
			return Result{}, err
		}
	}
	return s.finish(), nil
}

// start packs the group for the popularity of the first moment, so that all
// policies set out from the same map.
func (r Simulation) start() (*state, error) {
	policy, err := placement.New(r.Policy)
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(r.Seed, 1))
	s := &state{
		run:    r,
		policy: policy,
		src:    rand.NewPCG(r.Seed, 2),
		loads:  placement.NewLoads(r.Shape),
		speeds: placement.NewSpeedEstimator(r.Shape.Ranks),
	}
	empty, err := placement.NewMap(r.Shape)
	if err != nil {
		return nil, err
	}
	first, err := placement.NewMap(r.Shape)
	if err != nil {
		return nil, err
	}
	for l := range r.Shape.Layers {
		p := newPopularity(r.Workload, r.Shape.Experts, rng)
		s.pops = append(s.pops, p)
		pack.Repack(empty, first, l, p.at(0), s.speeds.Values())
		s.result.Bound.Slots = max(s.result.Bound.Slots, slotBound(p.at(0), r.Shape))
	}
	s.current = first
	return s, nil
}

// speed returns the true speeds at time t.
func (s *state) speed(t time.Duration) []float64 {
	speed := make([]float64, s.run.Shape.Ranks)
	for r := range speed {
		speed[r] = 1
		if r < len(s.run.Workload.SlowSpeeds) && t >= s.run.Workload.SlowFrom {
			speed[r] = s.run.Workload.SlowSpeeds[r]
		}
	}
	return speed
}

// arrive puts a staged map in force once the weight store has delivered it.
func (s *state) arrive(t time.Duration) {
	if s.staged == nil || t < s.readyAt {
		return
	}
	speeds := s.speeds.Values()
	if pack.PredictSkew(s.staged, s.loads, speeds) >= pack.PredictSkew(s.current, s.loads, speeds) {
		s.staged = nil // the load has changed meanwhile
		s.result.DroppedMaps++
		return
	}
	moves := s.current.Moves(s.staged)
	costs := s.costs()
	s.result.HeldSteps += costs.HeldSteps(moves)
	s.result.CostSteps += costs.SwitchSteps(moves)
	s.current = s.staged
	s.staged = nil
	s.lastMove = t
	s.result.MovingSwitches++
	s.result.Switches++
}

// step draws the tokens of some steps and measures the skew of each layer.
func (s *state) step(t time.Duration) {
	speed := s.speed(t)
	var here samples
	for l, p := range s.pops {
		shares := p.at(t)
		for range sampledSteps {
			skew := s.draw(l, shares, speed)
			s.skews = append(s.skews, skew)
			here = append(here, skew)
			s.bound = append(s.bound, s.drawPerfect(speed))
		}
	}
	median := here.quantile(0.5)
	s.result.WorstInterval = max(s.result.WorstInterval, median)
	if median > goalSkew {
		s.result.AboveTarget += interval
	}
}

// draw draws the assignments of one step of layer l: each is an expert by
// popularity and a replica of it by the map's shares.
func (s *state) draw(l int, shares, speed []float64) float64 {
	expert, share := s.current.Layer(l)
	total := float64(assignments * s.run.Shape.Ranks)
	times := make([]float64, s.run.Shape.Ranks)
	for i, e := range expert {
		if e == placement.Empty {
			continue
		}
		mean := total * shares[e] * float64(share[i]) / placement.ShareUnit
		r := i / s.run.Shape.Slots
		times[r] += poisson(mean, s.src) / speed[r]
	}
	return maxOverMean(times)
}

// drawPerfect draws one step of ranks that carry exactly what their speed asks for.
func (s *state) drawPerfect(speed []float64) float64 {
	sum := 0.0
	for _, v := range speed {
		sum += v
	}
	times := make([]float64, len(speed))
	for r, v := range speed {
		times[r] = poisson(assignments*float64(len(speed))*v/sum, s.src) / v
	}
	return maxOverMean(times)
}

// report counts the interval's assignments and the work of each rank.
func (s *state) report(t time.Duration) {
	steps := interval.Seconds() / stepTime.Seconds()
	total := assignments * float64(s.run.Shape.Ranks) * steps
	counts := make([]float64, 0, len(s.loads.Counts))
	work := make([]placement.RankWork, s.run.Shape.Ranks)
	speed := s.speed(t)
	for l, p := range s.pops {
		shares := p.at(t + interval/2)
		for _, share := range shares {
			counts = append(counts, poisson(total*share, s.src))
		}
		expert, share := s.current.Layer(l)
		for i, e := range expert {
			if e != placement.Empty {
				r := i / s.run.Shape.Slots
				done := total * shares[e] * float64(share[i]) / placement.ShareUnit
				work[r].Assignments += done
				work[r].Busy += time.Duration(done / speed[r] * float64(time.Microsecond))
			}
		}
	}
	s.loads.Add(counts, countsKept)
	s.speeds.Observe(work)
}

func (s *state) costs() placement.Costs {
	return placement.Costs{
		ExpertBytes:    expertBytes,
		BytesPerSecond: layerRate * float64(s.run.Shape.Layers),
		StepTime:       stepTime,
		SlotCopyTime:   20 * time.Millisecond,
		ColdSteps:      20,
		ColdSlowdown:   0.1,
	}
}

// rebalance asks the policy, unless weights are on their way.
func (s *state) rebalance(t time.Duration) error {
	if s.staged != nil {
		return nil
	}
	in := placement.Input{
		Map:           s.current,
		Loads:         s.loads,
		Speeds:        s.speeds.Values(),
		Costs:         s.costs(),
		Horizon:       20 * time.Minute,
		Margin:        2,
		SinceLastMove: t + interval - s.lastMove,
	}
	began := time.Now()
	d, err := s.policy.Decide(in)
	took := time.Since(began)
	s.decide += took
	s.decided++
	s.result.DecideMax = max(s.result.DecideMax, took)
	if err != nil || d.Map == nil {
		return err
	}
	s.result.Bytes += int64(d.Moves) * expertBytes
	if d.Moves == 0 {
		s.current = d.Map
		s.result.Switches++
		return nil
	}
	s.staged = d.Map
	s.readyAt = t + interval + in.Costs.StagingTime(d.Moves)
	return nil
}

func (s *state) finish() Result {
	res := s.result
	res.P50, res.P95, res.P99 = s.skews.quantile(0.5), s.skews.quantile(0.95), s.skews.quantile(0.99)
	res.Mean = s.skews.mean()
	res.Bound.P50, res.Bound.P95, res.Bound.P99 = s.bound.quantile(0.5), s.bound.quantile(0.95), s.bound.quantile(0.99)
	res.Steps = s.run.Workload.Duration.Seconds() / stepTime.Seconds()
	tokens := float64(assignments*s.run.Shape.Ranks) / perToken
	res.LostTokens = res.CostSteps * tokens
	if s.decided > 0 {
		res.DecideMean = s.decide / time.Duration(s.decided)
	}
	return res
}
