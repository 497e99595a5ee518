package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/cost"
	"marjorampitch/fleet"
	"marjorampitch/wire"
)

var testEngine = &fleet.Engine{
	Slots: 10, Stride: 5, Step: 4 * time.Millisecond, PerSequence: time.Millisecond, PrefillRate: 60_000, PromptTokens: 800, AnswerTokens: 100,
}

// newCostService returns a service with an engine, and n servers.
func newCostService(n int) (*service, []*fleet.Member) {
	s := newService("s", nil, noStatements(), log.New(io.Discard))
	s.costs.setEngine(testEngine)
	members := make([]*fleet.Member, n)
	for i := range members {
		members[i] = &fleet.Member{Server: fleet.Server{ID: fmt.Sprint("i-", i), Address: fmt.Sprint("10.0.0.", i, ":1"), StartedAt: 1}}
	}
	return s, members
}

func sized(prompt, hint int) *requestCost {
	return &requestCost{known: true, size: cost.Size{Prompt: prompt, MaxOutput: 1000, Hint: hint}, until: time.Hour}
}

// A long prompt weighs as much as several short ones.
func TestRequestsGoWhereTheLeastWorkIs(t *testing.T) {
	s, members := newCostService(2)
	x := sized(30_000, 100)
	long := s.pickByCost(members, "", nil, 0, coldPolicy{}, x)
	for range 5 {
		require.NotEqual(t, long, s.pickByCost(members, "", nil, 0, coldPolicy{}, sized(500, 100)))
	}
	s.eventsWritten(x, 1) // the prompt has been read
	require.Equal(t, long, s.pickByCost(members, "", nil, 0, coldPolicy{}, sized(500, 100)))
	require.Equal(t, 5, x.output)
	s.attemptCostEnded(0, x, true)
	s.attemptCostEnded(0, x, true)
	require.Nil(t, x.entry)
}

// Without an engine, or without token counts, requests are spread by number.
func TestRequestsOfUnknownCostAreSpreadByNumber(t *testing.T) {
	for name, setUp := range map[string]func(*service, *requestCost){
		"no engine":       func(s *service, _ *requestCost) { s.costs.setEngine(nil) },
		"no token counts": func(_ *service, x *requestCost) { x.known = false },
		"engine unknown":  func(s *service, _ *requestCost) { s.costs.setEngine(&fleet.Engine{}) },
	} {
		t.Run(name, func(t *testing.T) {
			s, members := newCostService(3)
			counts := make(map[string]int)
			for i := range 30 {
				x := sized(1+i%3*30_000, 100)
				setUp(s, x)
				counts[s.pickByCost(members, "", nil, 0, coldPolicy{}, x).ID]++
				s.eventsWritten(x, 1)
				s.attemptCostEnded(0, x, true)
				require.Zero(t, x.output)
			}
			require.Equal(t, map[string]int{"i-0": 10, "i-1": 10, "i-2": 10}, counts)
			require.Empty(t, s.costs.ledger.OwnLoads())
		})
	}
}

func TestRequestsSkipServersWithoutMemory(t *testing.T) {
	s, members := newCostService(2)
	s.costs.setMemory(members, map[string]int{members[0].Address: 4000})
	for range 20 {
		require.Equal(t, "i-1", s.pickByCost(members, "", nil, 0, coldPolicy{}, sized(5000, 100)).ID)
	}
	require.Nil(t, s.pickByCost(members, "", []string{"i-1"}, 0, coldPolicy{}, sized(5000, 100)))
	require.NotNil(t, s.pickByCost(members, "", []string{"i-1"}, 0, coldPolicy{}, sized(3000, 100)))
	s.stateOf(members[1]).health.eject(time.Second, time.Minute)
	require.Nil(t, s.pickByCost(members, "", nil, 2*time.Second, coldPolicy{}, sized(5000, 100)), "not at an ejected server either")
}

// The work of a server that has started again is that of its new incarnation.
func TestRestartedServerHasNoWork(t *testing.T) {
	s, members := newCostService(1)
	x := sized(1000, 100)
	require.NotNil(t, s.pickByCost(members, "", nil, 0, coldPolicy{}, x))
	again := *members[0]
	again.StartedAt = 2
	s.prune(&fleet.View{Members: map[string]*fleet.Member{again.ID: &again}})
	require.Zero(t, s.costs.ledger.Total(costServer(members[0])))
	require.Zero(t, s.costs.ledger.Total(costServer(&again)))
	s.eventsWritten(x, 1)
	s.attemptCostEnded(0, x, false)
	require.Empty(t, s.costs.ledger.OwnLoads())
}

// costGateway returns a gateway that knows what requests of its service cost.
func costGateway(t *testing.T) *testGateway {
	tg := newTestGateway(t)
	tg.g.opts.RequestSize = func(h http.Header) (cost.Size, bool) {
		n, err := strconv.Atoi(h.Get("X-Tokens"))
		return cost.Size{Prompt: n, MaxOutput: 1000}, err == nil
	}
	tg.document(func(d *fleet.Document) {
		d.Version = 2
		d.Services["s"].Engine = testEngine
	})
	return tg
}

// A gateway learns how long the streams of a route are, and its ledger is empty after
// streams that end, break off and cannot be sent.
func TestStreamsTeachTheEstimates(t *testing.T) {
	tg := costGateway(t)
	tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			c.write(streamHead(r))
			for id := range 4 {
				c.write(event(id + 1))
				time.Sleep(5 * time.Millisecond)
			}
			if r.Header.Get("X-Cut") != "" {
				return
			}
			c.write("0\r\n\r\n")
		}
	})
	s := tg.g.service("s")
	size := cost.Size{Prompt: 800, MaxOutput: 1000}
	require.InEpsilon(t, 100, costOutput(s, size), 0.01)
	for range 30 {
		require.Equal(t, http.StatusOK, tg.sizedCall("800", ""))
	}
	learned := costOutput(s, size)
	require.Less(t, learned, 50.0, "20 tokens are the answer")
	tg.sizedCall("800", "cut")
	require.Equal(t, http.StatusOK, tg.sizedCall("", ""))
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.costs.ledger.OwnLoads())
}

func costOutput(s *service, size cost.Size) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.costs.setEngine(testEngine)
	return s.costs.estimator.Output("fixed", size)
}

// sizedCall sends a request that states its prompt tokens and returns the status.
func (tg *testGateway) sizedCall(tokens, cut string) int {
	r, err := http.NewRequest(http.MethodPost, tg.front.URL+"/fixed/x", nil)
	require.NoError(tg.t, err)
	r.Host = "h"
	r.Header.Set("X-Id", "request")
	r.Header.Set("X-Key", "key")
	if tokens != "" {
		r.Header.Set("X-Tokens", tokens)
	}
	if cut != "" {
		r.Header.Set("X-Cut", cut)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // a stream that is cut
	return resp.StatusCode
}

// The work that one gateway reports keeps another one from the same server, until the
// report is outdated.
func TestGatewaysReportTheirWork(t *testing.T) {
	a, b := costGateway(t), costGateway(t)
	one, two := a.server(serve("")), a.server(serve(""))
	for _, tg := range []*testGateway{a, b} {
		tg.setGroups(nil)
		s := tg.g.service("s")
		s.mu.Lock()
		s.costs.setEngine(testEngine)
		s.mu.Unlock()
	}
	members := a.cache.View().Services["s"]
	busy := a.g.service("s").pickByCost(members, "", nil, a.g.now(), coldPolicy{}, sized(30_000, 100))
	l := a.g.peers.currentLoads()
	l.Instance = "a"
	require.Len(t, l.Servers, 1)
	data, err := l.MarshalMsg([]byte{wire.KindGatewayLoad})
	require.NoError(t, err)
	require.NoError(t, b.g.peers.handleDatagram(data))
	free := map[string]string{one: two, two: one}[busy.ID]
	s := b.g.service("s")
	for range 5 {
		require.Equal(t, free, s.pickByCost(members, "", nil, b.g.now(), coldPolicy{}, sized(500, 100)).ID)
	}
	s.mu.Lock()
	s.costs.ledger.Expire(b.g.now() + 2*time.Second)
	require.Zero(t, s.costs.ledger.Total(costServer(busy)))
	s.mu.Unlock()

	l.Servers[0].Loads = l.Servers[0].Loads[1:]
	data, err = l.MarshalMsg([]byte{wire.KindGatewayLoad})
	require.NoError(t, err)
	require.Error(t, b.g.peers.handleDatagram(data))
}

// Events that arrive together count one by one.
func TestEventsThatArriveTogetherAreCounted(t *testing.T) {
	tg := costGateway(t)
	tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			c.write(streamHead(r) + event(1) + event(2) + event(3) + event(4) + "0\r\n\r\n")
		}
	})
	size := cost.Size{Prompt: 800, MaxOutput: 1000}
	for range 60 {
		require.Equal(t, http.StatusOK, tg.sizedCall("800", ""))
	}
	require.Greater(t, costOutput(tg.g.service("s"), size), 15.0, "20 tokens are the answer")
}

// A silent attempt is not ended for a server without memory for the request. Once the
// caller has a part of the answer, any server may go on with it.
func TestServersWithoutMemoryAsCandidates(t *testing.T) {
	s, members := newCostService(2)
	s.costs.setMemory(members, map[string]int{members[1].Address: 4000})
	x := sized(5000, 100)
	first := s.pickByCost(members, "", nil, 0, coldPolicy{}, x)
	require.Equal(t, "i-0", first.ID)
	tried := []string{first.ID}
	require.False(t, s.hasCandidate(members, "", tried, 0, coldPolicy{}, x))
	require.Nil(t, s.pickByCost(members, "", tried, 0, coldPolicy{}, x))
	require.True(t, s.hasCandidate(members, "", tried, 0, coldPolicy{}, sized(3000, 100)))
	require.True(t, s.hasCandidate(members, "", tried, 0, coldPolicy{}, nil))
	s.eventsWritten(x, 1)
	s.attemptCostEnded(0, x, false)
	require.True(t, s.hasCandidate(members, "", tried, 0, coldPolicy{}, x))
	require.Equal(t, "i-1", s.pickByCost(members, "", tried, 0, coldPolicy{}, x).ID)
}

// An outdated entry of an address does not make the engine there look smaller.
func TestMemoryOfAnAddressWithTwoEntries(t *testing.T) {
	entries := map[string]wire.Instance{
		"a": {Role: wire.RoleRebalancer, Engine: "10.0.0.1:1", Memory: 1000},
		"b": {Role: wire.RoleRebalancer, Engine: "10.0.0.1:1", Memory: 90_000},
		"c": {Role: wire.RoleRebalancer, Engine: "10.0.0.2:1"},
		"d": {Role: wire.RoleGateway, Address: "10.0.0.3:1"},
	}
	for range 50 {
		require.Equal(t, map[string]int{"10.0.0.1:1": 90_000}, memoryByAddress(entries))
	}
}

// A server that has turned one request away is asked if the others have no memory.
func TestDecliningServerWithMemoryIsAsked(t *testing.T) {
	s, members := newCostService(2)
	s.costs.setMemory(members, map[string]int{members[0].Address: 4000})
	s.statements.turnedAway(members[1], 0, 0)
	require.Equal(t, "i-0", s.pickByCost(members, "", nil, 0, coldPolicy{}, sized(500, 100)).ID)
	require.True(t, s.hasCandidate(members, "", nil, 0, coldPolicy{}, sized(5000, 100)))
	require.Equal(t, "i-1", s.pickByCost(members, "", nil, 0, coldPolicy{}, sized(5000, 100)).ID)
}
