package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Parameters of the simulation of priorities. Its requests share a group of engines
// with those of other gateways and run as in the simulation above.
const (
	networkTime = 8 * time.Millisecond // from gateway to engine and back
	// engines is the capacity of the group, in those of the simulation above.
	engines = 5
)

// kind is a kind of requests of the simulation.
type kind struct {
	priority   int
	objective  time.Duration
	share      float64 // of all requests, outside of bursts
	burst      float64 // factor of the rate in the burst
	start, end time.Duration
}

// kinds have bursts of the least urgent and then of the most urgent requests.
var kinds = []kind{
	{priority: 0, objective: 400 * time.Millisecond, share: 0.36, burst: 1.8, start: 14 * time.Second, end: 18 * time.Second},
	{priority: 1, objective: 400 * time.Millisecond, share: 0.48, burst: 1},
	{priority: 2, objective: 800 * time.Millisecond, share: 0.16, burst: 2.5, start: 3 * time.Second, end: 9 * time.Second},
}

// caller is one caller of the simulation.
type caller struct {
	kind, gateway int
	started       time.Duration
	retry         bool
	ticket        *Ticket
	at            time.Duration // of the admission, the last event, or the retry
	events        int
	late          bool
}

// served counts the callers of one kind.
type served struct{ callers, inTime, late, refused int }

func (s served) share() float64  { return float64(s.inTime+s.late) / float64(s.callers) }
func (s served) onTime() float64 { return float64(s.inTime) / float64(s.callers) }

// prioritySim is a run of the simulation.
type prioritySim struct {
	rnd     *rand.Rand
	gates   []*Gate
	running []*caller
	refused []*caller // that will retry
	waiting map[*Ticket]*caller
	results []served
	now     time.Duration
}

// playKinds sends the requests of kinds through one gateway for each of the rates, in
// requests per second, and returns the results by kind.
func playKinds(seed uint64, rates []float64, prioritized bool) []served {
	s := &prioritySim{rnd: rand.New(rand.NewPCG(seed, 9)), waiting: map[*Ticket]*caller{}, results: make([]served, len(kinds))}
	next := make([][]time.Duration, len(rates))
	for i := range rates {
		g := newPriorityGate(seed)
		g.SetPrioritized(prioritized)
		s.gates = append(s.gates, g)
		for _, k := range kinds {
			next[i] = append(next[i], interArrival(s.rnd, rates[i]*k.share))
		}
	}
	passEnd := time.Duration(0)
	for ; s.now < simulatedTime; s.now += time.Millisecond {
		for i, rate := range rates {
			for k, x := range kinds {
				for ; next[i][k] <= s.now; next[i][k] += interArrival(s.rnd, rate*x.rate(s.now)) {
					s.results[k].callers++
					s.arrive(&caller{kind: k, gateway: i, started: s.now})
				}
			}
			if s.now%loadInterval == time.Duration(i)*time.Millisecond {
				s.exchange(i)
			}
		}
		s.expire()
		s.returnCallers()
		if s.now >= passEnd {
			s.endPass()
			passEnd = s.now + passTime(s.now, (len(s.running)+engines-1)/engines, s.rnd)
		}
	}
	return s.results
}

// newPriorityGate returns a gate for the group.
func newPriorityGate(seed uint64) *Gate {
	g := NewGate(rand.New(rand.NewPCG(seed, 1)))
	g.SetGroups([]string{"g"}, func(string) *CapacityEstimator {
		return NewCapacityEstimator(maxGap, CostModel{BaseGap: basePass, MaxStreamCost: 1500 * time.Microsecond / engines, EventsPerStream: events})
	})
	return g
}

// rate returns the share of the requests of a kind at a time.
func (k kind) rate(now time.Duration) float64 {
	if now >= k.start && now < k.end {
		return k.share * k.burst
	}
	return k.share
}

// exchange sends the loads of a gateway to its peers.
func (s *prioritySim) exchange(i int) {
	for j, g := range s.gates {
		if j != i {
			g.SetPeerLoad(s.now, fmt.Sprint(i), "g", s.gates[i].Loads(s.now)["g"])
		}
	}
}

func (s *prioritySim) arrive(c *caller) {
	k := kinds[c.kind]
	g := s.gates[c.gateway]
	c.ticket = &Ticket{Objective: k.objective, Retry: c.retry, Priority: k.priority}
	accepted := g.AdmitOrQueue(s.now, c.ticket)
	for _, t := range g.TakeDisplaced() {
		s.refuse(s.waiting[t])
	}
	switch {
	case !accepted:
		s.refuse(c)
	case c.ticket.Admitted():
		c.at = s.now
		s.running = append(s.running, c)
	default:
		s.waiting[c.ticket] = c
	}
}

// refuse ends a request; the caller retries once, as told.
func (s *prioritySim) refuse(c *caller) {
	delete(s.waiting, c.ticket)
	if c.retry {
		s.results[c.kind].refused++
		return
	}
	c.retry = true
	c.at = s.now + s.gates[c.gateway].RetryAfter(callerTimeout-(s.now-c.started))
	s.refused = append(s.refused, c)
}

func (s *prioritySim) returnCallers() {
	due := func(c *caller) bool { return c.at <= s.now }
	var list []*caller
	for _, c := range s.refused {
		if due(c) {
			list = append(list, c)
		}
	}
	s.refused = slices.DeleteFunc(s.refused, due)
	for _, c := range list {
		s.arrive(c)
	}
}

// expire ends the waits of the requests that were not admitted.
func (s *prioritySim) expire() {
	var list []*caller
	for t, c := range s.waiting {
		if t.WaitDeadline() <= s.now && s.gates[c.gateway].Cancel(t) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *caller) int { return int(a.started - b.started) })
	for _, c := range list {
		s.refuse(c)
	}
}

// endPass delivers one event of every running stream.
func (s *prioritySim) endPass() {
	var remaining []*caller
	var woken []*Ticket
	for _, c := range s.running {
		g := s.gates[c.gateway]
		if c.events == 0 {
			g.ObserveFirstEvent(s.now - c.at + networkTime)
			c.late = c.late || s.now-c.started > kinds[c.kind].objective-networkDelay
		} else {
			c.late = c.late || s.now-c.at > maxGap
			woken = append(woken, g.ObserveGap(s.now, "g", s.now-c.at)...)
		}
		c.at = s.now
		if c.events++; c.events < events {
			remaining = append(remaining, c)
			continue
		}
		if c.late {
			s.results[c.kind].late++
		} else {
			s.results[c.kind].inTime++
		}
		woken = append(woken, g.Release(s.now, c.ticket)...)
	}
	s.running = remaining
	for _, t := range woken {
		c := s.waiting[t]
		delete(s.waiting, t)
		c.at = s.now
		s.running = append(s.running, c)
	}
}

// callersOf adds the results of several seeds.
func callersOf(rates []float64, prioritized bool) []served {
	total := make([]served, len(kinds))
	for seed := range uint64(4) {
		for k, r := range playKinds(seed, rates, prioritized) {
			total[k].callers += r.callers
			total[k].inTime += r.inTime
			total[k].late += r.late
			total[k].refused += r.refused
		}
	}
	return total
}

func allOf(list []served) (all served) {
	for _, r := range list {
		all.callers += r.callers
		all.inTime += r.inTime
		all.late += r.late
		all.refused += r.refused
	}
	return all
}

func logServed(t *testing.T, name string, list []served) {
	for k, r := range list {
		t.Logf("%s: priority %d: %d callers, served %.3f, in time %.3f", name, kinds[k].priority, r.callers, r.share(), r.onTime())
	}
	all := allOf(list)
	t.Logf("%s: all: served %.3f, in time %.3f", name, all.share(), all.onTime())
}

// Under overload, callers are served by priority, as many in all as without, and none
// of them much less often than all.
func TestPrioritiesUnderOverload(t *testing.T) {
	for name, rates := range priorityRates {
		t.Run(name, func(t *testing.T) {
			without, with := callersOf(rates, false), callersOf(rates, true)
			logServed(t, "without", without)
			logServed(t, "with", with)
			all := allOf(with)
			require.GreaterOrEqual(t, all.share(), allOf(without).share()-0.01, "served in all")
			require.GreaterOrEqual(t, with[0].share(), without[0].share())
			require.GreaterOrEqual(t, with[0].onTime(), without[0].onTime())
			require.Greater(t, weighted(with), weighted(without))
			for k, r := range with {
				require.GreaterOrEqual(t, r.onTime(), min(0.9*minInTimeFraction, 0.9*all.onTime()), "priority %d is starved", kinds[k].priority)
				if k > 0 {
					require.GreaterOrEqual(t, with[k-1].share(), r.share()-0.02, "priority %d is served less often than %d", kinds[k-1].priority, kinds[k].priority)
				}
			}
		})
	}
}

// weighted returns the share of callers that were served on time, where a caller counts
// twice as much as one of the next lower priority.
func weighted(list []served) float64 {
	got, total := 0.0, 0.0
	for k, r := range list {
		weight := math.Exp2(float64(-kinds[k].priority))
		got += weight * float64(r.inTime)
		total += weight * float64(r.callers)
	}
	return got / total
}

// priorityRates holds requests per second at each gateway, outside of bursts.
var priorityRates = map[string][]float64{
	"usual": {34, 32, 28, 24, 20, 20, 16, 16, 14, 12, 8},
	"heavy": {42, 38, 32, 26, 24, 22, 18, 18, 16, 14, 12},
	"over":  {52, 46, 40, 32, 30, 28, 22, 22, 20, 18, 16},
}
