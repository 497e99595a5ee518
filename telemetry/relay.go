package telemetry

import "github.com/prometheus/client_golang/prometheus"

// RelayMetrics are the metrics of reads of the store through another gateway. Its
// methods may be called by any goroutine.
type RelayMetrics struct {
	requests *prometheus.CounterVec
}

// NewRelayMetrics registers the metrics. It panics if r already has them.
func NewRelayMetrics(r prometheus.Registerer) *RelayMetrics {
	m := &RelayMetrics{requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: "relay", Name: "requests_total",
		Help: "Requests to other gateways for records of the platform's store, by topic and outcome. Each one answered saves a call to the store.",
	}, []string{"topic", "outcome"})}
	r.MustRegister(m.requests)
	return m
}

// Request records one request. topic and outcome become label values, so each must be
// one of a small fixed set.
func (m *RelayMetrics) Request(topic, outcome string) {
	m.requests.WithLabelValues(topic, outcome).Inc()
}
