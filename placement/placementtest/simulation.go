package placementtest

import (
	"math/rand/v2"
	"time"

	"marjorampitch/placement"
	"marjorampitch/placement/pack"
)

// Parameters of the simulated group.
const (
	assignments  = 2048        // mean number of expert assignments per rank, step and layer
	perToken     = 8           // experts per token and layer
	interval     = time.Minute // between two load reports and decisions
	stepTime     = 50 * time.Millisecond
	sampledSteps = 3        // steps drawn and measured per interval
	countDecay   = 0.2      // factor applied to the load counts at each interval
	expertBytes  = 44 << 20 // weights of one expert of one layer
	layerRate    = 35e6     // rate of the weight store, in bytes per second and layer
)

// Result is the result of one simulation.
type Result struct {
	P50, P95, P99  float64       // quantiles of the skew (longest rank time over mean rank time) of the sampled steps and layers
	Mean           float64       // mean skew
	WorstInterval  float64       // highest median skew of an interval
	AboveTarget    time.Duration // total of the intervals whose median skew exceeds targetSkew
	Steps          float64       // duration of the simulation, in balanced steps
	Bytes          int64         // weights copied from the weight store
	Switches       int           // number of maps activated
	MovingSwitches int           // number of activated maps that moved weights
	DroppedMaps    int           // number of maps staged but not activated
	HeldSteps      float64       // steps lost to holds at switches
	CostSteps      float64       // steps lost to holds and cold caches
	LostTokens     float64       // tokens not processed in CostSteps
	DecideMean     time.Duration // mean wall-clock time of a decision
	DecideMax      time.Duration // longest wall-clock time of a decision
	Bound          Bound
}

// Bound holds lower bounds of the skew under the workload.
type Bound struct {
	P50, P95, P99 float64 // skew due to random draws alone, with perfectly packed ranks
	Slots         float64 // lowest skew that the slot count allows at time 0, the highest of all layers
}

// Simulation is the configuration of a simulation: one policy in one group under
// one workload.
type Simulation struct {
	Shape    placement.Shape
	Workload Workload
	Policy   string
	Seed     uint64
}

// state is the state of the group during a simulation.
type state struct {
	config       Simulation
	policy       placement.Policy
	src          rand.Source
	popularities []*popularity // by layer
	loads        *placement.Loads
	speeds       *placement.SpeedEstimator
	current      *placement.Map
	staged       *placement.Map // map whose weights are being copied, or nil
	readyAt      time.Duration  // time at which the weights of staged are delivered
	lastMove     time.Duration  // time of the last switch that moved weights
	skews        samples
	bound        samples // skews of the steps drawn with perfectly packed ranks
	result       Result
	decideTime   time.Duration // total time of the decisions
	decisions    int           // number of decisions
}

// Run runs the simulation. Equal Simulations give equal results except for
// DecideMean and DecideMax.
func (c Simulation) Run() (Result, error) {
	s, err := c.start()
	if err != nil {
		return Result{}, err
	}
	for t := time.Duration(0); t < c.Workload.Duration; t += interval {
		s.activate(t)
		s.sample(t)
		s.report(t)
		if err := s.rebalance(t); err != nil {
			return Result{}, err
		}
	}
	return s.finish(), nil
}

// start packs the experts for the popularity at time 0, so that all policies start
// from the same map.
func (c Simulation) start() (*state, error) {
	policy, err := placement.New(c.Policy)
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	s := &state{
		config: c,
		policy: policy,
		src:    rand.NewPCG(c.Seed, 2),
		loads:  placement.NewLoads(c.Shape),
		speeds: placement.NewSpeedEstimator(c.Shape.Ranks),
	}
	empty, err := placement.NewMap(c.Shape)
	if err != nil {
		return nil, err
	}
	first, err := placement.NewMap(c.Shape)
	if err != nil {
		return nil, err
	}
	for l := range c.Shape.Layers {
		p := newPopularity(c.Workload, c.Shape.Experts, rng)
		s.popularities = append(s.popularities, p)
		pack.Repack(empty, first, l, p.at(0), s.speeds.Values())
		s.result.Bound.Slots = max(s.result.Bound.Slots, slotBound(p.at(0), c.Shape))
	}
	s.current = first
	return s, nil
}

// speedsAt returns the true speeds by rank at time t.
func (s *state) speedsAt(t time.Duration) []float64 {
	speed := make([]float64, s.config.Shape.Ranks)
	for r := range speed {
		speed[r] = 1
		if r < len(s.config.Workload.SlowSpeeds) && t >= s.config.Workload.SlowFrom {
			speed[r] = s.config.Workload.SlowSpeeds[r]
		}
	}
	return speed
}

// activate activates the staged map once the weight store has delivered its weights,
// unless the current map now has a lower predicted skew.
func (s *state) activate(t time.Duration) {
	if s.staged == nil || t < s.readyAt {
		return
	}
	speeds := s.speeds.Values()
	if pack.PredictSkew(s.staged, s.loads, speeds) >= pack.PredictSkew(s.current, s.loads, speeds) {
		s.staged = nil // the loads have changed since the decision
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

// sample draws sampledSteps steps for the interval that starts at t and records the
// skew of each layer.
func (s *state) sample(t time.Duration) {
	speed := s.speedsAt(t)
	var drawn samples
	for l, p := range s.popularities {
		shares := p.at(t)
		for range sampledSteps {
			skew := s.drawStep(l, shares, speed)
			s.skews = append(s.skews, skew)
			drawn = append(drawn, skew)
			s.bound = append(s.bound, s.drawBalanced(speed))
		}
	}
	median := drawn.quantile(0.5)
	s.result.WorstInterval = max(s.result.WorstInterval, median)
	if median > targetSkew {
		s.result.AboveTarget += interval
	}
}

// drawStep draws the assignments of one step of layer l and returns its skew. An
// assignment goes to an expert by popularity and to one of its replicas by the
// shares of the map.
func (s *state) drawStep(l int, shares, speed []float64) float64 {
	expert, share := s.current.Layer(l)
	total := float64(assignments * s.config.Shape.Ranks)
	times := make([]float64, s.config.Shape.Ranks)
	for i, e := range expert {
		if e == placement.Empty {
			continue
		}
		mean := total * shares[e] * float64(share[i]) / placement.ShareUnit
		r := i / s.config.Shape.Slots
		times[r] += poisson(mean, s.src) / speed[r]
	}
	return maxOverMean(times)
}

// drawBalanced draws one step in which the expected load of each rank is
// proportional to its speed, and returns its skew.
func (s *state) drawBalanced(speed []float64) float64 {
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

// report updates the measured loads and speeds with the assignments of the interval
// that starts at t.
func (s *state) report(t time.Duration) {
	steps := interval.Seconds() / stepTime.Seconds()
	total := assignments * float64(s.config.Shape.Ranks) * steps
	counts := make([]float64, 0, len(s.loads.Counts))
	work := make([]placement.RankWork, s.config.Shape.Ranks)
	speed := s.speedsAt(t)
	for l, p := range s.popularities {
		shares := p.at(t + interval/2)
		for _, share := range shares {
			counts = append(counts, poisson(total*share, s.src))
		}
		expert, share := s.current.Layer(l)
		for i, e := range expert {
			if e != placement.Empty {
				r := i / s.config.Shape.Slots
				done := total * shares[e] * float64(share[i]) / placement.ShareUnit
				work[r].Assignments += done
				work[r].Busy += time.Duration(done / speed[r] * float64(time.Microsecond))
			}
		}
	}
	s.loads.Add(counts, countDecay)
	s.speeds.Observe(work)
}

func (s *state) costs() placement.Costs {
	return placement.Costs{
		ExpertBytes:    expertBytes,
		BytesPerSecond: layerRate * float64(s.config.Shape.Layers),
		StepTime:       stepTime,
		SlotCopyTime:   20 * time.Millisecond,
		ColdSteps:      20,
		ColdSlowdown:   0.1,
	}
}

// rebalance runs the policy at the end of the interval that starts at t, unless
// weights are being copied. A map without moves is activated at once.
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
	start := time.Now()
	d, err := s.policy.Decide(in)
	elapsed := time.Since(start)
	s.decideTime += elapsed
	s.decisions++
	s.result.DecideMax = max(s.result.DecideMax, elapsed)
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
	res.Steps = s.config.Workload.Duration.Seconds() / stepTime.Seconds()
	tokens := float64(assignments*s.config.Shape.Ranks) / perToken
	res.LostTokens = res.CostSteps * tokens
	if s.decisions > 0 {
		res.DecideMean = s.decideTime / time.Duration(s.decisions)
	}
	return res
}
