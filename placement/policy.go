package placement

import (
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// Costs are what a rebalancing costs a group.
type Costs struct {
	ExpertBytes    int64         // weights of one expert
	BytesPerSecond float64       // rate that the weight store grants the group
	StepTime       time.Duration // time of one step when balanced
	SlotCopyTime   time.Duration // time that a rank holds to load one staged expert
	ColdSteps      float64       // steps after a switch for which moved experts run slower
	ColdSlowdown   float64       // how much slower, as a fraction of a step
}

// StagingTime is the time that the weight store needs for n experts.
func (c Costs) StagingTime(n int) time.Duration {
	if c.BytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(int64(n)*c.ExpertBytes) / c.BytesPerSecond
	return time.Duration(seconds * float64(time.Second))
}

// HeldSteps is the length of the hold at a switch, in steps: the rank with
// the most moves sets it.
func (c Costs) HeldSteps(moves []int) float64 {
	most := 0
	for _, n := range moves {
		most = max(most, n)
	}
	return float64(most) * c.SlotCopyTime.Seconds() / c.StepTime.Seconds()
}

// SwitchSteps is the whole cost of a switch in steps: hold and cold caches.
func (c Costs) SwitchSteps(moves []int) float64 {
	held := c.HeldSteps(moves)
	if held == 0 {
		return 0
	}
	return held + c.ColdSteps*c.ColdSlowdown
}

// Input is everything that a decision rests on.
type Input struct {
	Map           *Map
	Loads         *Loads
	Speeds        []float64 // by rank, relative to the median rank
	Costs         Costs
	Horizon       time.Duration // gain is counted over this time
	Margin        float64       // gain must exceed cost by this factor
	SinceLastMove time.Duration // time since weights were last moved
}

// Decision is the outcome of a policy.
type Decision struct {
	Map        *Map // nil: keep the map in force
	Moves      int  // expert copies from the weight store
	SkewBefore float64
	SkewAfter  float64 // predicted skew (max over mean of rank time), mean of the layers
}

// Policy decides on expert maps. Decide is pure and does not change its input.
type Policy interface {
	Decide(in Input) (Decision, error)
}

// ErrUnknownPolicy says that no policy is registered by a name.
var ErrUnknownPolicy = eris.New("placement: unknown policy")

// registry is written by init functions only and read after them.
var registry = map[string]func() Policy{}

// Register makes a policy known by name; policies call it from init.
func Register(name string, build func() Policy) { registry[name] = build }

// New returns a policy by its registered name. Error: ErrUnknownPolicy.
func New(name string) (Policy, error) {
	build, ok := registry[name]
	if !ok {
		return nil, eris.Wrap(ErrUnknownPolicy, name)
	}
	return build(), nil
}

// Names lists the registered policies in ascending order.
func Names() []string {
	names := make([]string, 0, len(registry))
	for name := range registry {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
