package spread

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/wire"
)

// slowdown returns the slowness of ranks of which the first n are slow.
func slowdown(ranks, n int, factor float64) []float64 {
	list := make([]float64, ranks)
	for r := range list {
		list[r] = 1
		if r < n {
			list[r] = factor
		}
	}
	return list
}

// requireValidMap checks that every expert is on a rank, that no rank holds more
// experts than it has slots or one twice, and that no rank has given up more experts of
// the initial map in a set than it has spare slots.
func requireValidMap(t *testing.T, s Shape, replicas []wire.Replica, spare int) {
	t.Helper()
	type place struct{ set, rank int }
	givenUp := map[place]int{}
	for _, c := range replicas {
		if s.GivesUp(c) {
			givenUp[place{int(c.Set), s.HomeRank(int(c.Expert))}]++
		}
	}
	for _, n := range givenUp {
		require.LessOrEqual(t, n, spare)
	}
	for _, ranks := range s.ExpertsByRank(replicas) {
		held := map[int]bool{}
		for _, experts := range ranks {
			require.NotNil(t, experts)
			require.LessOrEqual(t, len(experts), s.Slots)
			require.Len(t, unique(experts), len(experts))
			for _, e := range experts {
				held[e] = true
			}
		}
		require.Len(t, held, s.Experts)
	}
}

// requireCopiesWithin checks the limits on the experts that are new to each rank.
func requireCopiesWithin(t *testing.T, s Shape, before, after []wire.Replica, limits Limits) {
	t.Helper()
	old, planned := s.ExpertsByRank(before), s.ExpertsByRank(after)
	for rank := range s.Ranks {
		copies := 0
		for set := range planned {
			had, copied := unique(old[set][rank]), 0
			for _, e := range planned[set][rank] {
				if !had[e] {
					copied++
				}
			}
			require.LessOrEqual(t, copied, limits.SpareSlots)
			copies += copied
		}
		require.LessOrEqual(t, copies, limits.CopiesPerRank)
	}
}

// requireSameMapEncoded checks that the ranks derive the same map from the encoded list.
func requireSameMapEncoded(t *testing.T, s Shape, replicas wire.Replicas) {
	t.Helper()
	data, err := replicas.MarshalMsg(nil)
	require.NoError(t, err)
	var decoded wire.Replicas
	_, err = decoded.UnmarshalMsg(data)
	require.NoError(t, err)
	require.Equal(t, s.ExpertsByRank(replicas), s.ExpertsByRank(decoded))
}

// TestSlowRanksGiveUpExperts plays demand that changes while ranks turn slow and well
// again. Plans stay valid and within the limits, take most of the excess load off a
// single slow rank, and lead back to a cost near that of before.
func TestSlowRanksGiveUpExperts(t *testing.T) {
	for name, c := range shapes {
		limits := c.limits
		limits.CopiesPerRank = 8
		for _, slow := range []struct {
			ranks  int
			factor float64
			excess float64 // of the cost that may remain, as a fraction of that before the plans
		}{
			{1, 1.6, 0.2}, {1, 5, 0.1}, {1, 12, 0.1}, {c.shape.Ranks * 4 / 10, 12, 0.3},
		} {
			t.Run(name, func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(11, 12))
				loads := zipf(c.shape, c.exponent, rnd)
				var replicas []wire.Replica
				improve := func(slowness []float64) {
					for range 6 {
						limits.Slowness = slowness
						better, cost, ok := Improve(c.shape, loads, replicas, limits)
						if !ok {
							return
						}
						requireValidMap(t, c.shape, better, limits.SpareSlots)
						requireCopiesWithin(t, c.shape, replicas, better, limits)
						require.InDelta(t, WeightedCost(c.shape, loads, better, slowness), cost, 1e-9)
						require.Less(t, cost, WeightedCost(c.shape, loads, replicas, slowness))
						requireSameMapEncoded(t, c.shape, better)
						replicas = better
					}
				}
				improve(nil)
				usual := Cost(c.shape, loads, replicas)
				slowness := slowdown(c.shape.Ranks, slow.ranks, slow.factor)
				before := WeightedCost(c.shape, loads, replicas, slowness)
				improve(slowness)
				after := WeightedCost(c.shape, loads, replicas, slowness)
				t.Logf("%d ranks slower by %.1f: cost %.1f, usual %.1f, planned %.1f", slow.ranks, slow.factor, before, usual, after)
				require.Less(t, after-usual, slow.excess*(before-usual))
				improve(nil)
				require.Less(t, Cost(c.shape, loads, replicas), 1.25*usual)
				loads = zipf(c.shape, c.exponent, rnd)
				improve(slowness)
			})
		}
	}
}

// TestReplicasThatGiveUpExperts checks the meaning of an entry that gives an expert up.
func TestReplicasThatGiveUpExperts(t *testing.T) {
	s := Shape{Sets: 1, Experts: 4, Ranks: 4, Slots: 2}
	replicas := []wire.Replica{{Expert: 1, Rank: 4}, {Expert: 1, Rank: 2}}
	require.Equal(t, [][][]int{{{0}, {}, {2, 1}, {3}}}, s.ExpertsByRank(replicas))
	loads := Loads{{0.25, 0.25, 0.25, 0.25}}
	require.InDelta(t, 2, Cost(s, loads, replicas), 1e-9)
	nowhere := []wire.Replica{{Expert: 1, Rank: 4}} // no other rank holds the expert
	require.NotPanics(t, func() { Improve(s, loads, nowhere, Limits{CopiesPerRank: 1, SpareSlots: 1}) })
}

// TestMapsWithExpertsGivenUpAreRefusedByEarlierBuilds checks that a build that knows
// replicas only, and refuses maps with ranks that do not exist, never prepares a map in
// which an expert is given up: its engine would have another map than the others.
func TestMapsWithExpertsGivenUpAreRefusedByEarlierBuilds(t *testing.T) {
	for name, c := range shapes {
		t.Run(name, func(t *testing.T) {
			c.limits.Slowness = slowdown(c.shape.Ranks, 1, 12)
			plan, _, ok := Improve(c.shape, zipf(c.shape, c.exponent, rand.New(rand.NewPCG(5, 6))), nil, c.limits)
			require.True(t, ok)
			data, err := wire.Replicas(plan).MarshalMsg(nil)
			require.NoError(t, err)
			var decoded wire.Replicas
			_, err = decoded.UnmarshalMsg(data)
			require.NoError(t, err)
			require.True(t, c.shape.Fits(decoded))
			gone := slices.ContainsFunc(decoded, func(r wire.Replica) bool { return int(r.Rank) >= c.shape.Ranks })
			require.True(t, gone, "a rank that does not exist")
		})
	}
}

// TestFits checks which entries of a list of replicas a group accepts.
func TestFits(t *testing.T) {
	s := Shape{Sets: 2, Experts: 8, Ranks: 4, Slots: 4}
	for _, r := range []wire.Replica{{Set: 1, Expert: 7, Rank: 0}, {Expert: 1, Rank: 4}} {
		require.True(t, s.Fits([]wire.Replica{r}), "%v", r)
	}
	for _, r := range []wire.Replica{{Set: 2, Rank: 1}, {Expert: 8, Rank: 1}, {Rank: 5}, {Expert: 5, Rank: 1}} {
		require.False(t, s.Fits([]wire.Replica{r}), "%v", r)
	}
}

const pollInterval = 30 * time.Millisecond

// TestSlowRanksChangeOnlyWithLastingStatements checks SlowRanks with statements that
// last, that jump about, and that are not numbers.
func TestSlowRanksChangeOnlyWithLastingStatements(t *testing.T) {
	s, now := NewSlowRanks(3), time.Duration(0)
	state := func(factor float64, lasting time.Duration) []float64 {
		for end := now + lasting; now < end; now += pollInterval {
			for rank := range 3 {
				x := 1.0
				if rank == 1 {
					x = factor
				}
				s.Observe(rank, x, now)
			}
		}
		return s.Factors()
	}
	require.Nil(t, state(1, time.Second))
	require.Nil(t, state(12, slownessHold-2*pollInterval), "slow for a moment")
	require.Nil(t, state(1, time.Second))
	for range 20 {
		require.Nil(t, state(12, 100*time.Millisecond), "jumps about")
		require.Nil(t, state(1, 100*time.Millisecond))
	}
	require.Nil(t, state(1.2, time.Second), "hardly slow")
	require.Equal(t, []float64{1, 12, 1}, state(12, time.Second))
	for range 20 {
		require.Equal(t, []float64{1, 12, 1}, state(11, 100*time.Millisecond), "within the tolerance")
		require.Equal(t, []float64{1, 12, 1}, state(13, 100*time.Millisecond))
	}
	require.Equal(t, []float64{1, 12, 1}, state(math.NaN(), time.Second))
	require.Equal(t, []float64{1, 12, 1}, state(math.Inf(1), time.Second))
	require.Equal(t, []float64{1, 12, 1}, state(0, time.Second), "not known")
	require.Equal(t, []float64{1, 12, 1}, state(1, slownessHold-2*pollInterval), "well for a moment")
	require.Equal(t, []float64{1, 12, 1}, state(12, pollInterval))
	require.Equal(t, []float64{1, 2, 1}, state(2, time.Second))
	require.Nil(t, state(1, time.Second))
	s.Observe(-1, 5, now)
	s.Observe(3, 5, now)
	require.Nil(t, s.Factors())
	require.Nil(t, NewSlowRanks(0).Factors())
}

// TestRanksThatAreSlowAlike checks that factors are relative to the fastest rank.
func TestRanksThatAreSlowAlike(t *testing.T) {
	s := NewSlowRanks(3)
	state := func(factors ...float64) []float64 {
		for now := time.Duration(0); now < time.Second; now += pollInterval {
			for rank, x := range factors {
				s.Observe(rank, x, now)
			}
		}
		return s.Factors()
	}
	require.Nil(t, state(5, 5, 5))
	require.Equal(t, []float64{1, 2, 1}, state(5, 10, 5))
}
