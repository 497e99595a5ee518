package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// collector tells what a gateway believes when it is asked, so that nothing is
// kept up to date between two questions. Label sets are bounded by the services
// and groups of the deployment.
type collector struct{ g *Gateway }

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", name), help, labels, nil)
}

var (
	proofAgeDesc = describe("proof_age_seconds", "Age of the proof that the document in force is the newest.")
	documentDesc = describe("document_version", "Version of the document in force.")
	serversDesc  = describe("servers", "Backend servers of a service that may get work, by own judgement of their health.", "service", "health")
	runningDesc  = describe("streams_running", "Streams that run in a group, those of other gateways included.", "service", "group")
	limitDesc    = describe("streams_limit", "Streams that may run in a group.", "service", "group")
	waitingDesc  = describe("streams_waiting", "Requests that wait for a place among the streams of a service here.", "service")
)

// Describe implements prometheus.Collector.
func (c collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{proofAgeDesc, documentDesc, serversDesc, runningDesc, limitDesc, waitingDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	if age, ok := c.g.proofAge(); ok {
		gauge(proofAgeDesc, age.Seconds())
	}
	view := c.g.opts.Cache.View()
	if view.Document != nil {
		gauge(documentDesc, float64(view.Document.Version))
	}
	now := c.g.now()
	for _, s := range c.g.all() {
		usable, ejected := s.healthOf(view.Services[s.name], now)
		gauge(serversDesc, float64(usable), s.name, "usable")
		gauge(serversDesc, float64(ejected), s.name, "ejected")
		list := s.status(now)
		for _, x := range list {
			gauge(runningDesc, float64(x.RunningTotal), s.name, x.Group)
			gauge(limitDesc, x.Limit, s.name, x.Group)
		}
		if len(list) > 0 {
			gauge(waitingDesc, float64(list[0].Waiting), s.name)
		}
	}
}
