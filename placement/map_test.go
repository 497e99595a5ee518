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

// Example packs the experts of a small group for measured loads and lets the
// default policy decide whether the resulting map has to change.
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

// Check accepts a valid map and rejects maps with a missing or duplicate expert, wrong
// shares, or numbers that do not fit the shape.
func TestMapCheckRejectsInvalidMaps(t *testing.T) {
	shape := placement.Shape{Layers: 1, Ranks: 2, Experts: 2, Slots: 2}
	check := func(expert, share []uint16) error {
		return (&placement.Map{Shape: shape, Expert: expert, Share: share}).Check()
	}
	const full, none = placement.ShareUnit, placement.Empty
	require.NoError(t, check([]uint16{0, 1, 0, none}, []uint16{full / 2, full, full / 2, 0}))
	require.Error(t, check([]uint16{0, 0, 1, none}, []uint16{full / 2, full / 2, full, 0}), "expert 0 twice on rank 0")
	require.Error(t, check([]uint16{0, none, 0, none}, []uint16{full / 2, 0, full / 2, 0}), "expert 1 missing")
	require.Error(t, check([]uint16{0, 1, 0, none}, []uint16{full, full, full, 0}), "shares add up to more than ShareUnit")
	require.Error(t, check([]uint16{0, 1, 7, none}, []uint16{full, full, 0, 0}), "expert out of range")
	require.Error(t, check([]uint16{0, 1}, []uint16{full, full}), "fewer slots than the shape has")
}

// A rank is slow if its time per assignment is long in successive reports, not if it
// has more assignments than others or was slow in one report.
func TestSpeedEstimatorDistinguishesSlowFromBusyRanks(t *testing.T) {
	s := placement.NewSpeedEstimator(4)
	observe := func(busy1, busy2 float64) {
		s.Observe([]placement.RankWork{
			{Assignments: 1000, Busy: time.Second},
			{Assignments: 3000, Busy: time.Duration(busy1 * float64(time.Second))},
			{Assignments: 1000, Busy: time.Duration(busy2 * float64(time.Second))},
			{Assignments: 1000, Busy: time.Second},
		})
	}
	observe(3, 2) // rank 1 has three times the work at nominal speed; rank 2 is slow in one report only
	observe(3, 1)
	require.Empty(t, s.Slow())
	for range 3 {
		observe(3, 2)
	}
	require.Equal(t, []int{2}, s.Slow())
	require.InDelta(t, 0.5, s.Values()[2], 1e-9)
	observe(3, 1)
	require.Empty(t, s.Slow(), "rank 2 is back at nominal speed")
}
