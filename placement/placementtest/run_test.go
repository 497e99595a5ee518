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

// TestGoalUnderDrift holds the default policy against the goal in two hours
// of drift at the target's size: p95 at most 1.10, a tenth of the bytes of
// full repack, and never slower than static.
func TestGoalUnderDrift(t *testing.T) {
	shape := placement.Shape{Layers: 1, Ranks: 64, Experts: 256, Slots: 5}
	load := Workload{Name: "drift", Zipf: 0.9, DriftAmplitude: 0.7, Duration: 2 * time.Hour}
	results := make(map[string]Result)
	for _, name := range []string{static.Name, fullrepack.Name, packed.Name} {
		res, err := Simulation{Shape: shape, Workload: load, Policy: name, Seed: 7}.Run()
		require.NoError(t, err)
		results[name] = res
	}
	got := results[packed.Name]
	require.LessOrEqual(t, got.P95, goalSkew)
	require.LessOrEqual(t, got.Bytes*10, results[fullrepack.Name].Bytes)
	require.Less(t, got.Mean, results[static.Name].Mean)
	require.Greater(t, results[static.Name].P95, goalSkew, "the load asks for rebalancing")
}

// TestSpeedsMatterToAGroupWithASlowRank gives the policy two hours, of which
// the first minutes pass until the rank counts as slow and weights are staged.
func TestSpeedsMatterToAGroupWithASlowRank(t *testing.T) {
	shape := placement.Shape{Layers: 1, Ranks: 8, Experts: 64, Slots: 9}
	load := Workload{Name: "slow", Zipf: 0.9, SlowSpeeds: []float64{0.7}, Duration: 2 * time.Hour}
	res, err := Simulation{Shape: shape, Workload: load, Policy: packed.Name, Seed: 7}.Run()
	require.NoError(t, err)
	require.LessOrEqual(t, res.P95, goalSkew)
	blind, err := Simulation{Shape: shape, Workload: load, Policy: speedblind.Name, Seed: 7}.Run()
	require.NoError(t, err)
	require.Greater(t, blind.P50, goalSkew, "the slow rank sets the pace")
}
