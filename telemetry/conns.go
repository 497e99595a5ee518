package telemetry

import "github.com/prometheus/client_golang/prometheus"

// NewYieldCounter registers the counter of callers' connections that were ended, or not
// accepted, in favour of others or because of a limit. It returns the function that counts
// one by its cause.
func NewYieldCounter(r prometheus.Registerer) func(cause string) {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "connections_yielded_total",
		Help: "Connections of callers that were ended, or not accepted, in favour of others or because of a limit, by cause.",
	}, []string{"cause"})
	r.MustRegister(c)
	return func(cause string) { c.WithLabelValues(cause).Inc() }
}
