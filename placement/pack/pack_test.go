package pack_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjorampitch/placement"
	"marjorampitch/placement/fullrepack"
	"marjorampitch/placement/pack"
	"marjorampitch/placement/packed"

	"marjorampitch/internal/fuzztest"
)

func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Defaults{Seed: 5, Checks: 60})
}

// skew recomputes the skew of a map of one layer independently of package pack:
// the longest rank time divided by the rank time at perfect balance.
func skew(m *placement.Map, load, speed []float64) float64 {
	times := make([]float64, m.Shape.Ranks)
	for i, e := range m.Expert {
		if e != placement.Empty {
			r := i / m.Shape.Slots
			times[r] += load[e] * float64(m.Share[i]) / placement.ShareUnit / speed[r]
		}
	}
	total, speeds, longest := 0.0, 0.0, 0.0
	for _, x := range load {
		total += x
	}
	for r := range speed {
		speeds += speed[r]
		longest = max(longest, times[r])
	}
	return longest / (total / speeds)
}

// testGroup is a randomly generated group with loads and speeds.
type testGroup struct {
	shape  placement.Shape
	loads  *placement.Loads
	speeds []float64
}

func drawGroup(t *rapid.T) testGroup {
	ranks := rapid.IntRange(2, 8).Draw(t, "ranks")
	slots := rapid.IntRange(2, 4).Draw(t, "slots")
	experts := rapid.IntRange(ranks, ranks*slots).Draw(t, "experts")
	d := testGroup{shape: placement.Shape{Layers: 1, Ranks: ranks, Experts: experts, Slots: slots}}
	d.loads = placement.NewLoads(d.shape)
	d.loads.Add(rapid.SliceOfN(rapid.Float64Range(0, 1000), experts, experts).Draw(t, "loads"), 0)
	d.loads.Counts[0]++ // not all zero
	d.speeds = rapid.SliceOfN(rapid.Float64Range(0.5, 1), ranks, ranks).Draw(t, "speeds")
	return d
}

// TestFuzzPoliciesKeepMapsValid runs the policies under changing loads. Every map
// must be valid, the reported number of copies must match the maps, and a decision
// of packed must not increase the skew by more than 0.01.
func TestFuzzPoliciesKeepMapsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawGroup(t)
		empty, err := placement.NewMap(d.shape)
		require.NoError(t, err)
		m, err := placement.NewMap(d.shape)
		require.NoError(t, err)
		pack.Repack(empty, m, 0, d.loads.Layer(0), d.speeds)
		require.NoError(t, m.Check())
		for range 4 {
			d.loads.Add(rapid.SliceOfN(rapid.Float64Range(0, 1000), d.shape.Experts, d.shape.Experts).Draw(t, "more"), 0.5)
			name := rapid.SampledFrom([]string{packed.Name, fullrepack.Name}).Draw(t, "policy")
			m = decide(t, name, d, m)
		}
	})
}

func decide(t *rapid.T, name string, d testGroup, m *placement.Map) *placement.Map {
	policy, err := placement.New(name)
	require.NoError(t, err)
	in := placement.Input{
		Map: m, Loads: d.loads, Speeds: d.speeds,
		Costs:   placement.Costs{ExpertBytes: 1, BytesPerSecond: 10, StepTime: time.Second},
		Horizon: time.Hour, Margin: 2, SinceLastMove: time.Hour,
	}
	got, err := policy.Decide(in)
	require.NoError(t, err)
	again, err := policy.Decide(in)
	require.NoError(t, err)
	require.Equal(t, got, again, "Decide is deterministic")
	if got.Map == nil {
		return m
	}
	require.NoError(t, got.Map.Check())
	total := 0
	for _, n := range m.Moves(got.Map) {
		total += n
	}
	require.Equal(t, total, got.Moves)
	if name == packed.Name {
		before, after := skew(m, d.loads.Layer(0), d.speeds), skew(got.Map, d.loads.Layer(0), d.speeds)
		require.LessOrEqual(t, after, before+0.01)
	}
	return got.Map
}

// TestBalanceMinimisesSkew compares Balance with a grid search over the shares of
// two replicated experts on three ranks.
func TestBalanceMinimisesSkew(t *testing.T) {
	shape := placement.Shape{Layers: 1, Ranks: 3, Experts: 3, Slots: 2}
	m := &placement.Map{Shape: shape, Expert: []uint16{0, placement.Empty, 0, 1, 1, 2}}
	m.Share = []uint16{placement.ShareUnit, 0, 0, placement.ShareUnit, 0, placement.ShareUnit}
	load, speed := []float64{500, 300, 200}, []float64{1, 0.5, 1}
	best := 10.0 // above every skew of the grid
	for a := 0; a <= 100; a++ {
		for b := 0; b <= 100; b++ {
			g := &placement.Map{Shape: shape, Expert: m.Expert, Share: append([]uint16(nil), m.Share...)}
			g.Share[0], g.Share[2] = split(a)
			g.Share[3], g.Share[4] = split(b)
			best = min(best, skew(g, load, speed))
		}
	}
	layer := pack.NewLayer(m, 0, load, speed)
	layer.Balance(40)
	layer.Store(m, 0)
	require.NoError(t, m.Check())
	require.LessOrEqual(t, skew(m, load, speed), best+1e-3)
}

func split(percent int) (a, b uint16) {
	a = uint16(placement.ShareUnit * percent / 100)
	return a, placement.ShareUnit - a
}
