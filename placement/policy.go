package placement

import (
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/internal/registry"
)

// Costs gives the parameters from which the cost of a rebalancing is computed.
type Costs struct {
	ExpertBytes    int64         // size of one expert's weights
	BytesPerSecond float64       // rate at which the weight store serves the group; 0 or less if unlimited
	StepTime       time.Duration // duration of one forward pass with balanced ranks
	SlotCopyTime   time.Duration // time for which a rank holds requests to load one staged expert
	ColdSteps      float64       // steps after a switch during which moved experts run slower
	ColdSlowdown   float64       // slowdown during ColdSteps, as a fraction of a step
}

// StagingTime returns the time in which the weight store delivers n experts.
func (c Costs) StagingTime(n int) time.Duration {
	if c.BytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(int64(n)*c.ExpertBytes) / c.BytesPerSecond
	return time.Duration(seconds * float64(time.Second))
}

// HeldSteps returns the length of the hold at a switch, in steps. It is
// determined by the rank with the most moves. moves is indexed by rank.
func (c Costs) HeldSteps(moves []int) float64 {
	most := 0
	for _, n := range moves {
		most = max(most, n)
	}
	return float64(most) * c.SlotCopyTime.Seconds() / c.StepTime.Seconds()
}

// SwitchSteps returns the total cost of a switch, in steps: the hold and the
// slowdown by cold caches. It returns 0 if no rank has to hold requests.
func (c Costs) SwitchSteps(moves []int) float64 {
	held := c.HeldSteps(moves)
	if held == 0 {
		return 0
	}
	return held + c.ColdSteps*c.ColdSlowdown
}

// Input is the input of a policy decision.
type Input struct {
	Map           *Map
	Loads         *Loads
	Speeds        []float64 // by rank, relative to the median rank
	Costs         Costs
	Horizon       time.Duration // period over which the gain is summed
	Margin        float64       // factor by which the gain must exceed the cost
	SinceLastMove time.Duration // time since the last switch that moved weights
}

// Decision is the outcome of a policy. The skews are 0 if the policy has not
// computed them.
type Decision struct {
	Map        *Map    // nil to keep the current map
	Moves      int     // number of expert copies to load from the weight store
	SkewBefore float64 // skew (longest rank time over the rank time at perfect balance) of the current map, averaged over the layers
	SkewAfter  float64 // predicted skew of Map, averaged over the layers
}

// Policy decides whether a group gets a new expert map.
type Policy interface {
	// Decide is deterministic, has no side effects and does not modify its input.
	Decide(in Input) (Decision, error)
}

// ErrUnknownPolicy is returned for a name under which no policy is registered.
var ErrUnknownPolicy = eris.New("placement: unknown policy")

var policies = registry.New[func() Policy]("placement policy")

// Register registers a policy under a name. It must be called from an init
// function, and panics if the name is already registered.
func Register(name string, build func() Policy) { policies.Register(name, build) }

// New returns the policy registered under name. It fails with ErrUnknownPolicy.
func New(name string) (Policy, error) {
	build, ok := policies.Lookup(name)
	if !ok {
		return nil, eris.Wrap(ErrUnknownPolicy, name)
	}
	return build(), nil
}

// Names returns the names of the registered policies in ascending order.
func Names() []string { return policies.Names() }
