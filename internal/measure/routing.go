package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjorampitch/api"
)

// Settings of the routing comparison.
const (
	routingTime   = 60 * time.Second
	routingWarmUp = 10 * time.Second // not counted
	routingSeed   = 1
	histogramMax  = int64(60 * time.Second / time.Microsecond)
)

var routingPolicies = []string{"roundrobin", "random", "leastconn", "affinity", "bounded"}

// mix is one load of the routing comparison.
type mix struct {
	name      string
	sessions  float64 // new sessions a second
	turns     int
	lag       time.Duration
	burst     bool
	cold      bool // one engine restarts every 20 s
	straggler bool
	hot       float64 // share of the sessions that have one prefix
}

var mixes = []mix{
	{name: "steady", sessions: 23, turns: meanTurns, lag: 100 * time.Millisecond},
	{name: "busy", sessions: 28, turns: meanTurns, lag: 100 * time.Millisecond},
	{name: "hot-prefix", sessions: 20, turns: meanTurns, lag: 100 * time.Millisecond, hot: 0.2},
	{name: "long-sessions", sessions: 8, turns: 12, lag: 100 * time.Millisecond},
	{name: "bursts", sessions: 13, turns: meanTurns, lag: 100 * time.Millisecond, burst: true},
	{name: "cold-server", sessions: 20, turns: meanTurns, lag: 100 * time.Millisecond, cold: true},
	{name: "straggler", sessions: 20, turns: meanTurns, lag: 100 * time.Millisecond, straggler: true},
	{name: "lag-1s", sessions: 23, turns: meanTurns, lag: time.Second},
	{name: "lag-5s", sessions: 23, turns: meanTurns, lag: 5 * time.Second},
}

// routingResult is what one run of the routing comparison measures.
type routingResult struct {
	first, gap  *hdrhistogram.Histogram // microseconds
	sent, good  int
	hit, prompt int
	uneven      float64 // mean over time of the largest batch over the mean batch
	samples     int
	falls       int
}

// Routing compares the routing policies on every mix.
func Routing(out io.Writer) error {
	for _, m := range mixes {
		for _, policy := range routingPolicies {
			r := runMix(m, policy, routingSeed)
			if err := r.print(out, m.name, policy); err != nil {
				return err
			}
		}
	}
	return nil
}

func runMix(m mix, policy string, seed uint64) *routingResult {
	f := newFleet(fleetConfig{
		policy: policy, seed: seed, entries: 8, engines: 12, centres: 3, reportLag: m.lag,
		straggler: m.straggler, side: sideMode{slowStart: true, shares: true}, budget: true,
		distance: centreDistance, client: clientDistance,
	})
	r := &routingResult{
		first: hdrhistogram.New(1, histogramMax, 3),
		gap:   hdrhistogram.New(1, histogramMax, 3),
	}
	l := &load{
		fleet: f, source: rand.New(rand.NewPCG(seed, 13)), until: routingTime, turns: m.turns, timeout: callTimeout,
		rate: func(now time.Duration) float64 { return m.sessions * m.surge(now) },
		org:  organisations, outcome: r.outcome,
		gaps: func(d time.Duration) { _ = r.gap.RecordValue(d.Microseconds()) },
	}
	if m.hot > 0 {
		l.hot = m.hot
	}
	l.start()
	if m.cold {
		f.clock.every(20*time.Second, func() { f.engines[3].restart() })
	}
	f.clock.every(100*time.Millisecond, func() { r.sample(f) })
	f.clock.run(routingTime + 2*callTimeout)
	for _, e := range f.engines {
		r.hit += e.hitTokens
		r.prompt += e.allTokens
		r.falls += e.falls
	}
	return r
}

// surge multiplies the rate of sessions: bursts last 2 s in every 10 s.
func (m *mix) surge(now time.Duration) float64 {
	if m.burst && now%(10*time.Second) < 2*time.Second {
		return 3
	}
	return 1
}

func (r *routingResult) outcome(c *call, err *api.Error) {
	if c.began < routingWarmUp {
		return
	}
	r.sent++
	if err != nil {
		_ = r.first.RecordValue(callTimeout.Microseconds())
		return
	}
	_ = r.first.RecordValue(c.first.Microseconds())
	r.good++
}

func (r *routingResult) sample(f *fleet) {
	most, sum := 0, 0
	for _, e := range f.engines {
		most = max(most, len(e.batch))
		sum += len(e.batch)
	}
	if f.clock.now > routingTime || sum == 0 {
		return
	}
	r.uneven += float64(most) * float64(len(f.engines)) / float64(sum)
	r.samples++
}

func (r *routingResult) print(out io.Writer, load, policy string) error {
	_, err := fmt.Fprintf(out, "measure=routing policy=%s load=%s requests=%d first_p50_ms=%.0f first_p95_ms=%.0f"+
		" first_p99_ms=%.0f gap_p50_ms=%.1f gap_p95_ms=%.1f gap_p99_ms=%.1f cache_hits=%.3f goodput=%.4f imbalance=%.2f falls=%d\n",
		policy, load, r.sent, millis(r.first, 50), millis(r.first, 95), millis(r.first, 99),
		millis(r.gap, 50), millis(r.gap, 95), millis(r.gap, 99),
		float64(r.hit)/float64(r.prompt), float64(r.good)/float64(r.sent), r.uneven/float64(r.samples), r.falls)
	return err
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
