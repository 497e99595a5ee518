package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// storeBuckets are upper bounds in seconds: a call usually takes some milliseconds,
// a read that waits for a record up to 30 s.
var storeBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 8, 30}

// StoreMetrics are the metrics of the calls to the platform's store. Its methods may
// be called by any goroutine.
type StoreMetrics struct {
	calls    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewStoreMetrics registers the metrics. It panics if r already has them.
func NewStoreMetrics(r prometheus.Registerer) *StoreMetrics {
	m := &StoreMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: "store", Name: "calls_total", Help: "Calls to the platform's store, by call and result.",
		}, []string{"call", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: "store", Name: "call_seconds",
			Help: "Duration of a call to the platform's store; for a poll, including the wait for a record.", Buckets: storeBuckets,
		}, []string{"call"}),
	}
	r.MustRegister(m.calls, m.duration)
	return m
}

// Call records one call. call and result become label values, so each must be one of
// a small fixed set.
func (m *StoreMetrics) Call(call, result string, duration time.Duration) {
	m.calls.WithLabelValues(call, result).Inc()
	m.duration.WithLabelValues(call).Observe(duration.Seconds())
}
