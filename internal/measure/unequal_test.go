package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// playBoth plays a load with both policies.
func playBoth(t *testing.T, l unequalLoad) (before, after *unequalResult) {
	before, after = playUnequal(l, "leastconn", unequalSeed), playUnequal(l, "leastwork", unequalSeed)
	require.NoError(t, before.print(t.Output(), l.name, "leastconn"))
	require.NoError(t, after.print(t.Output(), l.name, "leastwork"))
	return before, after
}

// Callers get their first event earlier than if each gateway counts its own requests, no
// server has a longer queue, and none holds more than its memory. Long requests are
// served like the others.
func TestUnequalRequests(t *testing.T) {
	for _, l := range unequalLoads {
		if l.exchange == 0 {
			continue
		}
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			before, after := playBoth(t, l)
			require.Less(t, quantileOf(after.first, .95), quantileOf(before.first, .95))
			require.Less(t, quantileOf(after.total, .95), quantileOf(before.total, .95))
			require.Less(t, after.longest, before.longest)
			require.LessOrEqual(t, after.waited, before.waited)
			if l.memory > 0 {
				require.Positive(t, before.overMemory)
			}
			require.Zero(t, after.overMemory)
			require.LessOrEqual(t, after.refused, len(after.total)/50)
			require.GreaterOrEqual(t, after.longOK, after.long*9/10)
		})
	}
}

// At a load near capacity the gain is large.
func TestUnequalRequestsNearCapacity(t *testing.T) {
	for _, l := range unequalLoads {
		if l.exchange == 0 || l.perSecond < 250 && l.prompt < 10_000 {
			continue
		}
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			before, after := playBoth(t, l)
			require.Less(t, quantileOf(after.first, .95), quantileOf(before.first, .95)*7/10)
		})
	}
}

// Without reports from peers the policy is about as good as leastconn.
func TestUnequalRequestsWithoutReports(t *testing.T) {
	for _, l := range unequalLoads {
		if l.exchange > 0 {
			continue
		}
		before, after := playBoth(t, l)
		require.Less(t, quantileOf(after.first, .95), quantileOf(before.first, .95)*12/10)
	}
}

// Of the servers some work more slowly than usual. Gateways that know which ones give
// callers their first event earlier, passes are shorter, and no stream is refused. If all
// are slow alike, nothing changes.
func TestSlowServers(t *testing.T) {
	for _, l := range slowLoads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			before, after := playUnequal(l, unawarePolicy, unequalSeed), playUnequal(l, "leastwork", unequalSeed)
			require.NoError(t, before.print(t.Output(), l.name, unawarePolicy))
			require.NoError(t, after.print(t.Output(), l.name, "leastwork"))
			require.Zero(t, after.refused)
			require.LessOrEqual(t, after.waited, before.waited)
			if l.slow == unequalServers {
				require.Equal(t, before, after)
				return
			}
			require.Less(t, quantileOf(after.first, .95), quantileOf(before.first, .95))
			require.Less(t, quantileOf(after.passes, .99), quantileOf(before.passes, .99))
			require.GreaterOrEqual(t, len(after.first), len(before.first)*99/100)
		})
	}
}

// Where the slow servers' part of a pass is not most of it, the gain is large.
func TestManySlowServers(t *testing.T) {
	for _, l := range slowLoads {
		if l.name != "slow-ranks-mild" && l.name != "slow-servers" {
			continue
		}
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			before, after := playUnequal(l, unawarePolicy, unequalSeed), playUnequal(l, "leastwork", unequalSeed)
			require.Less(t, quantileOf(after.first, .95), quantileOf(before.first, .95)*8/10)
		})
	}
}
