package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func mixNamed(t *testing.T, name string) mix {
	t.Helper()
	for _, m := range mixes {
		if m.name == name {
			return m
		}
	}
	t.Fatal(name)
	return mix{}
}

// TestRoutingGoal holds the default policy to within 2% of the best p95 in the
// mixes that pull in opposite directions; make measure shows all.
func TestRoutingGoal(t *testing.T) {
	for _, name := range []string{"steady", "hot-prefix", "cold-server"} {
		m := mixNamed(t, name)
		ours := runMix(m, "bounded", routingSeed)
		for _, policy := range []string{"leastconn", "affinity", "roundrobin"} {
			other := runMix(m, policy, routingSeed)
			require.LessOrEqual(t, millis(ours.first, 95), 1.02*millis(other.first, 95), "%s: %s", name, policy)
			require.LessOrEqual(t, millis(ours.gap, 95), 1.02*millis(other.gap, 95), "%s: %s", name, policy)
		}
	}
}

func TestRunsAreReproducible(t *testing.T) {
	m := mixNamed(t, "bursts")
	a, b := runMix(m, "bounded", 3), runMix(m, "bounded", 3)
	require.Equal(t, a.sent, b.sent)
	require.Equal(t, a.hit, b.hit)
	require.Equal(t, a.first.Export(), b.first.Export())
}

func TestReturnOverloadsNoColdEngine(t *testing.T) {
	fallen := func(p zonePolicy) int {
		_, f := runZone(deployments[2], zoneFaults[0], p)
		n := 0
		for _, e := range f.engines {
			n += e.overload
		}
		return n
	}
	require.Zero(t, fallen(zonePolicies[0]))
	require.Positive(t, fallen(zonePolicies[1]), "without the cold limit engines fall over")
}

func TestOverloadKeepsGoodput(t *testing.T) {
	capacity := measureCapacity()
	seconds := (peakTo - peakFrom).Seconds() - 5
	for _, p := range []peak{peaks[0], peaks[3]} {
		r := runPeak(p, admissionPolicies[0], capacity)
		require.GreaterOrEqual(t, float64(r.good)/seconds, 0.95*capacity, p.name)
		for i := 2; i < peakOrgs; i++ {
			require.GreaterOrEqual(t, float64(r.goodBy[i]), 0.98*float64(r.sentBy[i]), "%s: organisation %d", p.name, i)
		}
		require.Zero(t, r.late, p.name)
	}
}
