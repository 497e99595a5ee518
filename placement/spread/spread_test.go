package spread

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/wire"
)

// zipf returns loads in which a few randomly chosen experts are in high demand.
func zipf(s Shape, exponent float64, rnd *rand.Rand) Loads {
	loads := make(Loads, s.Sets)
	for set := range loads {
		loads[set] = make([]float64, s.Experts)
		sum := 0.0
		for i, e := range rnd.Perm(s.Experts) {
			x := 0.7*math.Pow(float64(i+1), -exponent) + 0.3/float64(s.Experts)
			loads[set][e] = x
			sum += x
		}
		for e := range loads[set] {
			loads[set][e] /= sum
		}
	}
	return loads
}

var shapes = map[string]struct {
	shape    Shape
	exponent float64
	limits   Limits
}{
	"few sets, many slots": {Shape{3, 96, 12, 11}, 1.3, Limits{CopiesPerRank: 1, SpareSlots: 4, MinGainPerCopy: 0.01}},
	"many sets, few slots": {Shape{16, 96, 24, 5}, 0.92, Limits{CopiesPerRank: 4, SpareSlots: 2, MinGainPerCopy: 0.001}},
}

// TestImproveRemovesMostExcessLoad checks that a few copies per rank remove more
// than half of the cost above perfect balance.
func TestImproveRemovesMostExcessLoad(t *testing.T) {
	for name, c := range shapes {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			var replicas []wire.Replica
			for range 20 {
				loads := zipf(c.shape, c.exponent, rnd)
				sets := float64(c.shape.Sets)
				before := Cost(c.shape, loads, replicas)
				var after float64
				var ok bool
				replicas, after, ok = Improve(c.shape, loads, replicas, c.limits)
				require.True(t, ok)
				require.Less(t, after-sets, (before-sets)/2)
				require.InDelta(t, Cost(c.shape, loads, replicas), after, 1e-9)
			}
		})
	}
}

// TestImproveRespectsLimits checks that no rank makes more copies than allowed, in
// all or in one set, holds more experts than it has slots or holds an expert twice,
// and that a plan gains what its copies and the switch require.
func TestImproveRespectsLimits(t *testing.T) {
	for name, c := range shapes {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(3, 4))
			limits := c.limits
			limits.SwitchCost, limits.CopyCost = 0.05, 0.01
			var replicas []wire.Replica
			for range 30 {
				old := map[wire.Replica]bool{}
				for _, r := range replicas {
					old[r] = true
				}
				loads := zipf(c.shape, c.exponent, rnd)
				before := Cost(c.shape, loads, replicas)
				better, after, ok := Improve(c.shape, loads, replicas, limits)
				require.True(t, ok)
				replicas = better
				type place struct{ set, rank uint16 }
				newPerRank, newPerSet, copies := make([]int, c.shape.Ranks), map[place]int{}, 0
				for _, r := range replicas {
					if !old[r] {
						newPerRank[r.Rank]++
						newPerSet[place{r.Set, r.Rank}]++
						copies++
					}
				}
				most := slices.Max(newPerRank)
				require.LessOrEqual(t, most, limits.CopiesPerRank)
				for _, n := range newPerSet {
					require.LessOrEqual(t, n, limits.SpareSlots)
				}
				gain := (before - after) / before
				require.Greater(t, gain, limits.SwitchCost+float64(most)*limits.CopyCost)
				require.GreaterOrEqual(t, gain, float64(copies)*limits.MinGainPerCopy)
				for _, ranks := range c.shape.ExpertsByRank(replicas) {
					for _, experts := range ranks {
						require.LessOrEqual(t, len(experts), c.shape.Slots)
						require.Len(t, unique(experts), len(experts))
					}
				}
			}
		})
	}
}

func unique(list []int) map[int]bool {
	m := map[int]bool{}
	for _, x := range list {
		m[x] = true
	}
	return m
}

// TestDemandShiftDetectedInFirstRound checks that a shift of demand that raises the
// cost of the current map by more than 60% is detected in the first round of counts
// after it, and that from the third round on the same demand is no shift.
func TestDemandShiftDetectedInFirstRound(t *testing.T) {
	for name, c := range shapes {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(5, 6))
			d := NewDemandEstimator(c.shape)
			var replicas []wire.Replica
			old := zipf(c.shape, c.exponent, rnd)
			detected := 0
			for range 10 {
				loads := zipf(c.shape, c.exponent, rnd)
				rise := Cost(c.shape, loads, replicas) / Cost(c.shape, old, replicas)
				old = loads
				for round := range 8 {
					d.AddReport(drawCounts(loads, 4000, rnd))
					d.EndRound()
					got, shifted, ok := d.Loads(replicas)
					require.True(t, ok)
					if round == 0 && rise > 1.6 {
						detected++
						require.True(t, shifted, "the cost of the map rose by a factor of %.2f", rise)
					}
					require.False(t, shifted && round > 1, "round %d", round)
					if round == 4 { // adapt the map to the new demand
						better, _, ok := Improve(c.shape, got, replicas, c.limits)
						require.True(t, ok)
						replicas = better
					}
				}
				got, _, _ := d.Loads(replicas)
				require.Equal(t, argMax(loads[0]), argMax(got[0]))
			}
			require.Greater(t, detected, 5)
		})
	}
}

// TestDemandOfFewRequestsIsNoShift checks a group whose passes serve two requests
// each, of one of several topics: the samples differ from pass to pass while demand
// stays the same. A map switched for such a sample moves memory and serves nobody.
// When all topics change, the shift is detected in the next passes.
func TestDemandOfFewRequestsIsNoShift(t *testing.T) {
	const (
		topics          = 9
		requestsPerPass = 2
		warmUp, rounds  = 60, 300
		maxFalseShifts  = rounds / 30 // one a second, at two rounds a pass of 66 ms
		detectionRounds = 8
	)
	c := shapes["few sets, many slots"]
	rnd := rand.New(rand.NewPCG(9, 10))
	newTopics := func() (list []Loads) {
		for range topics {
			list = append(list, zipf(c.shape, c.exponent, rnd))
		}
		return list
	}
	d := NewDemandEstimator(c.shape)
	var replicas []wire.Replica
	pass := func(list []Loads) (shifted bool) {
		for range requestsPerPass {
			d.AddReport(drawCounts(list[rnd.IntN(len(list))], 1000, rnd))
		}
		d.EndRound()
		_, shifted, _ = d.Loads(replicas)
		return shifted
	}
	steady := newTopics()
	falseShifts := 0
	for round := range warmUp + rounds {
		if pass(steady) && round >= warmUp {
			falseShifts++
		}
		if round == warmUp/2 {
			loads, _, ok := d.Loads(replicas)
			require.True(t, ok)
			replicas, _, _ = Improve(c.shape, loads, replicas, c.limits)
		}
	}
	require.LessOrEqual(t, falseShifts, maxFalseShifts, "in %d rounds of constant demand", rounds)
	for range 5 {
		one := []Loads{zipf(c.shape, 2*c.exponent, rnd)} // all requests now choose the same few experts
		detected := false
		for range detectionRounds {
			detected = pass(one) || detected
		}
		require.True(t, detected)
		for range warmUp {
			pass(steady)
		}
	}
}

// TestPlanDoesNotOverfitSample checks that a plan from several rounds of counts
// costs at most 10% more under the true loads than under the estimate.
func TestPlanDoesNotOverfitSample(t *testing.T) {
	c := shapes["many sets, few slots"]
	c.limits.CopiesPerRank = 5
	rnd := rand.New(rand.NewPCG(7, 8))
	d := NewDemandEstimator(c.shape)
	loads := zipf(c.shape, c.exponent, rnd)
	for range 16 {
		d.AddReport(drawCounts(loads, 1000, rnd))
		d.EndRound()
	}
	got, _, ok := d.Loads(nil)
	require.True(t, ok)
	plan, predicted, ok := Improve(c.shape, got, nil, c.limits)
	require.True(t, ok)
	require.Less(t, Cost(c.shape, loads, plan), 1.1*predicted)
}

// drawCounts draws n expert choices per set and returns the report of their counts,
// in which experts chosen less than 10 times are counted together.
func drawCounts(loads Loads, n int, rnd *rand.Rand) []wire.Demand {
	sets := make([]wire.Demand, len(loads))
	for set, row := range loads {
		counts := make([]uint32, len(row))
		for range n {
			x := rnd.Float64()
			for e, p := range row {
				if x -= p; x < 0 {
					counts[e]++
					break
				}
			}
		}
		for e, c := range counts {
			if c > 9 {
				sets[set].Experts = append(sets[set].Experts, uint16(e))
				sets[set].Counts = append(sets[set].Counts, c)
			} else {
				sets[set].Others += c
			}
		}
	}
	return sets
}

// The coordinator's own rank gets a plan as it is, the others get it encoded: all must
// derive the same lists of experts from it.
func TestEncodedPlanGivesTheSameMap(t *testing.T) {
	for name, c := range shapes {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(3, 4))
			var replicas []wire.Replica
			for range 10 {
				replicas, _, _ = Improve(c.shape, zipf(c.shape, c.exponent, rnd), replicas, c.limits)
				require.NotEmpty(t, replicas)
				data, err := wire.Replicas(replicas).MarshalMsg(nil)
				require.NoError(t, err)
				var decoded wire.Replicas
				_, err = decoded.UnmarshalMsg(data)
				require.NoError(t, err)
				require.Equal(t, c.shape.ExpertsByRank(replicas), c.shape.ExpertsByRank(decoded))
			}
		})
	}
}

// argMax returns the index of the first maximum of list.
func argMax(list []float64) int {
	best := 0
	for i, x := range list {
		if x > list[best] {
			best = i
		}
	}
	return best
}
