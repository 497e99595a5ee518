package gateway

import (
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
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

// inGroup makes the servers ranks of one group.
func inGroup(s *service, members []*fleet.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = make(map[string]string)
	for _, m := range members {
		s.listed[m.ID] = "g"
	}
}

// Streams are moved from a rank that is much slower than usual, but not from one that is
// slightly, or one of many, or if no other has a slot.
func TestRanksThatHoldUpTheirGroup(t *testing.T) {
	for _, c := range []struct {
		name   string
		slow   int // the first of 16 ranks
		factor float32
		alone  bool // in no group
		full   bool
		want   bool
	}{
		{name: "one", slow: 1, factor: 12, want: true},
		{name: "two", slow: 2, factor: 12, want: true},
		{name: "three", slow: 3, factor: 12},
		{name: "all", slow: 16, factor: 12},
		{name: "slightly", slow: 1, factor: 1.6},
		{name: "alone", slow: 1, factor: 12, alone: true},
		{name: "others full", slow: 1, factor: 12, full: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, members := newCostService(16)
			if !c.alone {
				inGroup(s, members)
			}
			for _, m := range members[:c.slow] {
				s.stateSlowness(members, slowState(m, c.factor), 0)
			}
			if c.full {
				picked(t, s, members, 150, 0)
			}
			x := sized(500, 100)
			require.Equal(t, c.want, s.holdsUpGroup(members[0], members, []string{"i-0"}, 0, coldPolicy{}, x))
			require.False(t, s.holdsUpGroup(members[15], members, []string{"i-15"}, 0, coldPolicy{}, x) && c.slow < 16)
			require.False(t, s.holdsUpGroup(members[0], members, []string{"i-0"}, 2*time.Second, coldPolicy{}, x), "stated long ago")
		})
	}
}

// A stream whose caller has had a part of it stays where it is if no other rank has the
// memory for it, or if all its tokens are written.
func TestStreamsThatStayAtSlowRank(t *testing.T) {
	s, members := newCostService(16)
	inGroup(s, members)
	s.stateSlowness(members, slowState(members[0], 12), 0)
	moves := func(x *requestCost) bool {
		return s.holdsUpGroup(members[0], members, []string{"i-0"}, 0, coldPolicy{}, x)
	}
	x := sized(500, 100)
	x.output = 10
	require.True(t, moves(x))
	x.output = x.size.MaxOutput
	require.False(t, moves(x), "complete")
	x.output = 10
	s.costs.memory = make(map[string]int)
	for _, m := range members {
		s.costs.memory[m.ID] = 1000
	}
	require.True(t, moves(x))
	for _, m := range members {
		s.costs.begin(sized(900, 100), m, s.costs.estimate(sized(900, 100)), 1)
	}
	require.False(t, moves(x), "no memory")
}

// moveStream sends a stream to a rank that becomes slow after the first event. The other
// ranks go on after the last event that the caller has got.
func moveStream(t *testing.T, setUp func(tg *testGateway)) (body string, others int64) {
	tg := costGateway(t)
	slowed := make(chan struct{})
	var resumed atomic.Int64
	first := tg.server(serveStreams(func(_ int, c *conn) {
		c.write(event(1))
		<-slowed
		c.write(event(2))
		time.Sleep(100 * time.Millisecond)
		c.write(event(3))
	}))
	ids := []string{first}
	for range 15 {
		ids = append(ids, tg.server(func(c *conn) {
			r := c.request()
			if r == nil {
				return
			}
			resumed.Add(1)
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			c.write(streamHead(r))
			for id := last + 1; id <= 3; id++ {
				c.write(event(id))
			}
			c.write("0\r\n\r\n")
		}))
	}
	tg.preferInOrder(ids...)
	setUp(tg)
	s := tg.g.service("s")
	go func() {
		defer close(slowed)
		time.Sleep(100 * time.Millisecond)
		members := tg.cache.View().Services["s"]
		inGroup(s, members)
		s.stateSlowness(members, slowState(tg.cache.View().Members[first], 12), tg.g.now())
	}()
	status, body, _ := tg.call("/stream/")
	require.Equal(t, http.StatusOK, status)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.True(t, s.stateOf(tg.cache.View().Members[first]).health.usable(tg.g.now()), "not ejected")
	return body, resumed.Load()
}

func TestStreamIsMovedFromSlowRank(t *testing.T) {
	body, others := moveStream(t, func(*testGateway) {})
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", body)
	require.EqualValues(t, 1, others)
}

func TestStreamIsNotMovedWithoutFurtherAttempt(t *testing.T) {
	for name, setUp := range map[string]func(tg *testGateway){
		"attempts used up": (*testGateway).singleAttempt,
		"no retry budget":  func(tg *testGateway) { tg.g.service("s").budget = admit.NewRetryBudget(0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			body, others := moveStream(t, setUp)
			require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", body)
			require.Zero(t, others)
		})
	}
}
