package placementtest

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"

	"marjorampitch/placement"
)

// targetSkew is the maximum acceptable 95th percentile of the skew.
const targetSkew = 1.10

// samples holds skews, one per sampled step and layer.
type samples []float64

// quantile returns the q-quantile; q is 0 to 1.
func (s samples) quantile(q float64) float64 {
	sorted := slices.Clone(s)
	slices.Sort(sorted)
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}

func (s samples) mean() float64 { return stat.Mean(s, nil) }

func maxOverMean(times []float64) float64 {
	return floats.Max(times) / stat.Mean(times, nil)
}

// slotBound returns, to 0.001, the lowest skew that the slot count of a layer allows
// for the expert shares. At a lower skew, the experts need more replicas than the
// layer has slots, because a replica must fit into the load of one rank.
func slotBound(shares []float64, shape placement.Shape) float64 {
	fits := func(skew float64) bool {
		maxShare := skew / float64(shape.Ranks)
		replicas := 0.0
		for _, share := range shares {
			replicas += max(1, math.Ceil(share/maxShare-1e-9))
		}
		return replicas <= float64(shape.LayerSlots())
	}
	for skew := 1.0; ; skew += 0.001 {
		if fits(skew) {
			return skew
		}
	}
}
