package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/api"
)

// metricsNamespace begins the name of every metric.
const metricsNamespace = "marjorampitch_gateway"

// metrics are the counters and histograms of a gateway. Label sets are bounded
// by the result codes.
type metrics struct {
	answers *prometheus.CounterVec
	retries prometheus.Counter
	resumes prometheus.Counter
	opened  prometheus.Counter
	first   prometheus.Histogram
	between prometheus.Histogram
	total   prometheus.Histogram
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
			Namespace: metricsNamespace, Name: "answers_total", Help: "Requests ended, by result code.",
		}, []string{"code"}),
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
func (m *metrics) ended(code api.Code, took time.Duration) {
	m.answers.WithLabelValues(strconv.Itoa(int(code))).Inc()
	m.total.Observe(took.Seconds())
}
