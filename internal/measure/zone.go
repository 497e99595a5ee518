package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjorampitch/api"
)

// Times of the comparison in which a data centre leaves and returns.
const (
	zoneOut      = 60 * time.Second
	zoneBack     = 180 * time.Second
	zoneEnd      = 300 * time.Second
	zoneTimeout  = 6 * time.Second
	zoneInForce  = 300 * time.Millisecond // until a document is in force, read from the log
	zoneByPeers  = time.Second            // the same by heartbeats of peers, while the log is down
	zoneLogBack  = 20 * time.Second       // the log is down until so long after the wanted return
	zoneWindow   = 10                     // seconds that service is averaged over
	steadyShare  = 0.99                   // of the share before, for service to count as steady
	steadyFirst  = 2.0                    // times the first-token p95 before
	zoneSeed     = 1
	zoneFirstMax = 1200 * time.Millisecond // longest time to the first token of a good answer
)

// deployment is one user's sizes.
type deployment struct {
	name             string
	distance, client time.Duration
	sessions         float64
	turns            int
}

var deployments = []deployment{
	{"bryllupslyd", 1500 * time.Microsecond, 3 * time.Millisecond, 16, meanTurns},
	{"bryllupslyd-tight", 1500 * time.Microsecond, 3 * time.Millisecond, 20, meanTurns},
	{"caroni-watch", 500 * time.Microsecond, time.Millisecond, 45, 2},
}

// zonePolicy is one way to go through it.
type zonePolicy struct {
	name    string
	routing string
	side    sideMode
	budget  bool
	storm   bool // callers and entries try again at once
}

var zonePolicies = []zonePolicy{
	{"default", "bounded", sideMode{slowStart: true, shares: true}, true, false},
	{"no-slow-start", "bounded", sideMode{shares: true}, true, false},
	{"naive-retry", "bounded", sideMode{slowStart: true}, false, true},
	{"naive", "leastconn", sideMode{}, false, true},
}

// zoneFault is how the data centre goes.
type zoneFault struct {
	name    string
	lost    bool // at once, with all that runs there; else drained
	logDown bool
}

var zoneFaults = []zoneFault{
	{name: "drained"},
	{name: "drained-log-down", logDown: true},
	{name: "lost", lost: true},
}

// zoneResult is the service in each second of arrival.
type zoneResult struct {
	sent, good []int
	first      []*hdrhistogram.Histogram // microseconds
}

// Zone measures the service while a data centre leaves and returns.
func Zone(out io.Writer) error {
	for _, d := range deployments {
		for _, fault := range zoneFaults {
			for _, p := range zonePolicies {
				r, f := runZone(d, fault, p)
				if err := r.print(out, f, d.name+"-"+fault.name, p.name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func runZone(d deployment, fault zoneFault, p zonePolicy) (*zoneResult, *fleet) {
	f := newFleet(fleetConfig{
		policy: p.routing, seed: zoneSeed, entries: 4, engines: 12, centres: 3,
		reportLag: 100 * time.Millisecond, side: p.side, budget: p.budget,
		distance: d.distance, client: d.client,
	})
	r := newZoneResult()
	l := &load{
		fleet: f, source: rand.New(rand.NewPCG(zoneSeed, 13)), until: zoneEnd, turns: d.turns, timeout: zoneTimeout,
		rate: func(time.Duration) float64 { return d.sessions },
		org:  organisations, outcome: r.outcome, gaps: func(time.Duration) {},
		again: obedient(1),
	}
	if p.storm {
		l.again = storm(3)
	}
	l.start()
	f.schedule(fault)
	f.clock.run(zoneEnd + 2*zoneTimeout)
	return r, f
}

// schedule takes the first data centre out and brings it back.
func (f *fleet) schedule(fault zoneFault) {
	inForce, back := zoneInForce, zoneBack
	if fault.logDown {
		inForce, back = zoneByPeers, zoneBack+zoneLogBack
	}
	f.clock.after(zoneOut, func() {
		if fault.lost {
			f.each(func(e *engine) { e.down = true; e.restart() })
		}
	})
	f.clock.after(zoneOut+inForce, func() { f.takeOut(true) })
	f.clock.after(back, func() { f.each(func(e *engine) { e.down = false; e.restart() }) })
	f.clock.after(back+inForce, func() { f.takeOut(false) })
}

// each calls do for the engines of the first data centre.
func (f *fleet) each(do func(e *engine)) {
	for i, s := range f.sides {
		if s.dataCentre == centre(0) {
			do(f.engines[i])
		}
	}
}

func (f *fleet) takeOut(out bool) {
	for _, s := range f.sides {
		if s.dataCentre == centre(0) {
			s.out = out
		}
	}
}

func newZoneResult() *zoneResult {
	n := int(zoneEnd/time.Second) + 1
	r := &zoneResult{sent: make([]int, n), good: make([]int, n)}
	for range n {
		r.first = append(r.first, hdrhistogram.New(1, histogramMax, 2))
	}
	return r
}

func (r *zoneResult) outcome(c *call, err *api.Error) {
	second := int(c.origin / time.Second)
	if second >= len(r.sent) {
		return
	}
	r.sent[second]++
	if err != nil {
		return
	}
	first := c.began - c.origin + c.first
	_ = r.first[second].RecordValue(first.Microseconds())
	if c.ended-c.origin <= zoneTimeout && first <= zoneFirstMax {
		r.good[second]++
	}
}

// share is the part of the requests of some seconds that was answered whole and in time.
func (r *zoneResult) share(from, to int) float64 {
	sent, good := 0, 0
	for i := from; i < to; i++ {
		sent += r.sent[i]
		good += r.good[i]
	}
	return float64(good) / float64(max(1, sent))
}

func (r *zoneResult) firstP95(from, to int) float64 {
	all := hdrhistogram.New(1, histogramMax, 2)
	for i := from; i < to; i++ {
		all.Merge(r.first[i])
	}
	return millis(all, 95)
}

// steady returns the seconds after the return from which service is as before,
// or -1 when it is not so again until the end.
func (r *zoneResult) steady(back, from, to int) int {
	share, first := r.share(from, to)*steadyShare, r.firstP95(from, to)*steadyFirst
	last := len(r.sent) - 1 - zoneWindow
	for i := last; i >= back; i-- {
		if r.share(i, i+zoneWindow) < share || r.firstP95(i, i+zoneWindow) > first {
			if i >= last-1 {
				return -1
			}
			return i + zoneWindow - back
		}
	}
	return 0
}

func (r *zoneResult) print(out io.Writer, f *fleet, load, policy string) error {
	outAt, backAt := int(zoneOut/time.Second), int(zoneBack/time.Second)
	worst, at := 1.0, 0
	var dips []string
	for i := outAt; i < len(r.sent)-1; i++ {
		s := r.share(i, i+1)
		if s < worst {
			worst, at = s, i
		}
		if s < 0.9 {
			dips = append(dips, fmt.Sprintf("%d:%.2f", i-outAt, s))
		}
	}
	falls, overload := 0, 0
	for _, e := range f.engines {
		falls += e.falls
		overload += e.overload
	}
	_, err := fmt.Fprintf(out, "measure=zone policy=%s load=%s before=%.4f leaving=%.4f absent=%.4f returning=%.4f after=%.4f"+
		" worst_second=%.2f worst_at_s=%d steady_after_s=%d first_p95_before_ms=%.0f first_p95_absent_ms=%.0f first_p95_returning_ms=%.0f"+
		" falls=%d overloads=%d seconds_under_90=%d under_90=%s\n",
		policy, load, r.share(20, outAt), r.share(outAt, outAt+10), r.share(outAt+10, backAt), r.share(backAt, backAt+30),
		r.share(backAt+60, len(r.sent)-1), worst, at-outAt, r.steady(backAt, 20, outAt),
		r.firstP95(20, outAt), r.firstP95(outAt+10, backAt), r.firstP95(backAt, backAt+30),
		falls, overload, len(dips), strings.Join(dips[:min(len(dips), 12)], ","))
	return err
}
