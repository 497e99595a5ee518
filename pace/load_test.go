package pace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Parameters of the simulation: several gateways send to one group of engines.
// Demand for experts shifts every few seconds and lengthens passes until the
// expert map follows.
const (
	objective     = 500 * time.Millisecond // for the first event
	maxGap        = 120 * time.Millisecond
	basePass      = 18 * time.Millisecond
	streamCost    = 450 * time.Microsecond // per stream, with a map that matches demand
	shiftedCost   = 1150 * time.Microsecond
	shiftInterval = 3 * time.Second
	shiftDuration = 750 * time.Millisecond
	events        = 24
	simulatedTime = 30 * time.Second
	loadInterval  = 40 * time.Millisecond
	callerTimeout = 8 * time.Second
)

// admission decides on the requests of one gateway. gateAdmission is under test.
type admission interface {
	arrive(now time.Duration, s *stream) bool // false: refused
	leave(now time.Duration, s *stream) []*stream
	observeGap(now, gap time.Duration) []*stream
	observeFirstEvent(d time.Duration)
	load(now time.Duration) Load
	setPeerLoad(now time.Duration, peer string, l Load)
	expired(now time.Duration) []*stream
}

// stream is one request of the simulation.
type stream struct {
	gateway  int
	started  time.Duration // first attempt
	retry    bool
	ticket   *Ticket
	admitted time.Duration
	last     time.Duration // time of the last event; for a request that waits to retry, time of the retry
	events   int
	late     bool
}

// outcome counts requests by gateway.
type outcome struct{ requests, inTime, late, refused []int }

// onTime returns the fraction of all requests that were served on time.
func (o outcome) onTime() float64 {
	inTime, total := 0, 0
	for i := range o.requests {
		inTime += o.inTime[i]
		total += o.requests[i]
	}
	return float64(inTime) / float64(total)
}

// simulate sends requests at the given rates per second through one gateway each
// to one group.
func simulate(seed uint64, rates []float64, build func() admission) outcome {
	rnd := rand.New(rand.NewPCG(seed, 7))
	n := len(rates)
	o := outcome{make([]int, n), make([]int, n), make([]int, n), make([]int, n)}
	gates := make([]admission, n)
	next := make([]time.Duration, n)
	for i := range gates {
		gates[i] = build()
		next[i] = interArrival(rnd, rates[i])
	}
	var running []*stream
	var refused []*stream // each retries at its stream.last
	admit := func(now time.Duration, list []*stream) {
		for _, s := range list {
			s.admitted = now
			running = append(running, s)
		}
	}
	attempt := func(now time.Duration, s *stream) {
		if gates[s.gateway].arrive(now, s) {
			if s.ticket == nil || s.ticket.Admitted() {
				admit(now, []*stream{s})
			}
			return
		}
		o.refuse(rnd, now, s, &refused)
	}
	passEnd := time.Duration(0)
	for now := time.Duration(0); now < simulatedTime; now += time.Millisecond {
		for i := range gates {
			for ; next[i] <= now; next[i] += interArrival(rnd, rates[i]) {
				o.requests[i]++
				attempt(now, &stream{gateway: i, started: now})
			}
			for _, s := range gates[i].expired(now) {
				o.refuse(rnd, now, s, &refused)
			}
			if now%loadInterval == time.Duration(i)*time.Millisecond {
				for j := range gates {
					if j != i {
						gates[j].setPeerLoad(now, fmt.Sprint(i), gates[i].load(now))
					}
				}
			}
		}
		refused = slices.DeleteFunc(refused, func(s *stream) bool {
			if s.last <= now {
				attempt(now, s)
			}
			return s.last <= now
		})
		if now < passEnd {
			continue
		}
		running = o.endPass(now, running, gates, admit)
		passEnd = now + passTime(now, len(running), rnd)
	}
	return o
}

// refuse records a refused request, or schedules its only retry.
func (o *outcome) refuse(rnd *rand.Rand, now time.Duration, s *stream, refused *[]*stream) {
	if s.retry {
		o.refused[s.gateway]++
		return
	}
	left := callerTimeout - (now - s.started)
	s.retry, s.ticket = true, nil
	s.last = now + time.Duration((minRetryFraction+rnd.Float64()*(maxRetryFraction-minRetryFraction))*float64(left))
	*refused = append(*refused, s)
}

// endPass delivers one event of every running stream and returns the streams of
// the next pass.
func (o *outcome) endPass(now time.Duration, running []*stream, gates []admission, admit func(time.Duration, []*stream)) []*stream {
	var remaining []*stream
	var woken []*stream
	for _, s := range running {
		g := gates[s.gateway]
		if s.events == 0 {
			g.observeFirstEvent(now - s.admitted)
			s.late = s.late || now-s.started > objective-networkDelay
		} else {
			s.late = s.late || now-s.last > maxGap
			woken = append(woken, g.observeGap(now, now-s.last)...)
		}
		s.last = now
		if s.events++; s.events < events {
			remaining = append(remaining, s)
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
	return append(remaining, woken...)
}

// interArrival returns an exponentially distributed interval between arrivals, for
// a rate in arrivals per second.
func interArrival(rnd *rand.Rand, rate float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

// passTime returns the duration of a pass with the given number of streams.
func passTime(now time.Duration, streams int, rnd *rand.Rand) time.Duration {
	if streams == 0 {
		return 5 * time.Millisecond
	}
	cost := streamCost
	if now%shiftInterval < shiftDuration {
		cost = shiftedCost
	}
	noise := 1 + 0.06*rnd.NormFloat64()
	return basePass + time.Duration(float64(streams)*float64(cost)*noise)
}

// gateAdmission adapts a Gate.
type gateAdmission struct {
	*Gate
	waiting map[*Ticket]*stream
}

func newGateAdmission() admission {
	g := NewGate(rand.New(rand.NewPCG(1, 1)))
	g.SetGroups([]string{"g"}, func(string) *CapacityEstimator {
		return NewCapacityEstimator(maxGap, CostModel{BaseGap: basePass, MaxStreamCost: 1500 * time.Microsecond, EventsPerStream: events})
	})
	return &gateAdmission{g, map[*Ticket]*stream{}}
}

func (g *gateAdmission) arrive(now time.Duration, s *stream) bool {
	s.ticket = &Ticket{Objective: objective, Retry: s.retry}
	if !g.AdmitOrQueue(now, s.ticket) {
		return false
	}
	if !s.ticket.Admitted() {
		g.waiting[s.ticket] = s
	}
	return true
}

func (g *gateAdmission) streams(list []*Ticket) []*stream {
	var out []*stream
	for _, t := range list {
		out = append(out, g.waiting[t])
		delete(g.waiting, t)
	}
	return out
}

func (g *gateAdmission) leave(now time.Duration, s *stream) []*stream {
	return g.streams(g.Release(now, s.ticket))
}

func (g *gateAdmission) observeGap(now, gap time.Duration) []*stream {
	return g.streams(g.ObserveGap(now, "g", gap))
}
func (g *gateAdmission) observeFirstEvent(d time.Duration) { g.ObserveFirstEvent(d) }
func (g *gateAdmission) load(now time.Duration) Load       { return g.Loads(now)["g"] }

func (g *gateAdmission) setPeerLoad(now time.Duration, peer string, l Load) {
	g.SetPeerLoad(now, peer, "g", l)
}

func (g *gateAdmission) expired(now time.Duration) []*stream {
	var out []*stream
	for t, s := range g.waiting {
		if t.WaitDeadline() <= now && g.Cancel(t) {
			out = append(out, s)
			delete(g.waiting, t)
		}
	}
	slices.SortFunc(out, func(a, b *stream) int { return int(a.started - b.started) })
	return out
}

// fixed admits a fixed number of streams at each gateway; 0 means no limit.
type fixed struct{ limit, running int }

func (f *fixed) arrive(_ time.Duration, _ *stream) bool {
	if f.limit > 0 && f.running >= f.limit {
		return false
	}
	f.running++
	return true
}

func (f *fixed) leave(time.Duration, *stream) []*stream  { f.running--; return nil }
func (f *fixed) observeGap(_, _ time.Duration) []*stream { return nil }
func (f *fixed) observeFirstEvent(time.Duration)         {}
func (f *fixed) load(time.Duration) Load                 { return Load{} }
func (f *fixed) setPeerLoad(time.Duration, string, Load) {}
func (f *fixed) expired(time.Duration) []*stream         { return nil }

// loads holds requests per second at each of five gateways.
var loads = map[string][]float64{
	"usual":  {13, 11, 9, 6, 6},
	"heavy":  {20, 18, 12, 8, 8},
	"uneven": {50, 3, 3, 3, 3},
}

// The gate serves at least as many callers on time as admission without a limit,
// and at least 0.9 of what the best fixed limit serves, which is not known in advance.
func TestServesNearlyAsManyOnTimeAsBestFixedLimit(t *testing.T) {
	for name, rates := range loads {
		t.Run(name, func(t *testing.T) {
			got := simulate(1, rates, newGateAdmission).onTime()
			best, at := 0.0, 0
			for limit := 4; limit <= 60; limit += 2 {
				if x := simulate(1, rates, func() admission { return &fixed{limit: limit} }).onTime(); x > best {
					best, at = x, limit
				}
			}
			none := simulate(1, rates, func() admission { return &fixed{} }).onTime()
			t.Logf("on time: gate %.3f, best fixed limit (%d) %.3f, no limit %.3f", got, at, best, none)
			require.GreaterOrEqual(t, got, none)
			require.GreaterOrEqual(t, got, 0.9*best)
		})
	}
}

// Under the usual load three of four callers are served on time, the target for
// quiet days, and no gateway is more than 0.15 below the mean.
func TestUsualLoad(t *testing.T) {
	for seed := range uint64(5) {
		o := simulate(seed, loads["usual"], newGateAdmission)
		require.GreaterOrEqual(t, o.onTime(), 0.75, "seed %d", seed)
		for i := range o.requests {
			require.GreaterOrEqual(t, float64(o.inTime[i])/float64(o.requests[i]), o.onTime()-0.15, "seed %d, gateway %d", seed, i)
		}
	}
}

// A temporarily slow rank lengthens every pass regardless of the number of
// streams. The limit must not fall to the minimum, and must recover soon after. In
// inc-ad0d (docs/incidents), a simulated day of bryllupslyd-dk on the users' test
// bench, it stayed at the minimum of 4 streams for 16 s.
func TestSlowRank(t *testing.T) {
	c := NewCapacityEstimator(maxGap, CostModel{BaseGap: basePass, MaxStreamCost: 1500 * time.Microsecond, EventsPerStream: events})
	now := time.Duration(0)
	run := func(until time.Duration, base, cost time.Duration) {
		for ; now < until; now += 50 * time.Millisecond {
			streams := int(c.Limit())
			c.Observe(now, base+time.Duration(streams)*cost, streams)
		}
	}
	run(4*time.Second, basePass, streamCost)
	usual := c.Limit()
	run(12*time.Second, 85*time.Millisecond, 2*time.Millisecond)
	onTimeStreams := 8.0 // (0.84 x 120 ms - 85 ms) / 2 ms
	require.Greater(t, c.Limit(), lateGain*onTimeStreams, "the degraded group admits several times as many streams")
	require.True(t, c.Degraded())
	run(13*time.Second, basePass, streamCost)
	require.False(t, c.Degraded())
	run(14*time.Second, basePass, streamCost)
	atMaxCost := 55.0 // (0.84 x 120 ms - 18 ms) / 1.5 ms: the limit at the maximum stream cost
	require.Greater(t, c.Limit(), 0.9*atMaxCost, "two seconds later")
	run(25*time.Second, basePass, streamCost)
	require.Greater(t, c.Limit(), 0.9*usual, "after the costs of the slow period left the window")
}

// A rank that is so slow that no stream can be on time brings the limit to its minimum.
// Once it is as fast as before, the group is back within two seconds at the limit with which
// it started, which holds at the maximum stream cost: the callers that come meanwhile
// find it nearly idle.
func TestGroupThatWasSlowIsSoonInUse(t *testing.T) {
	c := NewCapacityEstimator(maxGap, CostModel{BaseGap: basePass, MaxStreamCost: 300 * time.Microsecond, EventsPerStream: events})
	initial := c.Limit()
	now := time.Duration(0)
	run := func(d time.Duration, base, cost time.Duration) {
		for end := now + d; now < end; now += 50 * time.Millisecond {
			streams := int(min(c.Limit(), 200))
			c.Observe(now, base+time.Duration(streams)*cost, streams)
		}
	}
	run(4*time.Second, basePass, 100*time.Microsecond)
	run(9*time.Second, 500*time.Millisecond, time.Millisecond)
	require.Equal(t, minStreams, c.Limit())
	run(2*time.Second, basePass, 100*time.Microsecond)
	require.GreaterOrEqual(t, c.Limit(), 0.9*initial)
}

// A closed group admits nothing until it is opened or the closing time has
// passed. Requests are refused at once in the meantime.
func TestClosedGroup(t *testing.T) {
	g := newGateAdmission().(*gateAdmission)
	require.True(t, g.SetOpen(0, "g", false, time.Second))
	require.False(t, g.SetOpen(0, "g", false, time.Second), "no change")
	require.False(t, g.AdmitOrQueue(time.Millisecond, &Ticket{Objective: objective}))
	require.True(t, g.SetOpen(2*time.Millisecond, "g", true, 0))
	require.True(t, g.AdmitOrQueue(3*time.Millisecond, &Ticket{Objective: objective}))
	g.SetOpen(4*time.Millisecond, "g", false, time.Second)
	require.True(t, g.AdmitOrQueue(2*time.Second, &Ticket{Objective: objective}), "admits again after the closing time")
}

// The share of a peer that sends no loads is available to the others after
// maxPeerLoadAge.
func TestSilentPeer(t *testing.T) {
	g := newGateAdmission().(*gateAdmission)
	g.SetPeerLoad(0, "p", "g", Load{Running: 60, Rate: 40})
	for range 40 {
		g.AdmitOrQueue(10*time.Millisecond, &Ticket{Objective: objective})
	}
	few := g.groups["g"].running
	require.Less(t, few, 40)
	require.Empty(t, g.AdmitWaiting(1500*time.Millisecond), "waiting requests have expired")
	for range 60 {
		g.AdmitOrQueue(1500*time.Millisecond, &Ticket{Objective: objective})
	}
	require.Greater(t, g.groups["g"].running, 50)
}

func TestVanishedGroupAdmitsNothing(t *testing.T) {
	g := NewGate(rand.New(rand.NewPCG(1, 1)))
	build := func(string) *CapacityEstimator {
		return NewCapacityEstimator(100*time.Millisecond, CostModel{BaseGap: time.Millisecond, MaxStreamCost: time.Millisecond, EventsPerStream: 20})
	}
	ticket := func() *Ticket { return &Ticket{Objective: 500 * time.Millisecond} }
	g.SetGroups([]string{"guessed"}, build)
	running := ticket()
	require.True(t, g.AdmitOrQueue(time.Second, running))
	require.Equal(t, "guessed", running.Group)
	g.SetGroups([]string{"a", "b"}, build)
	for i := range 6 {
		next := ticket()
		require.True(t, g.AdmitOrQueue(time.Second+time.Duration(i)*time.Millisecond, next))
		require.NotEqual(t, "guessed", next.Group)
	}
	g.SetOpen(2*time.Second, "a", false, time.Second)
	g.SetOpen(2*time.Second, "b", false, time.Second)
	require.True(t, g.AllStalled())
	g.Release(3*time.Second, running)
	g.SetGroups([]string{"a", "b"}, build)
	require.Len(t, g.Status(3*time.Second), 2)
}
