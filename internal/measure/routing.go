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
	routingDuration    = 60 * time.Second
	routingWarmUp      = 10 * time.Second // requests sent before this time are not counted
	routingSeed        = 1
	histogramMaxMicros = int64(60 * time.Second / time.Microsecond)
)

var routingPolicies = []string{"roundrobin", "random", "leastconn", "affinity", "bounded"}

// workload is one load of the routing comparison.
type workload struct {
	name           string
	sessionRate    float64 // new sessions per second
	meanTurns      int
	reportLag      time.Duration
	bursts         bool
	restarts       bool // engine 3 restarts every 20 s
	straggler      bool
	hotPrefixShare float64 // share of sessions with the same prefix
}

var workloads = []workload{
	{name: "steady", sessionRate: 23, meanTurns: meanTurns, reportLag: 100 * time.Millisecond},
	{name: "busy", sessionRate: 28, meanTurns: meanTurns, reportLag: 100 * time.Millisecond},
	{name: "hot-prefix", sessionRate: 20, meanTurns: meanTurns, reportLag: 100 * time.Millisecond, hotPrefixShare: 0.2},
	{name: "long-sessions", sessionRate: 8, meanTurns: 12, reportLag: 100 * time.Millisecond},
	{name: "bursts", sessionRate: 13, meanTurns: meanTurns, reportLag: 100 * time.Millisecond, bursts: true},
	{name: "cold-server", sessionRate: 20, meanTurns: meanTurns, reportLag: 100 * time.Millisecond, restarts: true},
	{name: "straggler", sessionRate: 20, meanTurns: meanTurns, reportLag: 100 * time.Millisecond, straggler: true},
	{name: "lag-1s", sessionRate: 23, meanTurns: meanTurns, reportLag: time.Second},
	{name: "lag-5s", sessionRate: 23, meanTurns: meanTurns, reportLag: 5 * time.Second},
}

// routingResult holds the measurements of one run of the routing comparison.
type routingResult struct {
	firstToken, tokenGap         *hdrhistogram.Histogram // microseconds
	sent, succeeded              int
	cacheHitTokens, promptTokens int
	imbalanceSum                 float64 // sum over the samples of largest batch / mean batch
	samples                      int
	crashes                      int
}

// Routing runs every routing policy on every workload and writes one line per
// run to out. It returns the error of a failed write.
func Routing(out io.Writer) error {
	for _, w := range workloads {
		for _, policy := range routingPolicies {
			r := runWorkload(w, policy, routingSeed)
			if err := r.print(out, w.name, policy); err != nil {
				return err
			}
		}
	}
	return nil
}

func runWorkload(w workload, policy string, seed uint64) *routingResult {
	f := newFleet(fleetConfig{
		policy: policy, seed: seed, frontProxies: 8, engines: 12, dataCentres: 3, reportLag: w.reportLag,
		straggler: w.straggler, sidecar: sidecarMode{slowStart: true, fairShare: true}, retryBudget: true,
		interCentreLatency: interCentreLatency, clientLatency: clientLatency,
	})
	r := &routingResult{
		firstToken: hdrhistogram.New(1, histogramMaxMicros, 3),
		tokenGap:   hdrhistogram.New(1, histogramMaxMicros, 3),
	}
	l := &loadGenerator{
		fleet: f, rng: rand.New(rand.NewPCG(seed, 13)), until: routingDuration, meanTurns: w.meanTurns, timeout: callTimeout,
		rate:    func(now time.Duration) float64 { return w.sessionRate * w.rateFactor(now) },
		pickOrg: randomOrganisation, onOutcome: r.recordOutcome,
		onNextToken: func(d time.Duration) { _ = r.tokenGap.RecordValue(d.Microseconds()) },
	}
	if w.hotPrefixShare > 0 {
		l.hotPrefixShare = w.hotPrefixShare
	}
	l.scheduleSession()
	if w.restarts {
		f.clock.every(20*time.Second, func() { f.engines[3].restart() })
	}
	f.clock.every(100*time.Millisecond, func() { r.sampleImbalance(f) })
	f.clock.run(routingDuration + 2*callTimeout)
	for _, e := range f.engines {
		r.cacheHitTokens += e.cacheHitTokens
		r.promptTokens += e.promptTokens
		r.crashes += e.crashes
	}
	return r
}

// rateFactor returns the factor on the session rate: 3 in the first 2 s of every
// 10 s of a workload with bursts, 1 otherwise.
func (w *workload) rateFactor(now time.Duration) float64 {
	if w.bursts && now%(10*time.Second) < 2*time.Second {
		return 3
	}
	return 1
}

func (r *routingResult) recordOutcome(c *call, err *api.Error) {
	if c.sentAt < routingWarmUp {
		return
	}
	r.sent++
	if err != nil {
		_ = r.firstToken.RecordValue(callTimeout.Microseconds())
		return
	}
	_ = r.firstToken.RecordValue(c.firstToken.Microseconds())
	r.succeeded++
}

func (r *routingResult) sampleImbalance(f *fleet) {
	largest, sum := 0, 0
	for _, e := range f.engines {
		largest = max(largest, len(e.batch))
		sum += len(e.batch)
	}
	if f.clock.now > routingDuration || sum == 0 {
		return
	}
	r.imbalanceSum += float64(largest) * float64(len(f.engines)) / float64(sum)
	r.samples++
}

func (r *routingResult) print(out io.Writer, load, policy string) error {
	// falls is the output name of the crashes.
	_, err := fmt.Fprintf(out, "measure=routing policy=%s load=%s requests=%d first_p50_ms=%.0f first_p95_ms=%.0f"+
		" first_p99_ms=%.0f gap_p50_ms=%.1f gap_p95_ms=%.1f gap_p99_ms=%.1f cache_hits=%.3f goodput=%.4f imbalance=%.2f falls=%d\n",
		policy, load, r.sent, quantileMillis(r.firstToken, 50), quantileMillis(r.firstToken, 95), quantileMillis(r.firstToken, 99),
		quantileMillis(r.tokenGap, 50), quantileMillis(r.tokenGap, 95), quantileMillis(r.tokenGap, 99),
		float64(r.cacheHitTokens)/float64(r.promptTokens), float64(r.succeeded)/float64(r.sent), r.imbalanceSum/float64(r.samples), r.crashes)
	return err
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
