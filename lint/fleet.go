package lint

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"marjorampitch/fleet"
)

// Fleet reviews the document of a whole deployment, as gateways load it.
func Fleet(d *fleet.Document) []Finding {
	r := &fleetReview{d: d}
	r.checkRoutes()
	r.checkServices()
	r.checkOrganisations()
	r.checkLimits()
	return r.found.sorted()
}

// fleetReview is the state of one review.
type fleetReview struct {
	d     *fleet.Document
	found findings
}

func (r *fleetReview) checkRoutes() {
	type match struct{ host, prefix string }
	first := make(map[match]string)
	for i := range r.d.Routes {
		route := &r.d.Routes[i]
		entry := "route " + route.Name
		if other, taken := first[match{route.Host, route.Prefix}]; taken {
			r.found.add(Unreachable, entry, "route %s has the same host and prefix %q and goes first", other, route.Prefix)
		} else {
			first[match{route.Host, route.Prefix}] = route.Name
		}
		r.checkMatch(entry, route)
		r.checkSplit(entry, route)
		r.checkTimes(entry, route)
	}
}

// checkMatch checks that requests can match the route.
func (r *fleetReview) checkMatch(entry string, route *fleet.Route) {
	switch {
	case route.Host == "":
		r.found.add(Unreachable, entry, "it names no host")
	case !route.MatchesHost(route.Host):
		r.found.add(Unreachable, entry, "host %q has a port, and requests are matched without it", route.Host)
	}
	switch {
	case route.Prefix == "": // matches all paths
		r.found.add(Invalid, entry, "it has no prefix")
	case !strings.HasPrefix(route.Prefix, "/"):
		r.found.add(Unreachable, entry, "prefix %q does not begin with a slash, as every path does", route.Prefix)
	case !strings.HasSuffix(route.Prefix, "/"):
		r.found.add(Invalid, entry, "prefix %q does not end with a slash", route.Prefix)
	case strings.ContainsAny(route.Prefix, "?#"):
		r.found.add(Unreachable, entry, "prefix %q has characters that no path has", route.Prefix)
	}
}

// checkSplit checks the services that the route sends requests to.
func (r *fleetReview) checkSplit(entry string, route *fleet.Route) {
	for _, s := range route.Split {
		if r.d.Services[s.Service] == nil {
			r.found.add(Invalid, entry, "service %q is not described", s.Service)
		}
		if !(s.Weight >= 0) || math.IsInf(s.Weight, 1) { // NaN, too
			r.found.add(Invalid, entry, "weight %v of service %q is not a positive number", s.Weight, s.Service)
			return
		}
	}
	total := totalWeight(route)
	for _, s := range route.Split {
		switch {
		case total == 0:
			r.found.add(Invalid, entry, "all weights are 0")
			return
		case s.Weight == 0:
			r.found.add(Unreachable, entry, "service %q has weight 0 and gets no requests", s.Service)
		}
	}
}

// totalWeight returns the sum of the weights of a split.
func totalWeight(route *fleet.Route) float64 {
	total := 0.0
	for _, s := range route.Split {
		total += s.Weight
	}
	return total
}

// checkTimes checks the time limits of the route and what may be repeated.
func (r *fleetReview) checkTimes(entry string, route *fleet.Route) {
	for _, t := range []struct {
		name  string
		value time.Duration
	}{{"timeout", route.Timeout}, {"latency objective", route.TargetLatency}, {"objective for gaps", route.TargetGap}} {
		if t.value < 0 {
			r.found.add(Invalid, entry, "the %s is negative", t.name)
		}
	}
	if route.Timeout > 0 && route.TargetLatency > route.Timeout {
		r.found.add(Contradiction, entry, "the latency objective %s exceeds the timeout %s", route.TargetLatency, route.Timeout)
	}
	if route.Timeout > 0 && route.TargetGap > route.Timeout {
		r.found.add(Contradiction, entry, "the objective for gaps %s exceeds the timeout %s", route.TargetGap, route.Timeout)
	}
	if route.Kind != fleet.Stream && route.TargetGap > 0 {
		r.found.add(Unreachable, entry, "the objective for gaps has no effect, as responses are no streams")
	}
	if route.Kind != fleet.Stream && route.Resume {
		r.found.add(Unreachable, entry, "resuming has no effect, as responses are no streams")
	}
	if route.Resume && route.MaxAttempts < 2 {
		r.found.add(Contradiction, entry, "streams may be resumed, but a request may be sent to one backend server only")
	}
	if route.Priority < 0 {
		r.found.add(Invalid, entry, "priority %d is negative", route.Priority)
	}
}

func (r *fleetReview) checkServices() {
	used := make(map[string]bool)
	for i := range r.d.Routes {
		sound := totalWeight(&r.d.Routes[i]) > 0
		for _, s := range r.d.Routes[i].Split {
			used[s.Service] = used[s.Service] || s.Weight > 0 || !sound // gateways send requests, whatever the weights
		}
	}
	services := make([]*fleet.Service, 0, len(r.d.Services))
	for _, s := range r.d.Services {
		services = append(services, s)
	}
	slices.SortFunc(services, func(a, b *fleet.Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range services {
		entry := "service " + s.Name
		if !used[s.Name] {
			r.found.add(Unreachable, entry, "no route sends requests to it")
		}
		if s.MaxConns < 0 || s.ColdPerSecond < 0 {
			r.found.add(Invalid, entry, "a limit is negative")
		}
		if s.Engine != nil {
			r.checkEngine(entry, s)
		}
	}
}

func (r *fleetReview) checkEngine(entry string, s *fleet.Service) {
	e := s.Engine
	if e.Slots <= 0 || e.Step < 0 || e.PerSequence < 0 || e.PerContext < 0 || !(e.PrefillRate >= 0) {
		r.found.add(Invalid, entry, "the engine's slots must be positive, its prefill rate and times not negative")
	}
	if s.MaxConns > 0 && s.MaxConns < e.Slots {
		r.found.add(Contradiction, entry, "a backend server runs %d requests at once, but accepts %d connections", e.Slots, s.MaxConns)
	}
	x := e.Experts
	if x == nil {
		return
	}
	if x.LayerSets <= 0 || x.MaxPerRank <= 0 || x.SparePerRank < 0 || !(x.StepShare >= 0 && x.StepShare <= 1) {
		r.found.add(Invalid, entry, "layer sets and experts of a rank must be positive, spare experts not negative, their share of a step from 0 to 1")
	}
	if x.MaxPerRank > x.PerSet {
		r.found.add(Contradiction, entry, "a rank may hold %d experts of a set, which has %d", x.MaxPerRank, x.PerSet)
	}
}

func (r *fleetReview) checkOrganisations() {
	holder := make(map[string]string) // of a key
	for i := range r.d.Organisations {
		o := &r.d.Organisations[i]
		entry := "organisation " + o.Name
		if len(o.Keys) == 0 {
			r.found.add(Unreachable, entry, "it has no API key")
		}
		for _, key := range o.Keys {
			other, taken := holder[key]
			switch {
			case key == "":
				r.found.add(Unreachable, entry, "an API key is empty")
			case taken && other == o.Name:
				r.found.add(Unreachable, entry, "an API key is given twice")
			case taken:
				r.found.add(Invalid, entry, "organisation %s has the same API key", other)
			}
			holder[key] = o.Name
		}
	}
}

func (r *fleetReview) checkLimits() {
	l := r.d.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		r.found.add(Invalid, "limits", "a limit is negative")
	}
}
