package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// collector reports the cached state of a gateway at the time of a scrape. The
// number of label sets is bounded by the services and groups of the deployment.
type collector struct{ g *Gateway }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", name), help, labels, nil)
}

var (
	proofAgeDesc = newDesc("proof_age_seconds", "Age of the freshness proof of the cached document.")
	documentDesc = newDesc("document_version", "Version of the cached document.")
	serversDesc  = newDesc("servers", "Backend servers of a service in use, by health as seen by this gateway.", "service", "health")
	limitedDesc  = newDesc("servers_limited", "Backend servers of a service that state a limit of requests per second.", "service")
	restingDesc  = newDesc("servers_resting", "Backend servers of a service that have asked this gateway for rest.", "service")
	runningDesc  = newDesc("streams_running", "Streams running in a group, including those of other gateways.", "service", "group")
	limitDesc    = newDesc("streams_limit", "Maximum number of streams in a group.", "service", "group")
	slowRankDesc = newDesc("servers_slow", "Backend servers of a service that work more slowly than usual or than the others.", "service")
	heldDesc     = newDesc("held_bytes", "Bytes held for callers and servers that read slowly.")
	slowDesc     = newDesc("slow_callers", "Connections of callers for which bytes are held.")
	waitingDesc  = newDesc("streams_waiting", "Requests of a service waiting for admission at this gateway.", "service")
)

// Describe implements prometheus.Collector.
func (c collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{proofAgeDesc, documentDesc, serversDesc, limitedDesc, restingDesc, runningDesc, limitDesc, waitingDesc, heldDesc, slowDesc, slowRankDesc} {
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
	held, slow := c.g.callers.Used()
	gauge(heldDesc, float64(held))
	gauge(slowDesc, float64(slow))
	view := c.g.opts.Cache.View()
	if view.Document != nil {
		gauge(documentDesc, float64(view.Document.Version))
	}
	now := c.g.now()
	for _, s := range c.g.allServices() {
		usable, ejected := s.countHealth(view.Services[s.name], now)
		gauge(serversDesc, float64(usable), s.name, "usable")
		gauge(serversDesc, float64(ejected), s.name, "ejected")
		gauge(limitedDesc, float64(c.g.statements.limited(view.Services[s.name])), s.name)
		gauge(restingDesc, float64(c.g.statements.resting(view.Services[s.name], now)), s.name)
		gauge(slowRankDesc, float64(s.countSlow()), s.name)
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
