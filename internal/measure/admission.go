package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjorampitch/api"
)

// Settings of the admission comparison. Loads are fractions of the capacity.
const (
	peakStart       = 30 * time.Second
	peakEnd         = 90 * time.Second
	peakArrivalsEnd = 150 * time.Second
	peakTimeout     = 6 * time.Second
	baseLoad        = 0.6 // total load outside the peak
	smallOrgLoad    = 0.7 // load of each small organisation, as a fraction of its fair share of the capacity
	liveShare       = 0.3 // share of requests with priority live
	peakSeed        = 1
	peakEngines     = 6
	peakOrgs        = 10
)

// admissionPolicy is a combination of admission and retry behaviour.
type admissionPolicy struct {
	name        string
	sidecar     sidecarMode
	retryBudget bool
}

var admissionPolicies = []admissionPolicy{
	{"default", sidecarMode{slowStart: true, fairShare: true}, true},
	{"no-budget", sidecarMode{slowStart: true, fairShare: true}, false},
	{"queue", sidecarMode{slowStart: true}, false},
}

// peak is one load peak of the admission comparison.
type peak struct {
	name       string
	loadFactor float64 // total load in the peak, as a multiple of the capacity
	retryStorm bool    // clients resend at once instead of after Retry-After
}

var peaks = []peak{
	{"x2", 2, false},
	{"x4", 4, false},
	{"x2-storm", 2, true},
	{"x4-storm", 4, true},
}

// admissionResult holds the measurements of one run of the admission comparison.
type admissionResult struct {
	goodInPeak                  int                     // good answers, i.e. within the deadline, received in the peak except its first 5 s
	goodAfter                   int                     // good answers to requests first sent at least 20 s after the peak
	goodByOrg                   [peakOrgs]int           // good answers to requests first sent in the peak, by organisation
	sentByOrg                   [peakOrgs]int           // requests first sent in the peak, by organisation
	sentAfter                   int                     // requests first sent at least 20 s after the peak
	liveSent                    int                     // requests of priority live first sent in the peak
	liveGood                    int                     // good answers to these
	refusalTime, liveFirstToken *hdrhistogram.Histogram // microseconds
	lateRefusals                int                     // refusals that took longer than a second
}

// Admission runs every admission policy at two and four times the capacity and
// writes one line per run to out. It returns the error of a failed write.
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

func newAdmissionFleet(p admissionPolicy) *fleet {
	return newFleet(fleetConfig{
		policy: "bounded", seed: peakSeed, frontProxies: 4, engines: peakEngines, dataCentres: 3,
		reportLag: 100 * time.Millisecond, sidecar: p.sidecar, retryBudget: p.retryBudget,
		interCentreLatency: interCentreLatency, clientLatency: clientLatency,
	})
}

// measureCapacity returns the answers per second of a fleet under a closed-loop
// load of two clients per engine slot, which keeps every batch full.
func measureCapacity() float64 {
	f := newAdmissionFleet(admissionPolicies[2])
	answered := 0
	l := &loadGenerator{fleet: f, rng: rand.New(rand.NewPCG(peakSeed, 17)), meanTurns: 1, timeout: peakTimeout, pickOrg: randomOrganisation, onNextToken: func(time.Duration) {}}
	l.onOutcome = func(c *call, _ *api.Error) {
		if c.answeredAt > peakStart && c.answeredAt <= peakEnd {
			answered++
		}
		if f.clock.now < peakEnd {
			l.sendSingle(l.rng.IntN(peakOrgs))
		}
	}
	for range peakEngines * engineSlots * 2 {
		l.sendSingle(l.rng.IntN(peakOrgs))
	}
	f.clock.run(peakEnd + peakTimeout)
	return float64(answered) / (peakEnd - peakStart).Seconds()
}

// sendSingle starts a session with a single request of the given organisation.
func (l *loadGenerator) sendSingle(org int) {
	l.lastID++
	s := &session{id: l.lastID<<8 | 1, org: fmt.Sprintf("org-%d", org), orgIndex: org, turnsLeft: 1}
	s.rng = rand.New(rand.NewPCG(l.fleet.cfg.seed, s.id))
	l.sendTurn(s)
}

// organisationRates returns the requests per second of each organisation. The
// small ones send at a constant rate below their fair shares; the two large ones
// send the rest of the total.
func organisationRates(total, capacity float64) [peakOrgs]float64 {
	var rate [peakOrgs]float64
	small := smallOrgLoad * capacity / peakOrgs
	for i := 2; i < peakOrgs; i++ {
		rate[i] = small
	}
	rest := total - small*(peakOrgs-2)
	rate[0], rate[1] = rest*0.6, rest*0.4
	return rate
}

func runPeak(p peak, policy admissionPolicy, capacity float64) *admissionResult {
	f := newAdmissionFleet(policy)
	r := &admissionResult{
		refusalTime:    hdrhistogram.New(1, histogramMaxMicros, 2),
		liveFirstToken: hdrhistogram.New(1, histogramMaxMicros, 2),
	}
	l := &loadGenerator{
		fleet: f, rng: rand.New(rand.NewPCG(peakSeed, 19)), meanTurns: 1, timeout: peakTimeout,
		pickOrg: randomOrganisation, onNextToken: func(time.Duration) {}, retry: honourRetryAfter(5),
	}
	if p.retryStorm {
		l.retry = retryImmediately(20)
	}
	retry := l.retry
	l.retry = func(c *call, err *api.Error) (time.Duration, bool) {
		r.recordRefusal(c)
		return retry(c, err)
	}
	l.onOutcome = r.recordOutcome
	l.beforeSend = func(c *call) {
		if l.rng.Float64() < liveShare {
			c.priority = api.PriorityLive
		}
		r.recordSent(c, f.clock.now)
	}
	for i := range peakOrgs {
		l.schedulePoisson(i, func(now time.Duration) float64 {
			if now >= peakStart && now < peakEnd {
				return organisationRates(p.loadFactor*capacity, capacity)[i]
			}
			return organisationRates(baseLoad*capacity, capacity)[i]
		})
	}
	f.clock.run(peakArrivalsEnd + 2*peakTimeout)
	return r
}

// schedulePoisson schedules requests of one organisation at a rate that changes
// with time. It draws again after at most a second, to follow the changes.
func (l *loadGenerator) schedulePoisson(org int, rate func(now time.Duration) float64) {
	wait := time.Duration(l.rng.ExpFloat64() / rate(l.fleet.clock.now) * float64(time.Second))
	l.fleet.clock.after(min(wait, time.Second), func() {
		if l.fleet.clock.now > peakArrivalsEnd {
			return
		}
		if wait <= time.Second {
			l.sendSingle(org)
		}
		l.schedulePoisson(org, rate)
	})
}

// recordRefusal counts a failed call; the retry rule calls it for every failure,
// including the last one.
func (r *admissionResult) recordRefusal(c *call) {
	took := c.answeredAt - c.sentAt
	_ = r.refusalTime.RecordValue(took.Microseconds())
	if took > time.Second {
		r.lateRefusals++
	}
}

// recordSent counts a call when the client first sends it.
func (r *admissionResult) recordSent(c *call, now time.Duration) {
	switch {
	case now >= peakStart && now < peakEnd:
		r.sentByOrg[organisationIndex(c)]++
		if c.priority == api.PriorityLive {
			r.liveSent++
		}
	case now >= peakEnd+20*time.Second && now < peakArrivalsEnd:
		r.sentAfter++
	}
}

// organisationIndex returns the index at the end of the organisation's name.
func organisationIndex(c *call) int { return int(c.org[len(c.org)-1] - '0') }

func (r *admissionResult) recordOutcome(c *call, err *api.Error) {
	good := err == nil && c.answeredAt-c.sentAt <= peakTimeout
	if !good {
		return
	}
	switch {
	case c.firstSentAt >= peakStart && c.firstSentAt < peakEnd:
		r.goodByOrg[organisationIndex(c)]++
		if c.priority == api.PriorityLive {
			r.liveGood++
			_ = r.liveFirstToken.RecordValue(c.firstToken.Microseconds())
		}
	case c.firstSentAt >= peakEnd+20*time.Second && c.firstSentAt < peakArrivalsEnd:
		r.goodAfter++
	}
	if c.answeredAt >= peakStart+5*time.Second && c.answeredAt < peakEnd {
		r.goodInPeak++
	}
}

func (r *admissionResult) print(out io.Writer, p peak, policy admissionPolicy, capacity float64) error {
	small, smallSent := 0, 0
	least := 1.0
	for i := 2; i < peakOrgs; i++ {
		small += r.goodByOrg[i]
		smallSent += r.sentByOrg[i]
		least = min(least, float64(r.goodByOrg[i])/float64(max(1, r.sentByOrg[i])))
	}
	seconds := (peakEnd - peakStart - 5*time.Second).Seconds()
	_, err := fmt.Fprintf(out, "measure=admission policy=%s load=%s goodput=%.1f of_capacity=%.3f small_served=%.4f small_least=%.4f"+
		" live_served=%.3f live_first_p95_ms=%.0f refusals=%d refusal_p50_ms=%.0f refusal_p99_ms=%.0f refusals_over_1s=%d after_peak=%.4f\n",
		policy.name, p.name, float64(r.goodInPeak)/seconds, float64(r.goodInPeak)/seconds/capacity, float64(small)/float64(smallSent), least,
		float64(r.liveGood)/float64(r.liveSent), quantileMillis(r.liveFirstToken, 95), r.refusalTime.TotalCount(),
		quantileMillis(r.refusalTime, 50), quantileMillis(r.refusalTime, 99), r.lateRefusals, float64(r.goodAfter)/float64(max(1, r.sentAfter)))
	return err
}
