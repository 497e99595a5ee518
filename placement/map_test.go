package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/placement"
	"marjorampitch/placement/pack"
	_ "marjorampitch/placement/packed"
)

// Example packs a small group for measured loads and asks the default policy
// whether the result should change.
func Example() {
	shape := placement.Shape{Layers: 1, Ranks: 2, Experts: 4, Slots: 3}
	empty, _ := placement.NewMap(shape)
	first, _ := placement.NewMap(shape)
	loads := placement.NewLoads(shape)
	loads.Add([]float64{600, 200, 100, 100}, 0)
	speeds := placement.NewSpeedEstimator(shape.Ranks).Values()
	pack.Repack(empty, first, 0, loads.Layer(0), speeds)

	policy, _ := placement.New("packed")
	decision, _ := policy.Decide(placement.Input{
		Map: first, Loads: loads, Speeds: speeds,
		Costs:   placement.Costs{StepTime: 50 * time.Millisecond},
		Horizon: time.Minute, Margin: 2,
	})
	fmt.Printf("valid=%t skew=%.2f change=%t\n", first.Check() == nil, decision.SkewBefore, decision.Map != nil)
	// Output: valid=true skew=1.00 change=false
}

func TestMapCheckFindsWhatIsWrong(t *testing.T) {
	shape := placement.Shape{Layers: 1, Ranks: 2, Experts: 2, Slots: 2}
	build := func(expert, share []uint16) error {
		return (&placement.Map{Shape: shape, Expert: expert, Share: share}).Check()
	}
	const whole, none = placement.ShareUnit, placement.Empty
	require.NoError(t, build([]uint16{0, 1, 0, none}, []uint16{whole / 2, whole, whole / 2, 0}))
	require.Error(t, build([]uint16{0, 0, 1, none}, []uint16{whole / 2, whole / 2, whole, 0}), "expert twice on a rank")
	require.Error(t, build([]uint16{0, none, 0, none}, []uint16{whole / 2, 0, whole / 2, 0}), "expert 1 missing")
	require.Error(t, build([]uint16{0, 1, 0, none}, []uint16{whole, whole, whole, 0}), "shares beyond the whole")
	require.Error(t, build([]uint16{0, 1, 7, none}, []uint16{whole, whole, 0, 0}), "no such expert")
	require.Error(t, build([]uint16{0, 1}, []uint16{whole, whole}), "too short")
}

func TestSpeedsSeparatesSlowFromUnlucky(t *testing.T) {
	s := placement.NewSpeedEstimator(4)
	report := func(second, third float64) {
		s.Observe([]placement.RankWork{
			{Assignments: 1000, Busy: time.Second},
			{Assignments: 3000, Busy: time.Duration(second * float64(time.Second))},
			{Assignments: 1000, Busy: time.Duration(third * float64(time.Second))},
			{Assignments: 1000, Busy: time.Second},
		})
	}
	report(3, 2) // rank 1 is unlucky: three times the work; rank 2 is slow once
	report(3, 1)
	require.Empty(t, s.Slow())
	for range 3 {
		report(3, 2)
	}
	require.Equal(t, []int{2}, s.Slow())
	require.InDelta(t, 0.5, s.Values()[2], 1e-9)
	report(3, 1)
	require.Empty(t, s.Slow(), "the rank has recovered")
}
