package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/api"
)

// ClaimResult classifies how a call that must not run twice ended. It is recorded
// once per call, also if the call made several claims.
type ClaimResult string

// Values of ClaimResult.
const (
	ClaimWon     ClaimResult = "won"     // answered by a run under the call's own claim
	ClaimLost    ClaimResult = "lost"    // answered by a run under another call's claim of the key
	ClaimRefused ClaimResult = "refused" // ended with an error that says that the call did not run
	ClaimUnknown ClaimResult = "unknown" // ended with any other error: the call ran or may have run
)

var claimResults = []ClaimResult{ClaimWon, ClaimLost, ClaimRefused, ClaimUnknown}

// EntryMetrics are the metrics of a front proxy. Its methods may be called by any
// goroutine.
type EntryMetrics struct {
	requests           codeCounter
	attempts           codeCounter
	answer             prometheus.Histogram
	firstToken         prometheus.Histogram
	betweenTokens      prometheus.Histogram
	attemptsPerRequest prometheus.Histogram
	retries            prometheus.Counter
	unresolved         prometheus.Counter
	inFlight           prometheus.Gauge
	connections        prometheus.Gauge
	configOffset       prometheus.Gauge
	current            prometheus.Gauge
	claims             map[ClaimResult]prometheus.Counter
}

// NewEntryMetrics registers the metrics of a front proxy. It panics if r already has
// them.
func NewEntryMetrics(r prometheus.Registerer) *EntryMetrics {
	b := builder{r: r, subsystem: "entry"}
	return &EntryMetrics{
		requests:           b.codes("requests_total", "Requests answered, by result code."),
		attempts:           b.codes("attempts_total", "Attempts ended, by result code."),
		answer:             b.histogram("answer_seconds", "Time from the request to the complete answer.", answerBuckets),
		firstToken:         b.histogram("first_token_seconds", "Time from the request to the first part of a streamed answer.", firstPartBuckets),
		betweenTokens:      b.histogram("between_tokens_seconds", "Time between parts of a streamed answer.", betweenPartsBuckets),
		attemptsPerRequest: b.histogram("request_attempts", "Attempts per request.", attemptBuckets),
		retries:            b.counter("retries_total", "Attempts that followed a failed attempt."),
		unresolved:         b.counter("unresolved_total", "Calls answered with result code unresolved: they may have run."),
		inFlight:           b.gauge("in_flight", "Requests in progress."),
		connections:        b.gauge("side_connections", "Open connections to sidecars."),
		configOffset:       b.gauge("config_offset", "Offset of the service configuration in force."),
		current:            b.gauge("current", "1 if the process can prove that its service configuration is current."),
		claims:             newClaimCounters(r),
	}
}

func newClaimCounters(r prometheus.Registerer) map[ClaimResult]prometheus.Counter {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: "entry", Name: "claims_total", Help: "Calls that must not run twice, by the result of their claims.",
	}, []string{"result"})
	r.MustRegister(vec)
	counters := make(map[ClaimResult]prometheus.Counter)
	for _, result := range claimResults {
		counters[result] = vec.WithLabelValues(string(result))
	}
	return counters
}

// RequestBegun records the start of a request.
func (m *EntryMetrics) RequestBegun() { m.inFlight.Inc() }

// RequestDone records the end of a request: its result, number of attempts and
// duration.
func (m *EntryMetrics) RequestDone(code api.Code, attempts int, duration time.Duration) {
	m.inFlight.Dec()
	m.requests.add(code)
	if attempts > 0 {
		m.attemptsPerRequest.Observe(float64(attempts))
	}
	if code == api.OK {
		observe(m.answer, duration)
	}
	if code == api.Unresolved {
		m.unresolved.Inc()
	}
}

// AttemptDone counts an attempt by its result.
func (m *EntryMetrics) AttemptDone(code api.Code) { m.attempts.add(code) }

// Retried counts an attempt that follows a failed attempt.
func (m *EntryMetrics) Retried() { m.retries.Inc() }

// FirstToken records the time from the request to the first part of a streamed
// answer.
func (m *EntryMetrics) FirstToken(d time.Duration) { observe(m.firstToken, d) }

// BetweenTokens records the time between two parts of a streamed answer.
func (m *EntryMetrics) BetweenTokens(d time.Duration) { observe(m.betweenTokens, d) }

// Claimed counts a call by the result of its claims; an undefined result counts as
// ClaimUnknown.
func (m *EntryMetrics) Claimed(result ClaimResult) {
	counter, ok := m.claims[result]
	if !ok {
		counter = m.claims[ClaimUnknown]
	}
	counter.Inc()
}

// SetConnections sets the number of open connections to sidecars.
func (m *EntryMetrics) SetConnections(n int) { m.connections.Set(float64(n)) }

// SetConfig sets the offset of the service configuration in force and whether it is
// proved current.
func (m *EntryMetrics) SetConfig(offset int64, current bool) {
	m.configOffset.Set(float64(offset))
	m.current.Set(boolValue(current))
}
