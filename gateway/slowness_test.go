package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
	"marjorampitch/wire"
)

func slowState(m *fleet.Member, factor float32) *wire.GroupState {
	return &wire.GroupState{Group: "g", Epoch: 1, Open: true, Engine: m.Address, Slowness: factor}
}

// picked returns the servers that n requests go to, all of which are running at the end.
func picked(t *testing.T, s *service, members []*fleet.Member, n int, now time.Duration) map[string]int {
	counts := make(map[string]int)
	for range n {
		m := s.pickByCost(members, "", nil, now, coldPolicy{}, sized(500, 100))
		require.NotNil(t, m, "no request is refused because servers are slow")
		counts[m.ID]++
	}
	return counts
}

// Requests go to a slow rank only when the others are nearly full.
func TestSlowRanksGetRequestsLast(t *testing.T) {
	s, members := newCostService(4) // of 10 slots
	s.stateSlowness(members, slowState(members[1], 12), 0)
	require.Equal(t, 1, s.countSlow())
	require.Zero(t, picked(t, s, members, 26, 0)["i-1"])
	require.Equal(t, 10, picked(t, s, members, 14, 0)["i-1"], "the others are full")
	require.Len(t, picked(t, s, members, 1, 0), 1, "all are full")
}

// Requests return to a rank that has its usual speed again, whose statement is old, or
// whose engine has started again.
func TestRanksThatAreNoLongerSlow(t *testing.T) {
	for name, end := range map[string]func(s *service, members []*fleet.Member){
		"usual again": func(s *service, members []*fleet.Member) { s.stateSlowness(members, slowState(members[1], 1), 0) },
		"started again": func(_ *service, members []*fleet.Member) {
			again := *members[1]
			again.StartedAt = 2
			members[1] = &again
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, members := newCostService(4)
			s.stateSlowness(members, slowState(members[1], 12), 0)
			end(s, members)
			require.Equal(t, 4, picked(t, s, members, 16, 0)["i-1"])
		})
	}
	t.Run("old statement", func(t *testing.T) {
		s, members := newCostService(4)
		s.stateSlowness(members, slowState(members[1], 12), 0)
		require.Equal(t, 4, picked(t, s, members, 16, 2*time.Second)["i-1"])
		s.expireSlowness(&fleet.View{Members: map[string]*fleet.Member{"i-1": members[1]}}, 2*time.Second)
		require.Zero(t, s.countSlow())
	})
}

// Requests of unknown cost go to the other ranks, too, while those have few.
func TestSlowRanksGetFewRequestsOfUnknownCost(t *testing.T) {
	s, members := newCostService(4)
	s.stateSlowness(members, slowState(members[1], 12), 0)
	for range 30 {
		require.NotEqual(t, "i-1", s.pick(members, "", nil, 0, coldPolicy{}).ID)
	}
}

// Factors that no engine states are bounded.
func TestMalformedSlowness(t *testing.T) {
	s, members := newCostService(2)
	for _, factor := range []float64{math.NaN(), math.Inf(-1), -1, math.Inf(1), math.MaxFloat32} {
		s.stateSlowness(members, slowState(members[1], float32(factor)), 0)
		require.LessOrEqual(t, s.slownessOf(members[1], 0), 100.0)
		require.GreaterOrEqual(t, s.slownessOf(members[1], 0), 1.0)
	}
	require.Len(t, picked(t, s, members, 21, 0), 2)
}

// Reports that name no engine, or none of the service, or state nothing, have no effect.
func TestReportsWithoutSlowness(t *testing.T) {
	s, members := newCostService(4)
	s.stateSlowness(members, &wire.GroupState{Group: "g", Open: true}, 0)
	s.stateSlowness(members, &wire.GroupState{Group: "g", Open: true, Slowness: 12}, 0)
	s.stateSlowness(members, &wire.GroupState{Group: "g", Open: true, Engine: "10.9.9.9:1", Slowness: 12}, 0)
	s.stateSlowness(members, slowState(members[2], 12), 0)
	s.stateSlowness(members, slowState(members[2], 0), 0)
	require.Equal(t, 1, s.countSlow(), "0 is unknown, not usual")
}

// The datagram of a rebalancer takes effect, and the metric shows it.
func TestSlownessFromDatagram(t *testing.T) {
	tg := newTestGateway(t)
	tg.server(func(*conn) {})
	s := tg.g.service("s")
	view := tg.g.opts.Cache.View()
	require.Len(t, view.Services["s"], 1)
	require.NoError(t, tg.g.peers.handleDatagram(datagram(t, wire.KindGroupState, slowState(view.Services["s"][0], 3))))
	require.Equal(t, 1, s.countSlow())
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(collector{tg.g})
	families, err := registry.Gather()
	require.NoError(t, err)
	slow := -1.0
	for _, f := range families {
		if f.GetName() == "marjorampitch_gateway_servers_slow" {
			slow = f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	require.Equal(t, 1.0, slow)
}

// The line on a request says how slow its server was.
func TestLineOnRequestShowsSlowness(t *testing.T) {
	s, members := newCostService(1)
	x := sized(500, 100)
	s.pickByCost(members, "", nil, 0, coldPolicy{}, x)
	require.NotContains(t, costFields(x), "slowness")
	s.stateSlowness(members, slowState(members[0], 12), 0)
	s.pickByCost(members, "", nil, 0, coldPolicy{}, x)
	require.Contains(t, costFields(x), "slowness")
}

// A plain server that answers late gets few requests, and as many as the others once it
// answers like them. Requests are not refused for it.
func TestServersThatAnswerLate(t *testing.T) {
	s, members := newCostService(3)
	now := time.Duration(0)
	play := func(factor time.Duration, n int) (share int) {
		for range n {
			m := s.pick(members, "", nil, now, coldPolicy{})
			took := 20 * time.Millisecond
			if m == members[1] {
				took *= factor
				share++
			}
			s.answered(m, "r", now, now+took)
			s.attemptEnded(m, now+took, severityNone)
			now += 50 * time.Millisecond
		}
		return share * 100 / n
	}
	require.InDelta(t, 33, play(1, 200), 10)
	play(12, 60)
	require.Equal(t, 1, s.countSlow())
	slowShare := play(12, 200)
	require.Less(t, slowShare, 10)
	require.Positive(t, slowShare, "single requests show whether it still is slow")
	play(1, 200) // 10 s, more than the longest time until the next trial
	require.Zero(t, s.countSlow())
	require.InDelta(t, 33, play(1, 200), 10)
	play(12, 60)
	require.NotNil(t, s.pick(members[1:2], "", nil, now, coldPolicy{}), "alone")
	s.expireSlowness(&fleet.View{}, now)
	require.Zero(t, s.countSlow())
}

// A server whose streams have longer pauses than those of the others is passed over, but
// not for the pauses of a longer batch, nor if its passes are those of a group.
func TestServersWithLongPauses(t *testing.T) {
	for _, c := range []struct {
		name   string
		factor time.Duration
		group  string
		batch  int // requests that the server runs
		slow   int
	}{
		{name: "slow", factor: 12, slow: 1},
		{name: "usual", factor: 1},
		{name: "in a group", factor: 12, group: "g"},
		{name: "full", factor: 3, batch: 10}, // steps of 14 ms instead of 4
	} {
		t.Run(c.name, func(t *testing.T) {
			s, members := newCostService(3)
			s.listed = make(map[string]string)
			for _, m := range members {
				s.listed[m.ID] = c.group
			}
			for range c.batch {
				s.costs.begin(sized(500, 100), members[1], s.costs.estimate(sized(500, 100)), 1)
			}
			for now := time.Second; now < 5*time.Second; now += 10 * time.Millisecond {
				for i, m := range members {
					pause := 20 * time.Millisecond
					if i == 1 {
						pause *= c.factor
					}
					s.observeStreamSpeed(m, pause, now)
				}
			}
			require.Equal(t, c.slow, s.countSlow())
			if c.slow > 0 {
				require.Zero(t, picked(t, s, members, 16, 5*time.Second)["i-1"])
			}
		})
	}
}
