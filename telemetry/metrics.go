package telemetry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"marjorampitch/api"
)

const namespace = "marjorampitch"

// Upper bounds of histogram buckets, in seconds; those of attemptBuckets are counts.
var (
	answerBuckets       = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 4, 8, 16, 32, 64}
	firstPartBuckets    = []float64{.005, .01, .025, .05, .1, .2, .4, .6, .9, 1.2, 1.6, 2.4, 5, 10}
	betweenPartsBuckets = []float64{.001, .002, .005, .01, .02, .03, .04, .057, .08, .12, .25, .5, 1, 3}
	attemptBuckets      = []float64{1, 2, 3, 4, 6, 8}
)

// NewRegistry returns a registry with the metrics of the Go runtime and of the
// process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return r
}

// codeCounter is a counter by result code. Its label values are those of api.Codes.
type codeCounter struct {
	byCode map[api.Code]prometheus.Counter
}

func newCodeCounter(r prometheus.Registerer, subsystem, name, help string) codeCounter {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: subsystem, Name: name, Help: help,
	}, []string{"code"})
	r.MustRegister(vec)
	c := codeCounter{byCode: make(map[api.Code]prometheus.Counter)}
	for _, code := range api.Codes() {
		c.byCode[code] = vec.WithLabelValues(strconv.Itoa(int(code)))
	}
	return c
}

// add increments the counter of code; an unknown code counts as api.Internal.
func (c codeCounter) add(code api.Code) {
	counter, ok := c.byCode[code]
	if !ok {
		counter = c.byCode[api.Internal]
	}
	counter.Inc()
}

// builder creates and registers the metrics of one subsystem.
type builder struct {
	r         prometheus.Registerer
	subsystem string
}

func (b builder) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: b.subsystem, Name: name, Help: help,
	})
	b.r.MustRegister(c)
	return c
}

func (b builder) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Subsystem: b.subsystem, Name: name, Help: help,
	})
	b.r.MustRegister(g)
	return g
}

func (b builder) histogram(name, help string, buckets []float64) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: b.subsystem, Name: name, Help: help, Buckets: buckets,
	})
	b.r.MustRegister(h)
	return h
}

func (b builder) codes(name, help string) codeCounter {
	return newCodeCounter(b.r, b.subsystem, name, help)
}

// observe records d in seconds.
func observe(h prometheus.Histogram, d time.Duration) {
	h.Observe(d.Seconds())
}

// boolValue returns the gauge value of a boolean: 1 for true, 0 for false.
func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
