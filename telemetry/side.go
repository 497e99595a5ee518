package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/api"
)

// SideMetrics are the metrics of a side process. Methods may be called by any goroutine.
type SideMetrics struct {
	refusals     codeCounter
	results      codeCounter
	answer       prometheus.Histogram
	firstByte    prometheus.Histogram
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

// NewSideMetrics registers the metrics of a side process.
func NewSideMetrics(r prometheus.Registerer) *SideMetrics {
	b := builder{r: r, subsystem: "side"}
	return &SideMetrics{
		refusals:     b.codes("refusals_total", "Attempts refused without having run, by result code."),
		results:      b.codes("results_total", "Admitted attempts ended, by result code."),
		answer:       b.histogram("answer_seconds", "Time from admission to the backend server's whole answer.", answerBuckets),
		firstByte:    b.histogram("first_part_seconds", "Time from admission to the first part of the answer.", firstBuckets),
		inFlight:     b.gauge("in_flight", "Attempts being run."),
		limit:        b.gauge("limit", "Attempts admitted at once."),
		cold:         b.gauge("cold", "1 while the backend server is held to be in cold start."),
		keys:         b.gauge("keys", "Idempotency keys in the table."),
		sealed:       b.counter("sealed_total", "Keys marked never to run."),
		crashes:      b.counter("crashes_total", "Crashes of the backend server seen."),
		orders:       b.codes("orders_total", "Orders answered, by result code."),
		configOffset: b.gauge("config_offset", "Offset of the document in force."),
		current:      b.gauge("current", "1 when the process can prove that its configuration is current."),
	}
}

// Refused counts an attempt that was not admitted.
func (m *SideMetrics) Refused(code api.Code) { m.refusals.add(code) }

// Admitted counts an attempt in.
func (m *SideMetrics) Admitted() { m.inFlight.Inc() }

// Done counts an admitted attempt out with its result and the time it took.
func (m *SideMetrics) Done(code api.Code, took time.Duration) {
	m.inFlight.Dec()
	m.results.add(code)
	if code == api.OK {
		observe(m.answer, took)
	}
}

// FirstPart records the time from admission to the first part of the answer.
func (m *SideMetrics) FirstPart(d time.Duration) { observe(m.firstByte, d) }

// SetLimit shows the attempts admitted at once and whether the backend server is cold.
func (m *SideMetrics) SetLimit(limit int, cold bool) {
	m.limit.Set(float64(limit))
	m.cold.Set(gaugeOf(cold))
}

// SetKeys shows the number of idempotency keys in the table.
func (m *SideMetrics) SetKeys(n int) { m.keys.Set(float64(n)) }

// Sealed counts a key marked never to run.
func (m *SideMetrics) Sealed() { m.sealed.Inc() }

// Crashed counts a crash of the backend server.
func (m *SideMetrics) Crashed() { m.crashes.Inc() }

// OrderDone counts an order by its result.
func (m *SideMetrics) OrderDone(code api.Code) { m.orders.add(code) }

// SetConfig shows the offset of the document in force and whether it is proved current.
func (m *SideMetrics) SetConfig(offset int64, current bool) {
	m.configOffset.Set(float64(offset))
	m.current.Set(gaugeOf(current))
}
