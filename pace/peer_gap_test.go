package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reportAt is the interval at which the gates of these tests exchange loads.
const reportAt = 50 * time.Millisecond

// pacedGates are two gates that serve the same two groups. Streams of gate 0 run in
// both; gate 1 has none until it admits one.
type pacedGates struct {
	now   time.Duration
	gates [2]*Gate
	gap   map[string]time.Duration // by group
}

func newPacedGates(t *testing.T) *pacedGates {
	p := &pacedGates{gap: map[string]time.Duration{"a": 60 * time.Millisecond, "b": 60 * time.Millisecond}}
	for i := range p.gates {
		p.gates[i] = NewGate(rand.New(rand.NewPCG(uint64(i), 1)))
		p.gates[i].SetGroups([]string{"a", "b"}, func(string) *CapacityEstimator {
			return NewCapacityEstimator(maxGap, CostModel{BaseGap: basePass, MaxStreamCost: time.Millisecond, EventsPerStream: events})
		})
	}
	for range 20 {
		require.True(t, p.gates[0].AdmitOrQueue(p.now, &Ticket{Objective: objective}))
	}
	p.run(2 * time.Second)
	return p
}

// run lets the streams of gate 0 have events, and both gates exchange loads.
func (p *pacedGates) run(d time.Duration) {
	for end := p.now + d; p.now < end; p.now += reportAt {
		for group, gap := range p.gap {
			if p.gates[0].groups[group].running > 0 {
				p.gates[0].ObserveGap(p.now, group, gap)
			}
		}
		for i, g := range p.gates {
			for group, l := range g.Loads(p.now) {
				p.gates[1-i].SetPeerLoad(p.now, "peer", group, l)
			}
		}
	}
}

// admitted returns how many of n requests gate 1 lets into each group at once.
func (p *pacedGates) admitted(n int) map[string]int {
	got := make(map[string]int)
	for range n {
		if t := (&Ticket{Objective: objective}); p.gates[1].AdmitOrQueue(p.now, t) && t.Admitted() {
			got[t.Group]++
		}
	}
	return got
}

// A gateway without streams in a group that has become slow sends it next to none,
// because its peers report the pace.
func TestPeersReportSlowGroup(t *testing.T) {
	p := newPacedGates(t)
	p.gap["b"] = 600 * time.Millisecond
	p.run(time.Second)
	got := p.admitted(60)
	require.LessOrEqual(t, got["b"], int(minStreams))
	require.GreaterOrEqual(t, got["a"], 20, "the other group is used")
}

// A gateway without streams in a group learns from its peers that it is fast again.
func TestPeersReportRecoveredGroup(t *testing.T) {
	p := newPacedGates(t)
	p.gap["b"] = 600 * time.Millisecond
	p.run(time.Second)
	slow := p.gates[1].groups["b"].capacity.Limit()
	p.gap["b"] = 40 * time.Millisecond
	p.run(4 * time.Second)
	require.Greater(t, p.gates[1].groups["b"].capacity.Limit(), 10*slow)
}

// A gateway that has started anew learns the pace of the groups from its peers.
func TestStartedGatewayLearnsPace(t *testing.T) {
	p := newPacedGates(t)
	p.gap["b"] = 600 * time.Millisecond
	p.run(time.Second)
	p.gates[1] = NewGate(rand.New(rand.NewPCG(9, 1)))
	p.gates[1].SetGroups([]string{"a", "b"}, func(string) *CapacityEstimator {
		return NewCapacityEstimator(maxGap, CostModel{BaseGap: basePass, MaxStreamCost: time.Millisecond, EventsPerStream: events})
	})
	p.run(500 * time.Millisecond)
	require.LessOrEqual(t, p.admitted(60)["b"], int(minStreams))
}

// Own observations go before those of peers, and a pace that no peer has observed for a
// while is not reported.
func TestOwnGapsGoBeforePeers(t *testing.T) {
	p := newPacedGates(t)
	p.gates[1].ObserveGap(p.now, "a", 50*time.Millisecond)
	before := *p.gates[1].groups["a"].capacity
	p.gates[1].SetPeerLoad(p.now+time.Millisecond, "peer", "a", Load{Running: 5, Gap: time.Second})
	require.Equal(t, before, *p.gates[1].groups["a"].capacity)
	require.Positive(t, p.gates[0].Loads(p.now)["a"].Gap)
	require.Zero(t, p.gates[0].Loads(p.now + 2*gapValidity)["a"].Gap)
}
