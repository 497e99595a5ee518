package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/api"
)

// SideMetrics are the metrics of a sidecar. Its methods may be called by any
// goroutine.
type SideMetrics struct {
	refusals     codeCounter
	results      codeCounter
	answer       prometheus.Histogram
	firstPart    prometheus.Histogram
	inFlight     prometheus.Gauge
	limit        prometheus.Gauge
	cold         prometheus.Gauge
	keys         prometheus.Gauge
	sealed       prometheus.Counter
	crashes      prometheus.Counter
	orders       codeCounter
	configOffset prometheus.Gauge
	current      prometheus.Gauge
}

// NewSideMetrics registers the metrics of a sidecar. It panics if r already has
// them.
func NewSideMetrics(r prometheus.Registerer) *SideMetrics {
	b := builder{r: r, subsystem: "side"}
	return &SideMetrics{
		refusals:     b.codes("refusals_total", "Attempts refused without running, by result code."),
		results:      b.codes("results_total", "Admitted attempts ended, by result code."),
		answer:       b.histogram("answer_seconds", "Time from admission to the complete answer of the backend server.", answerBuckets),
		firstPart:    b.histogram("first_part_seconds", "Time from admission to the first part of the answer.", firstPartBuckets),
		inFlight:     b.gauge("in_flight", "Attempts in progress."),
		limit:        b.gauge("limit", "Maximum number of concurrent attempts."),
		cold:         b.gauge("cold", "1 while the backend server is considered to be in cold start."),
		keys:         b.gauge("keys", "Idempotency keys whose state the sidecar keeps."),
		sealed:       b.counter("sealed_total", "Idempotency keys sealed, so that no request with them runs."),
		crashes:      b.counter("crashes_total", "Detected crashes of the backend server."),
		orders:       b.codes("orders_total", "Rank orders answered, by result code."),
		configOffset: b.gauge("config_offset", "Offset of the service configuration in force."),
		current:      b.gauge("current", "1 if the process can prove that its service configuration is current."),
	}
}

// Refused counts an attempt that was not admitted.
func (m *SideMetrics) Refused(code api.Code) { m.refusals.add(code) }

// Admitted records the start of an admitted attempt.
func (m *SideMetrics) Admitted() { m.inFlight.Inc() }

// Done records the end of an admitted attempt: its result and duration.
func (m *SideMetrics) Done(code api.Code, duration time.Duration) {
	m.inFlight.Dec()
	m.results.add(code)
	if code == api.OK {
		observe(m.answer, duration)
	}
}

// FirstPart records the time from admission to the first part of the answer.
func (m *SideMetrics) FirstPart(d time.Duration) { observe(m.firstPart, d) }

// SetLimit sets the maximum number of concurrent attempts and whether the backend
// server is in cold start.
func (m *SideMetrics) SetLimit(limit int, cold bool) {
	m.limit.Set(float64(limit))
	m.cold.Set(boolValue(cold))
}

// SetKeys sets the number of idempotency keys in the table.
func (m *SideMetrics) SetKeys(n int) { m.keys.Set(float64(n)) }

// Sealed counts an idempotency key sealed.
func (m *SideMetrics) Sealed() { m.sealed.Inc() }

// Crashed counts a detected crash of the backend server.
func (m *SideMetrics) Crashed() { m.crashes.Inc() }

// OrderDone counts a rank order by its result.
func (m *SideMetrics) OrderDone(code api.Code) { m.orders.add(code) }

// SetConfig sets the offset of the service configuration in force and whether it is
// proved current.
func (m *SideMetrics) SetConfig(offset int64, current bool) {
	m.configOffset.Set(float64(offset))
	m.current.Set(boolValue(current))
}
