package placementtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/placement"
	"marjorampitch/placement/fullrepack"
	"marjorampitch/placement/packed"
	"marjorampitch/placement/speedblind"
	"marjorampitch/placement/static"
)

// TestPackedMeetsTargetUnderDrift checks the default policy in two hours of drift
// with 64 ranks and 256 experts: the p95 of the skew is at most 1.10, the bytes
// moved are at most a tenth of those of fullrepack, and the mean skew is below
// that of static.
func TestPackedMeetsTargetUnderDrift(t *testing.T) {
	shape := placement.Shape{Layers: 1, Ranks: 64, Experts: 256, Slots: 5}
	workload := Workload{Name: "drift", Zipf: 0.9, DriftAmplitude: 0.7, Duration: 2 * time.Hour}
	results := make(map[string]Result)
	for _, name := range []string{static.Name, fullrepack.Name, packed.Name} {
		res, err := Simulation{Shape: shape, Workload: workload, Policy: name, Seed: 7}.Run()
		require.NoError(t, err)
		results[name] = res
	}
	got := results[packed.Name]
	require.LessOrEqual(t, got.P95, targetSkew)
	require.LessOrEqual(t, got.Bytes*10, results[fullrepack.Name].Bytes)
	require.Less(t, got.Mean, results[static.Name].Mean)
	require.Greater(t, results[static.Name].P95, targetSkew, "without rebalancing the workload exceeds the target")
}

// TestMeasuredSpeedsCompensateSlowRank checks that the default policy meets the
// target in a group with a slow rank and that speedblind does not. The simulation
// covers two hours because the first minutes pass until the rank counts as slow and
// weights are staged.
func TestMeasuredSpeedsCompensateSlowRank(t *testing.T) {
	shape := placement.Shape{Layers: 1, Ranks: 8, Experts: 64, Slots: 9}
	workload := Workload{Name: "slow", Zipf: 0.9, SlowSpeeds: []float64{0.7}, Duration: 2 * time.Hour}
	res, err := Simulation{Shape: shape, Workload: workload, Policy: packed.Name, Seed: 7}.Run()
	require.NoError(t, err)
	require.LessOrEqual(t, res.P95, targetSkew)
	blind, err := Simulation{Shape: shape, Workload: workload, Policy: speedblind.Name, Seed: 7}.Run()
	require.NoError(t, err)
	require.Greater(t, blind.P50, targetSkew, "the slow rank determines the step time")
}
