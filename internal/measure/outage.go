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

// Settings of the data centre outage comparison.
const (
	outageStart            = 60 * time.Second
	outageEnd              = 180 * time.Second
	outageArrivalsEnd      = 300 * time.Second
	outageTimeout          = 6 * time.Second
	configDelay            = 300 * time.Millisecond // until a published service configuration is in force, read from the log
	configDelayLogDown     = time.Second            // the same over peers' heartbeats, while the log is down
	logReturnDelay         = 20 * time.Second       // time from the planned return of the data centre to the return of the log, if that is down
	steadyWindowSeconds    = 10                     // seconds over which the share of good answers is averaged to detect recovery
	steadyShare            = 0.99                   // lowest share of good answers that counts as recovered, relative to before the outage
	steadyFirstTokenFactor = 2.0                    // highest first-token p95 that counts as recovered, relative to before the outage
	outageSeed             = 1
	maxFirstToken          = 1200 * time.Millisecond // longest time to the first token of a good answer
)

// deployment holds the latencies and load of one simulated service.
type deployment struct {
	name                              string
	interCentreLatency, clientLatency time.Duration
	sessionRate                       float64
	meanTurns                         int
}

var deployments = []deployment{
	{"bryllupslyd", 1500 * time.Microsecond, 3 * time.Millisecond, 16, meanTurns},
	{"bryllupslyd-tight", 1500 * time.Microsecond, 3 * time.Millisecond, 20, meanTurns},
	{"caroni-watch", 500 * time.Microsecond, time.Millisecond, 45, 2},
}

// outagePolicy is a combination of routing, admission and retry behaviour.
type outagePolicy struct {
	name        string
	routing     string
	sidecar     sidecarMode
	retryBudget bool
	retryStorm  bool // clients resend at once instead of after Retry-After
}

var outagePolicies = []outagePolicy{
	{"default", "bounded", sidecarMode{slowStart: true, fairShare: true}, true, false},
	{"no-slow-start", "bounded", sidecarMode{fairShare: true}, true, false},
	{"naive-retry", "bounded", sidecarMode{slowStart: true}, false, true},
	{"naive", "leastconn", sidecarMode{}, false, true},
}

// outage describes how the data centre leaves.
type outage struct {
	name    string
	lost    bool // its engines stop at once and their requests fail; else it is drained
	logDown bool
}

var outages = []outage{
	{name: "drained"},
	{name: "drained-log-down", logDown: true},
	{name: "lost", lost: true},
}

// outageResult holds the requests sent, the good answers and the first-token times,
// by the second in which the client first sent the request.
type outageResult struct {
	sent, good []int
	firstToken []*hdrhistogram.Histogram // microseconds
}

// DataCentreOutage runs every policy through every outage of a data centre in
// every deployment and writes one line per run to out. It returns the error of
// a failed write.
func DataCentreOutage(out io.Writer) error {
	for _, d := range deployments {
		for _, fault := range outages {
			for _, p := range outagePolicies {
				r, f := runOutage(d, fault, p)
				if err := r.print(out, f, d.name+"-"+fault.name, p.name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func runOutage(d deployment, fault outage, p outagePolicy) (*outageResult, *fleet) {
	f := newFleet(fleetConfig{
		policy: p.routing, seed: outageSeed, frontProxies: 4, engines: 12, dataCentres: 3,
		reportLag: 100 * time.Millisecond, sidecar: p.sidecar, retryBudget: p.retryBudget,
		interCentreLatency: d.interCentreLatency, clientLatency: d.clientLatency,
	})
	r := newOutageResult()
	l := &loadGenerator{
		fleet: f, rng: rand.New(rand.NewPCG(outageSeed, 13)), until: outageArrivalsEnd, meanTurns: d.meanTurns, timeout: outageTimeout,
		rate:    func(time.Duration) float64 { return d.sessionRate },
		pickOrg: randomOrganisation, onOutcome: r.recordOutcome, onNextToken: func(time.Duration) {},
		retry: honourRetryAfter(1),
	}
	if p.retryStorm {
		l.retry = retryImmediately(3)
	}
	l.scheduleSession()
	f.scheduleOutage(fault)
	f.clock.run(outageArrivalsEnd + 2*outageTimeout)
	return r, f
}

// scheduleOutage schedules the outage and the return of the first data centre.
func (f *fleet) scheduleOutage(fault outage) {
	delay, back := configDelay, outageEnd
	if fault.logDown {
		delay, back = configDelayLogDown, outageEnd+logReturnDelay
	}
	f.clock.after(outageStart, func() {
		if fault.lost {
			f.eachAffectedEngine(func(e *engine) { e.down = true; e.restart() })
		}
	})
	f.clock.after(outageStart+delay, func() { f.setDataCentreOut(true) })
	f.clock.after(back, func() { f.eachAffectedEngine(func(e *engine) { e.down = false; e.restart() }) })
	f.clock.after(back+delay, func() { f.setDataCentreOut(false) })
}

// eachAffectedEngine calls do for the engines of the first data centre.
func (f *fleet) eachAffectedEngine(do func(e *engine)) {
	for i, s := range f.sidecars {
		if s.dataCentre == dataCentreName(0) {
			do(f.engines[i])
		}
	}
}

func (f *fleet) setDataCentreOut(out bool) {
	for _, s := range f.sidecars {
		if s.dataCentre == dataCentreName(0) {
			s.dataCentreOut = out
		}
	}
}

func newOutageResult() *outageResult {
	n := int(outageArrivalsEnd/time.Second) + 1
	r := &outageResult{sent: make([]int, n), good: make([]int, n)}
	for range n {
		r.firstToken = append(r.firstToken, hdrhistogram.New(1, histogramMaxMicros, 2))
	}
	return r
}

func (r *outageResult) recordOutcome(c *call, err *api.Error) {
	second := int(c.firstSentAt / time.Second)
	if second >= len(r.sent) {
		return
	}
	r.sent[second]++
	if err != nil {
		return
	}
	firstToken := c.sentAt - c.firstSentAt + c.firstToken
	_ = r.firstToken[second].RecordValue(firstToken.Microseconds())
	if c.answeredAt-c.firstSentAt <= outageTimeout && firstToken <= maxFirstToken {
		r.good[second]++
	}
}

// goodShare returns the share of the requests of seconds [from, to) that were
// answered completely and in time.
func (r *outageResult) goodShare(from, to int) float64 {
	sent, good := 0, 0
	for i := from; i < to; i++ {
		sent += r.sent[i]
		good += r.good[i]
	}
	return float64(good) / float64(max(1, sent))
}

func (r *outageResult) firstTokenP95(from, to int) float64 {
	all := hdrhistogram.New(1, histogramMaxMicros, 2)
	for i := from; i < to; i++ {
		all.Merge(r.firstToken[i])
	}
	return quantileMillis(all, 95)
}

// recoverySeconds returns the seconds from the return at second back until
// service is as good as in seconds [from, to), or -1 if it does not recover
// before the end of the run.
func (r *outageResult) recoverySeconds(back, from, to int) int {
	minShare, firstTokenMax := r.goodShare(from, to)*steadyShare, r.firstTokenP95(from, to)*steadyFirstTokenFactor
	last := len(r.sent) - 1 - steadyWindowSeconds
	for i := last; i >= back; i-- {
		if r.goodShare(i, i+steadyWindowSeconds) < minShare || r.firstTokenP95(i, i+steadyWindowSeconds) > firstTokenMax {
			if i >= last-1 {
				return -1
			}
			return i + steadyWindowSeconds - back
		}
	}
	return 0
}

func (r *outageResult) print(out io.Writer, f *fleet, load, policy string) error {
	outAt, backAt := int(outageStart/time.Second), int(outageEnd/time.Second)
	worst, at := 1.0, 0
	var dips []string
	for i := outAt; i < len(r.sent)-1; i++ {
		share := r.goodShare(i, i+1)
		if share < worst {
			worst, at = share, i
		}
		if share < 0.9 {
			dips = append(dips, fmt.Sprintf("%d:%.2f", i-outAt, share))
		}
	}
	crashes, overloads := 0, 0
	for _, e := range f.engines {
		crashes += e.crashes
		overloads += e.overloads
	}
	// falls is the output name of the crashes, overloads that of the cold overloads.
	_, err := fmt.Fprintf(out, "measure=zone policy=%s load=%s before=%.4f leaving=%.4f absent=%.4f returning=%.4f after=%.4f"+
		" worst_second=%.2f worst_at_s=%d steady_after_s=%d first_p95_before_ms=%.0f first_p95_absent_ms=%.0f first_p95_returning_ms=%.0f"+
		" falls=%d overloads=%d seconds_under_90=%d under_90=%s\n",
		policy, load, r.goodShare(20, outAt), r.goodShare(outAt, outAt+10), r.goodShare(outAt+10, backAt), r.goodShare(backAt, backAt+30),
		r.goodShare(backAt+60, len(r.sent)-1), worst, at-outAt, r.recoverySeconds(backAt, 20, outAt),
		r.firstTokenP95(20, outAt), r.firstTokenP95(outAt+10, backAt), r.firstTokenP95(backAt, backAt+30),
		crashes, overloads, len(dips), strings.Join(dips[:min(len(dips), 12)], ","))
	return err
}
