package placementtest

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"

	"marjorampitch/placement"
)

// goalSkew is the skew that the measure of p95 is held against.
const goalSkew = 1.10

// samples are skews of steps.
type samples []float64

// quantile returns the q-quantile, 0 to 1.
func (s samples) quantile(q float64) float64 {
	sorted := slices.Clone(s)
	slices.Sort(sorted)
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}

func (s samples) mean() float64 { return stat.Mean(s, nil) }

func maxOverMean(times []float64) float64 {
	return floats.Max(times) / stat.Mean(times, nil)
}

// slotBound is the least skew of the expected loads for which the group has
// slots enough when each replica carries at most one rank's load: below it
// the replicas that the experts need outnumber the slots.
func slotBound(shares []float64, shape placement.Shape) float64 {
	fits := func(skew float64) bool {
		limit := skew / float64(shape.Ranks)
		need := 0.0
		for _, share := range shares {
			need += max(1, math.Ceil(share/limit-1e-9))
		}
		return need <= float64(shape.LayerSlots())
	}
	for skew := 1.0; ; skew += 0.001 {
		if fits(skew) {
			return skew
		}
	}
}
