package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func workloadNamed(t *testing.T, name string) workload {
	t.Helper()
	for _, w := range workloads {
		if w.name == name {
			return w
		}
	}
	t.Fatal(name)
	return workload{}
}

// The p95 of the default routing policy must be within 2% of the best policy's,
// on workloads that favour different policies. make measure runs all of them.
func TestDefaultRoutingPolicyP95(t *testing.T) {
	for _, name := range []string{"steady", "hot-prefix", "cold-server"} {
		w := workloadNamed(t, name)
		bounded := runWorkload(w, "bounded", routingSeed)
		for _, policy := range []string{"leastconn", "affinity", "roundrobin"} {
			other := runWorkload(w, policy, routingSeed)
			require.LessOrEqual(t, quantileMillis(bounded.firstToken, 95), 1.02*quantileMillis(other.firstToken, 95), "%s: %s", name, policy)
			require.LessOrEqual(t, quantileMillis(bounded.tokenGap, 95), 1.02*quantileMillis(other.tokenGap, 95), "%s: %s", name, policy)
		}
	}
}

func TestRunsAreReproducible(t *testing.T) {
	w := workloadNamed(t, "bursts")
	a, b := runWorkload(w, "bounded", 3), runWorkload(w, "bounded", 3)
	require.Equal(t, a.sent, b.sent)
	require.Equal(t, a.cacheHitTokens, b.cacheHitTokens)
	require.Equal(t, a.firstToken.Export(), b.firstToken.Export())
}

func TestReturningDataCentreOverloadsNoColdEngine(t *testing.T) {
	overloads := func(p outagePolicy) int {
		_, f := runOutage(deployments[2], outages[0], p)
		n := 0
		for _, e := range f.engines {
			n += e.overloads
		}
		return n
	}
	require.Zero(t, overloads(outagePolicies[0]))
	require.Positive(t, overloads(outagePolicies[1]), "without a cold limit, returning engines must be overloaded")
}

// Under the default admission policy, an overload must not reduce the goodput below
// 95% of the capacity, refuse the small organisations, or delay refusals.
func TestOverloadKeepsGoodput(t *testing.T) {
	capacity := measureCapacity()
	seconds := (peakEnd - peakStart).Seconds() - 5
	for _, p := range []peak{peaks[0], peaks[3]} {
		r := runPeak(p, admissionPolicies[0], capacity)
		require.GreaterOrEqual(t, float64(r.goodInPeak)/seconds, 0.95*capacity, p.name)
		for i := 2; i < peakOrgs; i++ {
			require.GreaterOrEqual(t, float64(r.goodByOrg[i]), 0.98*float64(r.sentByOrg[i]), "%s: organisation %d", p.name, i)
		}
		require.Zero(t, r.lateRefusals, p.name)
	}
}
