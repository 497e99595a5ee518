package pace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Figures of the played load: a group of engines before several gateways, with
// demand for experts that shifts every few seconds and lengthens passes until
// the map follows.
const (
	objective   = 500 * time.Millisecond // first event
	maxGap      = 120 * time.Millisecond
	basePass    = 18 * time.Millisecond
	costFit     = 450 * time.Microsecond // of a stream, with a map that fits
	costShifted = 1150 * time.Microsecond
	shiftEvery  = 3 * time.Second
	shiftLasts  = 750 * time.Millisecond
	events      = 24
	playTime    = 30 * time.Second
	tellEvery   = 40 * time.Millisecond
	callerTime  = 8 * time.Second
)

// admission decides on the requests of one gateway; Gate is the one under test.
type admission interface {
	arrive(now time.Duration, s *stream) bool // false: refused
	leave(now time.Duration, s *stream) []*stream
	event(now, gap time.Duration) []*stream
	began(d time.Duration)
	tell(now time.Duration) Load
	hear(now time.Duration, peer string, l Load)
	expired(now time.Duration) []*stream
}

// stream is one request of the play.
type stream struct {
	gateway  int
	asked    time.Duration // first attempt
	returns  bool
	ticket   *Ticket
	admitted time.Duration
	last     time.Duration // last event
	events   int
	late     bool
}

// outcome counts requests, by gateway.
type outcome struct{ asked, inTime, late, refused []int }

func (o outcome) share() float64 {
	a, b := 0, 0
	for i := range o.asked {
		a += o.inTime[i]
		b += o.asked[i]
	}
	return float64(a) / float64(b)
}

// play runs a load through gateways before one group.
func play(seed uint64, rates []float64, build func() admission) outcome {
	rnd := rand.New(rand.NewPCG(seed, 7))
	n := len(rates)
	o := outcome{make([]int, n), make([]int, n), make([]int, n), make([]int, n)}
	gates := make([]admission, n)
	next := make([]time.Duration, n)
	for i := range gates {
		gates[i] = build()
		next[i] = wait(rnd, rates[i])
	}
	var running []*stream
	var back []*stream // refused callers, with asked + their way back in last
	admit := func(now time.Duration, list []*stream) {
		for _, s := range list {
			s.admitted = now
			running = append(running, s)
		}
	}
	ask := func(now time.Duration, s *stream) {
		if gates[s.gateway].arrive(now, s) {
			if s.ticket == nil || s.ticket.Admitted() {
				admit(now, []*stream{s})
			}
			return
		}
		o.giveUp(rnd, now, s, &back)
	}
	pass := time.Duration(0) // end of the present pass
	for now := time.Duration(0); now < playTime; now += time.Millisecond {
		for i := range gates {
			for ; next[i] <= now; next[i] += wait(rnd, rates[i]) {
				o.asked[i]++
				ask(now, &stream{gateway: i, asked: now})
			}
			for _, s := range gates[i].expired(now) {
				o.giveUp(rnd, now, s, &back)
			}
			if now%tellEvery == time.Duration(i)*time.Millisecond {
				for j := range gates {
					if j != i {
						gates[j].hear(now, fmt.Sprint(i), gates[i].tell(now))
					}
				}
			}
		}
		back = slices.DeleteFunc(back, func(s *stream) bool {
			if s.last <= now {
				ask(now, s)
			}
			return s.last <= now
		})
		if now < pass {
			continue
		}
		running = o.endPass(now, running, gates, admit)
		pass = now + passTime(now, len(running), rnd)
	}
	return o
}

// giveUp ends a refused request, or lets its caller come back once.
func (o *outcome) giveUp(rnd *rand.Rand, now time.Duration, s *stream, back *[]*stream) {
	if s.returns {
		o.refused[s.gateway]++
		return
	}
	left := callerTime - (now - s.asked)
	s.returns, s.ticket = true, nil
	s.last = now + time.Duration((minReturn+rnd.Float64()*(maxReturn-minReturn))*float64(left))
	*back = append(*back, s)
}

// endPass delivers an event of every stream that ran through the pass.
func (o *outcome) endPass(now time.Duration, running []*stream, gates []admission, admit func(time.Duration, []*stream)) []*stream {
	var on []*stream
	var woken []*stream
	for _, s := range running {
		g := gates[s.gateway]
		if s.events == 0 {
			g.began(now - s.admitted)
			s.late = s.late || now-s.asked > objective-transit
		} else {
			s.late = s.late || now-s.last > maxGap
			woken = append(woken, g.event(now, now-s.last)...)
		}
		s.last = now
		if s.events++; s.events < events {
			on = append(on, s)
			continue
		}
		if s.late {
			o.late[s.gateway]++
		} else {
			o.inTime[s.gateway]++
		}
		woken = append(woken, g.leave(now, s)...)
	}
	for _, s := range woken {
		s.admitted = now
	}
	return append(on, woken...)
}

func wait(rnd *rand.Rand, rate float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

// passTime is the time of a pass with so many streams.
func passTime(now time.Duration, streams int, rnd *rand.Rand) time.Duration {
	if streams == 0 {
		return 5 * time.Millisecond
	}
	cost := costFit
	if now%shiftEvery < shiftLasts {
		cost = costShifted
	}
	noise := 1 + 0.06*rnd.NormFloat64()
	return basePass + time.Duration(float64(streams)*float64(cost)*noise)
}

// gated is the Gate under test.
type gated struct {
	*Gate
	waiting map[*Ticket]*stream
}

func newGated() admission {
	g := NewGate(rand.New(rand.NewPCG(1, 1)))
	g.SetGroups([]string{"g"}, func(string) *CapacityEstimator {
		return NewCapacityEstimator(maxGap, CostModel{BaseGap: basePass, MaxStreamCost: 1500 * time.Microsecond, EventsPerStream: events})
	})
	return &gated{g, map[*Ticket]*stream{}}
}

func (g *gated) arrive(now time.Duration, s *stream) bool {
	s.ticket = &Ticket{Objective: objective, Retry: s.returns}
	if !g.Arrive(now, s.ticket) {
		return false
	}
	if !s.ticket.Admitted() {
		g.waiting[s.ticket] = s
	}
	return true
}

func (g *gated) streams(list []*Ticket) []*stream {
	var out []*stream
	for _, t := range list {
		out = append(out, g.waiting[t])
		delete(g.waiting, t)
	}
	return out
}

func (g *gated) leave(now time.Duration, s *stream) []*stream {
	return g.streams(g.Leave(now, s.ticket))
}

func (g *gated) event(now, gap time.Duration) []*stream {
	return g.streams(g.ObserveGap(now, "g", gap))
}
func (g *gated) began(d time.Duration)       { g.ObserveFirstEvent(d) }
func (g *gated) tell(now time.Duration) Load { return g.Loads(now)["g"] }

func (g *gated) hear(now time.Duration, peer string, l Load) { g.SetPeerLoad(now, peer, "g", l) }

func (g *gated) expired(now time.Duration) []*stream {
	var out []*stream
	for t, s := range g.waiting {
		if t.WaitDeadline() <= now && g.Cancel(t) {
			out = append(out, s)
			delete(g.waiting, t)
		}
	}
	slices.SortFunc(out, func(a, b *stream) int { return int(a.asked - b.asked) })
	return out
}

// fixed lets a fixed number of streams run at each gateway; 0 for no limit.
type fixed struct{ limit, running int }

func (f *fixed) arrive(_ time.Duration, _ *stream) bool {
	if f.limit > 0 && f.running >= f.limit {
		return false
	}
	f.running++
	return true
}

func (f *fixed) leave(time.Duration, *stream) []*stream { f.running--; return nil }
func (f *fixed) event(_, _ time.Duration) []*stream     { return nil }
func (f *fixed) began(time.Duration)                    {}
func (f *fixed) tell(time.Duration) Load                { return Load{} }
func (f *fixed) hear(time.Duration, string, Load)       {}
func (f *fixed) expired(time.Duration) []*stream        { return nil }

// loads are requests a second at each of five gateways.
var loads = map[string][]float64{
	"usual":    {13, 11, 9, 6, 6},
	"heavy":    {20, 18, 12, 8, 8},
	"one-eyed": {50, 3, 3, 3, 3},
}

// The gate serves no fewer callers in time than no limit, and at least
// nine tenths of what the best fixed limit serves, which no one knows
// beforehand.
func TestServesMoreInTimeThanFixedLimits(t *testing.T) {
	for name, rates := range loads {
		t.Run(name, func(t *testing.T) {
			got := play(1, rates, newGated).share()
			best, at := 0.0, 0
			for limit := 4; limit <= 60; limit += 2 {
				if x := play(1, rates, func() admission { return &fixed{limit: limit} }).share(); x > best {
					best, at = x, limit
				}
			}
			none := play(1, rates, func() admission { return &fixed{} }).share()
			t.Logf("in time: gate %.3f, best fixed limit (%d) %.3f, no limit %.3f", got, at, best, none)
			require.GreaterOrEqual(t, got, none)
			require.GreaterOrEqual(t, got, 0.9*best)
		})
	}
}

// On a usual day three of four callers are served in time (the aim for quiet
// days), and no gateway's callers fare much worse than others.
func TestUsualLoad(t *testing.T) {
	for seed := range uint64(5) {
		o := play(seed, loads["usual"], newGated)
		require.GreaterOrEqual(t, o.share(), 0.75, "seed %d", seed)
		for i := range o.asked {
			require.GreaterOrEqual(t, float64(o.inTime[i])/float64(o.asked[i]), o.share()-0.15, "seed %d, gateway %d", seed, i)
		}
	}
}

// A rank that is slow for a while lengthens every pass, however few streams
// run: they are not cut down to nothing, and the group is used in full again
// soon afterwards (recorded day inc-ad0d of bryllupslyd-dk: 4 streams for 16 s).
func TestSlowRank(t *testing.T) {
	c := NewCapacityEstimator(maxGap, CostModel{BaseGap: basePass, MaxStreamCost: 1500 * time.Microsecond, EventsPerStream: events})
	now := time.Duration(0)
	run := func(until time.Duration, base, cost time.Duration) {
		for ; now < until; now += 50 * time.Millisecond {
			streams := int(c.Limit())
			c.Observe(now, base+time.Duration(streams)*cost, streams)
		}
	}
	run(4*time.Second, basePass, costFit)
	usual := c.Limit()
	run(12*time.Second, 85*time.Millisecond, 2*time.Millisecond)
	inTime := 8.0 // (0.84 x 120 ms - 85 ms) / 2 ms
	require.Greater(t, c.Limit(), lateGain*inTime, "several times as many callers are served late")
	require.True(t, c.Late())
	run(13*time.Second, basePass, costFit)
	require.False(t, c.Late())
	run(14*time.Second, basePass, costFit)
	careful := 55.0 // (0.84 x 120 ms - 18 ms) / 1.5 ms: what fits at the worst cost
	require.Greater(t, c.Limit(), 0.9*careful, "two seconds later")
	run(25*time.Second, basePass, costFit)
	require.Greater(t, c.Limit(), 0.9*usual, "once the slow time is forgotten")
}

// A group that has stopped gets nothing until it is said to run, and requests
// are refused at once meanwhile.
func TestStoppedGroup(t *testing.T) {
	g := newGated().(*gated)
	require.True(t, g.SetOpen(0, "g", false, time.Second))
	require.False(t, g.SetOpen(0, "g", false, time.Second), "no change")
	require.False(t, g.Arrive(time.Millisecond, &Ticket{Objective: objective}))
	require.True(t, g.SetOpen(2*time.Millisecond, "g", true, 0))
	require.True(t, g.Arrive(3*time.Millisecond, &Ticket{Objective: objective}))
	g.SetOpen(4*time.Millisecond, "g", false, time.Second)
	require.True(t, g.Arrive(2*time.Second, &Ticket{Objective: objective}), "tried again without a word")
}

// The share of a peer that fell silent is used by the others after a second.
func TestSilentPeer(t *testing.T) {
	g := newGated().(*gated)
	g.SetPeerLoad(0, "p", "g", Load{Running: 60, Rate: 40})
	for range 40 {
		g.Arrive(10*time.Millisecond, &Ticket{Objective: objective})
	}
	few := g.groups["g"].running
	require.Less(t, few, 40)
	require.Empty(t, g.AdmitWaiting(1500*time.Millisecond), "those that waited have gone")
	for range 60 {
		g.Arrive(1500*time.Millisecond, &Ticket{Objective: objective})
	}
	require.Greater(t, g.groups["g"].running, 50)
}
