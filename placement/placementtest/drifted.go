package placementtest

import (
	"math"
	"time"

	"marjorampitch/placement"
	"marjorampitch/placement/pack"
)

// DriftedInput returns the input of a decision on one layer whose loads have
// drifted by up to 10% since it was packed, for benchmarks.
func DriftedInput(ranks, experts int) placement.Input {
	shape := placement.Shape{Layers: 1, Ranks: ranks, Experts: experts, Slots: experts/ranks + 1}
	loads := placement.NewLoads(shape)
	speeds := placement.NewSpeedEstimator(ranks).Values()
	for e := range loads.Counts {
		loads.Counts[e] = 1e6 * math.Pow(float64(e+1), -0.9)
	}
	empty, _ := placement.NewMap(shape)
	m, _ := placement.NewMap(shape)
	pack.Repack(empty, m, 0, loads.Layer(0), speeds)
	for e := range loads.Counts {
		loads.Counts[e] *= 1 + 0.1*math.Sin(float64(e*e))
	}
	return placement.Input{
		Map: m, Loads: loads, Speeds: speeds, Horizon: 20 * time.Minute, Margin: 2,
		Costs: placement.Costs{ExpertBytes: 44 << 20, BytesPerSecond: 35e6, StepTime: 50 * time.Millisecond},
	}
}
