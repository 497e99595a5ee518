package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjorampitch/api"
)

// Times and loads of the admission comparison.
const (
	peakFrom    = 30 * time.Second
	peakTo      = 90 * time.Second
	peakEnd     = 150 * time.Second
	peakTimeout = 6 * time.Second
	calmLoad    = 0.6 // of the capacity, outside the peak
	smallLoad   = 0.7 // of its fair share of the capacity, for each small organisation
	liveShare   = 0.3 // of the requests are live calls
	peakSeed    = 1
	peakEngines = 6
	peakOrgs    = 10
)

// admissionPolicy is one way to meet overload.
type admissionPolicy struct {
	name   string
	side   sideMode
	budget bool
}

var admissionPolicies = []admissionPolicy{
	{"default", sideMode{slowStart: true, shares: true}, true},
	{"no-budget", sideMode{slowStart: true, shares: true}, false},
	{"queue", sideMode{slowStart: true}, false},
}

// peak is one load of the admission comparison.
type peak struct {
	name  string
	times float64 // of the capacity
	storm bool    // callers come back at once instead of after Retry-After
}

var peaks = []peak{
	{"x2", 2, false},
	{"x4", 4, false},
	{"x2-storm", 2, true},
	{"x4-storm", 4, true},
}

// admissionResult is what one run of the admission comparison measures.
type admissionResult struct {
	good, after        int // answers within the deadline: given in the peak, and asked for well after it
	goodBy, sentBy     [peakOrgs]int
	afterSent          int
	live, liveGood     int
	refusal, firstLive *hdrhistogram.Histogram // microseconds
	late               int                     // refusals that took longer than a second
}

// Admission compares ways to meet overload at two and four times the capacity.
func Admission(out io.Writer) error {
	capacity := measureCapacity()
	if _, err := fmt.Fprintf(out, "measure=admission policy=none load=capacity per_second=%.1f\n", capacity); err != nil {
		return err
	}
	for _, p := range peaks {
		for _, policy := range admissionPolicies {
			r := runPeak(p, policy, capacity)
			if err := r.print(out, p, policy, capacity); err != nil {
				return err
			}
		}
	}
	return nil
}

func admissionFleet(p admissionPolicy) *fleet {
	return newFleet(fleetConfig{
		policy: "bounded", seed: peakSeed, entries: 4, engines: peakEngines, centres: 3,
		reportLag: 100 * time.Millisecond, side: p.side, budget: p.budget,
		distance: centreDistance, client: clientDistance,
	})
}

// measureCapacity returns the answers a second of engines whose batches are
// always full: callers in a closed loop, two for each slot.
func measureCapacity() float64 {
	f := admissionFleet(admissionPolicies[2])
	ended := 0
	l := &load{fleet: f, source: rand.New(rand.NewPCG(peakSeed, 17)), turns: 1, timeout: peakTimeout, org: organisations, gaps: func(time.Duration) {}}
	l.outcome = func(c *call, _ *api.Error) {
		if c.ended > peakFrom && c.ended <= peakTo {
			ended++
		}
		if f.clock.now < peakTo {
			l.single(l.source.IntN(peakOrgs))
		}
	}
	for range peakEngines * engineSlots * 2 {
		l.single(l.source.IntN(peakOrgs))
	}
	f.clock.run(peakTo + peakTimeout)
	return float64(ended) / (peakTo - peakFrom).Seconds()
}

// single sends a session of one request for an organisation.
func (l *load) single(org int) {
	l.next++
	s := &session{id: l.next<<8 | 1, org: fmt.Sprintf("org-%d", org), index: org, left: 1}
	s.source = rand.New(rand.NewPCG(l.fleet.cfg.seed, s.id))
	l.turn(s)
}

// rates returns the requests a second of each organisation: small ones send
// the same at all times and below their shares; the two large ones the rest.
func rates(total, capacity float64) [peakOrgs]float64 {
	var rate [peakOrgs]float64
	small := smallLoad * capacity / peakOrgs
	for i := 2; i < peakOrgs; i++ {
		rate[i] = small
	}
	rest := total - small*(peakOrgs-2)
	rate[0], rate[1] = rest*0.6, rest*0.4
	return rate
}

func runPeak(p peak, policy admissionPolicy, capacity float64) *admissionResult {
	f := admissionFleet(policy)
	r := &admissionResult{
		refusal:   hdrhistogram.New(1, histogramMax, 2),
		firstLive: hdrhistogram.New(1, histogramMax, 2),
	}
	l := &load{
		fleet: f, source: rand.New(rand.NewPCG(peakSeed, 19)), turns: 1, timeout: peakTimeout,
		org: organisations, gaps: func(time.Duration) {}, again: obedient(5),
	}
	if p.storm {
		l.again = storm(20)
	}
	again := l.again
	l.again = func(c *call, err *api.Error) (time.Duration, bool) {
		r.refused(c)
		return again(c, err)
	}
	l.outcome = r.outcome
	l.tweak = func(c *call) {
		if l.source.Float64() < liveShare {
			c.priority = api.PriorityLive
		}
		r.offered(c, f.clock.now)
	}
	for i := range peakOrgs {
		l.poisson(i, func(now time.Duration) float64 {
			if now >= peakFrom && now < peakTo {
				return rates(p.times*capacity, capacity)[i]
			}
			return rates(calmLoad*capacity, capacity)[i]
		})
	}
	f.clock.run(peakEnd + 2*peakTimeout)
	return r
}

// poisson sends requests of one organisation at a rate that changes with time.
func (l *load) poisson(org int, rate func(now time.Duration) float64) {
	wait := time.Duration(l.source.ExpFloat64() / rate(l.fleet.clock.now) * float64(time.Second))
	l.fleet.clock.after(min(wait, time.Second), func() {
		if l.fleet.clock.now > peakEnd {
			return
		}
		if wait <= time.Second {
			l.single(org)
		}
		l.poisson(org, rate)
	})
}

// refused counts one failed try of a caller, the last one too.
func (r *admissionResult) refused(c *call) {
	took := c.ended - c.began
	_ = r.refusal.RecordValue(took.Microseconds())
	if took > time.Second {
		r.late++
	}
}

// offered counts a request when it is first made.
func (r *admissionResult) offered(c *call, now time.Duration) {
	switch {
	case now >= peakFrom && now < peakTo:
		r.sentBy[organisation(c)]++
		if c.priority == api.PriorityLive {
			r.live++
		}
	case now >= peakTo+20*time.Second && now < peakEnd:
		r.afterSent++
	}
}

// organisation is the index that ends the organisation's name.
func organisation(c *call) int { return int(c.org[len(c.org)-1] - '0') }

func (r *admissionResult) outcome(c *call, err *api.Error) {
	good := err == nil && c.ended-c.began <= peakTimeout
	if !good {
		return
	}
	switch {
	case c.origin >= peakFrom && c.origin < peakTo:
		r.goodBy[organisation(c)]++
		if c.priority == api.PriorityLive {
			r.liveGood++
			_ = r.firstLive.RecordValue(c.first.Microseconds())
		}
	case c.origin >= peakTo+20*time.Second && c.origin < peakEnd:
		r.after++
	}
	if c.ended >= peakFrom+5*time.Second && c.ended < peakTo {
		r.good++
	}
}

func (r *admissionResult) print(out io.Writer, p peak, policy admissionPolicy, capacity float64) error {
	small, smallSent := 0, 0
	least := 1.0
	for i := 2; i < peakOrgs; i++ {
		small += r.goodBy[i]
		smallSent += r.sentBy[i]
		least = min(least, float64(r.goodBy[i])/float64(max(1, r.sentBy[i])))
	}
	seconds := (peakTo - peakFrom - 5*time.Second).Seconds()
	_, err := fmt.Fprintf(out, "measure=admission policy=%s load=%s goodput=%.1f of_capacity=%.3f small_served=%.4f small_least=%.4f"+
		" live_served=%.3f live_first_p95_ms=%.0f refusals=%d refusal_p50_ms=%.0f refusal_p99_ms=%.0f refusals_over_1s=%d after_peak=%.4f\n",
		policy.name, p.name, float64(r.good)/seconds, float64(r.good)/seconds/capacity, float64(small)/float64(smallSent), least,
		float64(r.liveGood)/float64(r.live), millis(r.firstLive, 95), r.refusal.TotalCount(),
		millis(r.refusal, 50), millis(r.refusal, 99), r.late, float64(r.after)/float64(max(1, r.afterSent)))
	return err
}
