package rebalance

import (
	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/remap"
)

// metrics holds the metrics of a rebalancer. The number of label sets is bounded by
// the kinds and results of orders.
type metrics struct {
	version      prometheus.Gauge
	step         prometheus.Gauge
	open         prometheus.Gauge
	coordinating prometheus.Gauge
	skew         prometheus.Gauge
	switched     prometheus.Counter
	abandoned    prometheus.Counter
	orders       *prometheus.CounterVec
	passHeld     prometheus.Gauge
	switchTime   *prometheus.CounterVec
	switchHeld   *prometheus.CounterVec
}

// newMetrics returns the metrics, registered with r unless r is nil.
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
	byOutcome := func(name, help string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, []string{"outcome"})
		all = append(all, c)
		return c
	}
	m := &metrics{
		version:      gauge("map_version", "Version of the expert map in force at the rank."),
		step:         gauge("pass", "Last pass that the engine reported as begun."),
		open:         gauge("group_open", "1 while the rank's group makes passes, else 0."),
		coordinating: gauge("coordinator", "1 while this process coordinates the group, else 0."),
		skew:         gauge("map_skew", "Load of the most loaded rank, times its slowness, relative to the mean load, averaged over the sets, as the coordinator estimates it."),
		switched:     counter("switches_total", "Map switches that this process has completed as coordinator."),
		abandoned:    counter("switches_abandoned_total", "Map switches that this process has abandoned or cancelled as coordinator."),
		passHeld:     gauge("pass_held_seconds", "Time for which the rank's engine has been ordered to hold a pass; 0 if it holds none."),
		switchTime:   byOutcome("switch_seconds_total", "Time that ended map switches took, by outcome, as coordinator."),
		switchHeld:   byOutcome("switch_held_seconds_total", "Time for which map switches kept the group from its next pass, by outcome, as coordinator."),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "orders_total", Help: "Orders sent to engines, by kind and result.",
		}, []string{"order", "result"}),
	}
	if r != nil {
		r.MustRegister(append(all, m.orders)...)
	}
	return m
}

// setEngine records the state of the engine of this process's rank.
func (m *metrics) setEngine(e *remap.EngineState) {
	m.version.Set(float64(e.Map))
	m.step.Set(float64(e.Step))
	m.open.Set(boolValue(e.Open))
}

// setCoordinator records whether this process coordinates the group. switched and
// abandoned are the switches counted since the last call.
func (m *metrics) setCoordinator(coordinating bool, switched, abandoned int) {
	m.coordinating.Set(boolValue(coordinating))
	m.switched.Add(float64(switched))
	m.abandoned.Add(float64(abandoned))
}

// boolValue returns 1 for true and 0 for false.
func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
