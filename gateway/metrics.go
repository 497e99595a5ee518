package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/api"
	"marjorampitch/telemetry"
)

// metricsNamespace is the prefix of all metric names.
const metricsNamespace = "marjorampitch_gateway"

// maxRoutes bounds the number of route label values: a document may have
// thousands of routes.
const maxRoutes = 64

// otherRoutesLabel is the label of routes beyond maxRoutes and of requests
// without a route.
const otherRoutesLabel = "other"

// metrics holds the counters and histograms of a gateway. The number of label
// sets is bounded by the result codes and maxRoutes.
type metrics struct {
	answers          *prometheus.CounterVec
	streams          *prometheus.CounterVec
	queueTime        prometheus.Histogram
	retries          prometheus.Counter
	resumes          prometheus.Counter
	moved            prometheus.Counter
	opened           prometheus.Counter
	idleClosed       prometheus.Counter
	slowCallers      prometheus.Counter
	yielded          func(cause string)
	crashesSuspected prometheus.Counter
	crashesConfirmed prometheus.Counter
	firstEvent       prometheus.Histogram
	eventGap         prometheus.Histogram
	duration         prometheus.Histogram
	outputRatio      prometheus.Histogram

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
		streams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "prioritized_streams_total", Help: "Streams ended, by class of priority and result code, of services with several priorities.",
		}, []string{"class", "code"}),
		yielded: telemetry.NewYieldCounter(r),
		routes:  make(map[string]bool),
		queueTime: histogram("queue_seconds", "Time that a request waited for admission.",
			[]float64{.01, .03, .06, .12, .25, .5, 1}),
		retries:          counter("retries_total", "Attempts after the first of a request."),
		resumes:          counter("resumes_total", "Streams resumed at another backend server."),
		moved:            counter("streams_moved_total", "Streams moved from a rank that held up its group."),
		opened:           counter("connections_opened_total", "Connections opened to backend servers."),
		idleClosed:       counter("idle_connections_closed_total", "Idle connections of callers closed by the gateway."),
		slowCallers:      counter("slow_callers_cut_total", "Connections ended because their callers did not read what was held for them."),
		crashesSuspected: counter("crashes_suspected_total", "Attempts that a backend server broke off before it had begun an answer."),
		crashesConfirmed: counter("crashes_confirmed_total", "Backend servers suspected of a crash that turned out to be gone."),
		firstEvent: histogram("first_event_seconds", "Time from the arrival of a request to the first event of its stream.",
			[]float64{.05, .1, .2, .3, .4, .5, .7, 1, 2, 4}),
		eventGap: histogram("pause_seconds", "Time between two events of a stream.",
			[]float64{.02, .04, .06, .08, .1, .12, .15, .2, .5, 1.5}),
		duration: histogram("answer_seconds", "Time from the arrival of a request to the end of its response.",
			[]float64{.01, .03, .1, .3, 1, 2, 4, 8}),
		outputRatio: histogram("output_ratio", "Output tokens of a stream relative to those expected when it began.",
			[]float64{.25, .5, .7, .85, 1, 1.2, 1.5, 2, 4}),
	}
	r.MustRegister(m.answers, m.streams)
	return m
}

// requestEnded records the end of one request.
func (m *metrics) requestEnded(route string, code api.Code, elapsed, waited time.Duration) {
	m.answers.WithLabelValues(m.routeLabel(route), strconv.Itoa(int(code))).Inc()
	m.duration.Observe(elapsed.Seconds())
	if waited > 0 {
		m.queueTime.Observe(waited.Seconds())
	}
}

// streamEnded records the end of a stream of a service with several priorities.
func (m *metrics) streamEnded(class int, code api.Code) {
	m.streams.WithLabelValues(strconv.Itoa(min(class, lowestServerPriority)), strconv.Itoa(int(code))).Inc()
}

// routeLabel returns the label value of a route.
func (m *metrics) routeLabel(route string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case route == "" || !m.routes[route] && len(m.routes) >= maxRoutes:
		return otherRoutesLabel
	case !m.routes[route]:
		m.routes[route] = true
	}
	return route
}
