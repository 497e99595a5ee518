package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// storeBuckets are bounds in seconds: an answer usually takes some
// milliseconds, a read that waits for a record up to half a minute.
var storeBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 8, 30}

// StoreMetrics are the metrics of the calls to the platform's store. Methods
// may be called by any goroutine.
type StoreMetrics struct {
	calls *prometheus.CounterVec
	took  *prometheus.HistogramVec
}

// NewStoreMetrics registers the metrics.
func NewStoreMetrics(r prometheus.Registerer) *StoreMetrics {
	m := &StoreMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: "store", Name: "calls_total", Help: "Calls to the platform's store, by call and result.",
		}, []string{"call", "result"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: "store", Name: "call_seconds",
			Help: "Time of a call to the platform's store; of a poll with the wait for a record.", Buckets: storeBuckets,
		}, []string{"call"}),
	}
	r.MustRegister(m.calls, m.took)
	return m
}

// Call counts one call. Both names come from small fixed sets.
func (m *StoreMetrics) Call(call, result string, took time.Duration) {
	m.calls.WithLabelValues(call, result).Inc()
	m.took.WithLabelValues(call).Observe(took.Seconds())
}
