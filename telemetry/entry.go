package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/api"
)

// ClaimResult is the fate of one claim of a call that may not repeat.
type ClaimResult string

// Fates of a claim.
const (
	ClaimWon     ClaimResult = "won"
	ClaimLost    ClaimResult = "lost"    // another claim of the key was first
	ClaimRefused ClaimResult = "refused" // the log service did not take it
	ClaimUnknown ClaimResult = "unknown" // its append was given up with its fate unknown
)

var claimResults = []ClaimResult{ClaimWon, ClaimLost, ClaimRefused, ClaimUnknown}

// EntryMetrics are the metrics of an entry. Methods may be called by any goroutine.
type EntryMetrics struct {
	requests     codeCounter
	attempts     codeCounter
	answer       prometheus.Histogram
	firstToken   prometheus.Histogram
	between      prometheus.Histogram
	perRequest   prometheus.Histogram
	retries      prometheus.Counter
	unresolved   prometheus.Counter
	inFlight     prometheus.Gauge
	connections  prometheus.Gauge
	configOffset prometheus.Gauge
	current      prometheus.Gauge
	claims       map[ClaimResult]prometheus.Counter
}

// NewEntryMetrics registers the metrics of an entry.
func NewEntryMetrics(r prometheus.Registerer) *EntryMetrics {
	b := builder{r: r, subsystem: "entry"}
	return &EntryMetrics{
		requests:     b.codes("requests_total", "Requests answered, by result code."),
		attempts:     b.codes("attempts_total", "Attempts ended, by result code."),
		answer:       b.histogram("answer_seconds", "Time to the whole answer.", answerBuckets),
		firstToken:   b.histogram("first_token_seconds", "Time to the first part of a streamed answer.", firstBuckets),
		between:      b.histogram("between_tokens_seconds", "Time between parts of a streamed answer.", betweenBuckets),
		perRequest:   b.histogram("request_attempts", "Attempts made for a request.", attemptBuckets),
		retries:      b.counter("retries_total", "Attempts made after a failed one."),
		unresolved:   b.counter("unresolved_total", "Calls answered with 'may have run'."),
		inFlight:     b.gauge("in_flight", "Requests being served."),
		connections:  b.gauge("side_connections", "Open connections to side processes."),
		configOffset: b.gauge("config_offset", "Offset of the document in force."),
		current:      b.gauge("current", "1 when the process can prove that its configuration is current."),
		claims:       newClaimCounters(r),
	}
}

func newClaimCounters(r prometheus.Registerer) map[ClaimResult]prometheus.Counter {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: "entry", Name: "claims_total", Help: "Claims of calls that may not repeat, by fate.",
	}, []string{"result"})
	r.MustRegister(vec)
	counters := make(map[ClaimResult]prometheus.Counter)
	for _, result := range claimResults {
		counters[result] = vec.WithLabelValues(string(result))
	}
	return counters
}

// RequestBegun counts a request in.
func (m *EntryMetrics) RequestBegun() { m.inFlight.Inc() }

// RequestDone counts a request out with its result, its attempts and the time it took.
func (m *EntryMetrics) RequestDone(code api.Code, attempts int, took time.Duration) {
	m.inFlight.Dec()
	m.requests.add(code)
	if attempts > 0 {
		m.perRequest.Observe(float64(attempts))
	}
	if code == api.OK {
		observe(m.answer, took)
	}
	if code == api.Unresolved {
		m.unresolved.Inc()
	}
}

// AttemptDone counts one attempt by its result.
func (m *EntryMetrics) AttemptDone(code api.Code) { m.attempts.add(code) }

// Retried counts an attempt that follows a failed one.
func (m *EntryMetrics) Retried() { m.retries.Inc() }

// FirstToken records the time from the request to the first part of a streamed answer.
func (m *EntryMetrics) FirstToken(d time.Duration) { observe(m.firstToken, d) }

// BetweenTokens records the time between two parts of a streamed answer.
func (m *EntryMetrics) BetweenTokens(d time.Duration) { observe(m.between, d) }

// Claimed counts a claim by its fate; an unlisted fate counts as unknown.
func (m *EntryMetrics) Claimed(result ClaimResult) {
	counter, ok := m.claims[result]
	if !ok {
		counter = m.claims[ClaimUnknown]
	}
	counter.Inc()
}

// SetConnections shows the number of open connections to side processes.
func (m *EntryMetrics) SetConnections(n int) { m.connections.Set(float64(n)) }

// SetConfig shows the offset of the document in force and whether it is proved current.
func (m *EntryMetrics) SetConfig(offset int64, current bool) {
	m.configOffset.Set(float64(offset))
	m.current.Set(gaugeOf(current))
}
