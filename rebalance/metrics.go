package rebalance

import (
	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/remap"
)

// metrics are the counters and gauges of a rebalancer. Label sets are bounded
// by the kinds and results of orders.
type metrics struct {
	version   prometheus.Gauge
	step      prometheus.Gauge
	open      prometheus.Gauge
	leads     prometheus.Gauge
	skew      prometheus.Gauge
	switched  prometheus.Counter
	abandoned prometheus.Counter
	orders    *prometheus.CounterVec
}

// newMetrics makes the metrics; they are registered unless r is nil.
func newMetrics(r prometheus.Registerer) *metrics {
	const namespace, subsystem = "marjorampitch", "rebalancer"
	var all []prometheus.Collector
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
		all = append(all, g)
		return g
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
		all = append(all, c)
		return c
	}
	m := &metrics{
		version:   gauge("map_version", "Version of the expert map in force at the rank."),
		step:      gauge("pass", "Last pass that the engine reported to have begun."),
		open:      gauge("group_open", "1 while the rank's group makes passes."),
		leads:     gauge("coordinator", "1 while this process coordinates the group."),
		skew:      gauge("map_skew", "Load of the most loaded rank relative to the mean, averaged over the sets, as the coordinator estimates it."),
		switched:  counter("switches_total", "Expert maps that this coordinator has put in force."),
		abandoned: counter("switches_abandoned_total", "Switches that this coordinator has given up or cancelled."),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "orders_total", Help: "Orders given to engines, by kind and result.",
		}, []string{"order", "result"}),
	}
	if r != nil {
		r.MustRegister(append(all, m.orders)...)
	}
	return m
}

// engine takes a report of the own engine.
func (m *metrics) engine(e *remap.EngineState) {
	m.version.Set(float64(e.Map))
	m.step.Set(float64(e.Step))
	m.open.Set(flag(e.Open))
}

// coordinator takes the state of the coordinator; nil for a process that is not
// in office. switched and abandoned are what it has counted since the last call.
func (m *metrics) coordinator(leads bool, switched, abandoned int) {
	m.leads.Set(flag(leads))
	m.switched.Add(float64(switched))
	m.abandoned.Add(float64(abandoned))
}

func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
