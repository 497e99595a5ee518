package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/api"
)

// metricsNamespace begins the name of every metric.
const metricsNamespace = "marjorampitch_gateway"

// maxRoutes bounds the routes that have a label of their own: documents may
// name thousands.
const maxRoutes = 64

// otherRoutes is the label of the routes beyond maxRoutes, and of requests
// without a route.
const otherRoutes = "other"

// metrics are the counters and histograms of a gateway. Label sets are bounded
// by the result codes and maxRoutes.
type metrics struct {
	answers *prometheus.CounterVec
	waited  prometheus.Histogram
	retries prometheus.Counter
	resumes prometheus.Counter
	opened  prometheus.Counter
	first   prometheus.Histogram
	between prometheus.Histogram
	total   prometheus.Histogram

	mu     sync.Mutex // guards routes
	routes map[string]bool
}

// newMetrics registers the metrics.
func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: name, Help: help, Buckets: buckets,
		})
		r.MustRegister(h)
		return h
	}
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "answers_total", Help: "Requests ended, by route and result code.",
		}, []string{"route", "code"}),
		routes: make(map[string]bool),
		waited: histogram("queue_seconds", "Time that a request has waited for a place among the streams.",
			[]float64{.01, .03, .06, .12, .25, .5, 1}),
		retries: counter("retries_total", "Attempts after the first of a request."),
		resumes: counter("resumes_total", "Streams that went on at another backend server."),
		opened:  counter("connections_opened_total", "Connections opened to backend servers."),
		first: histogram("first_event_seconds", "From a request's arrival to the first event of its stream.",
			[]float64{.05, .1, .2, .3, .4, .5, .7, 1, 2, 4}),
		between: histogram("pause_seconds", "Pauses between the events of a stream.",
			[]float64{.02, .04, .06, .08, .1, .12, .15, .2, .5, 1.5}),
		total: histogram("answer_seconds", "From a request's arrival to the end of its answer.",
			[]float64{.01, .03, .1, .3, 1, 2, 4, 8}),
	}
	r.MustRegister(m.answers)
	return m
}

// ended counts one request.
func (m *metrics) ended(route string, code api.Code, took, waited time.Duration) {
	m.answers.WithLabelValues(m.label(route), strconv.Itoa(int(code))).Inc()
	m.total.Observe(took.Seconds())
	if waited > 0 {
		m.waited.Observe(waited.Seconds())
	}
}

// label is the label of a route.
func (m *metrics) label(route string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case route == "" || !m.routes[route] && len(m.routes) >= maxRoutes:
		return otherRoutes
	case !m.routes[route]:
		m.routes[route] = true
	}
	return route
}
