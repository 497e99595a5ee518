package lint

import "marjorampitch/config"

// Document reviews the document of a service that has passed the checks of its format.
func Document(d *config.Document) []Finding {
	r := &documentReview{d: d, pools: make(map[string]*pool)}
	r.findPools()
	r.checkPools()
	r.checkRoutes()
	r.checkRouting()
	return r.found.sorted()
}

// documentReview is the state of one review.
type documentReview struct {
	d         *config.Document
	pools     map[string]*pool
	poolNames []string // in the order of the document
	found     findings
}

// pool sums up the backend servers of a pool.
type pool struct {
	taking bool // a server takes new work
	routed bool // a route names the pool
}

func (r *documentReview) findPools() {
	for i := range r.d.Backends {
		b := &r.d.Backends[i]
		p := r.pools[b.Pool]
		if p == nil {
			p = &pool{}
			r.pools[b.Pool] = p
			r.poolNames = append(r.poolNames, b.Pool)
		}
		dc := r.d.DataCentre(b.DataCentre)
		p.taking = p.taking || !b.Leaving && dc != nil && !dc.Out
	}
	for _, route := range r.d.Routes {
		if p := r.pools[route.Pool]; p != nil {
			p.routed = true
		}
	}
}

func (r *documentReview) checkPools() {
	for _, name := range r.poolNames {
		if !r.pools[name].routed {
			r.found.add(Unreachable, "pool "+name, "no route names it, so its backend servers get no requests")
		}
	}
}

func (r *documentReview) checkRoutes() {
	limits := r.d.Limits
	for _, route := range r.d.Routes {
		entry := "route " + route.Name
		if p := r.pools[route.Pool]; p != nil && !p.taking {
			r.found.add(Contradiction, entry, "all backend servers of pool %s are leaving or in data centres that are out", route.Pool)
		}
		if !route.Idempotent && route.Timeout >= limits.KeyMaxAge {
			r.found.add(Contradiction, entry, "timeout %s is not below key-max-age %s, so that a key may expire while its call runs", route.Timeout, limits.KeyMaxAge)
		}
	}
}

func (r *documentReview) checkRouting() {
	routing := r.d.Routing
	if routing.Candidate == "" {
		return
	}
	switch {
	case routing.Mode == config.ModeOff:
		r.found.add(Unreachable, "routing", "candidate %s is not used, as mode is off", routing.Candidate)
	case routing.Mode == config.ModeShare && routing.Share <= 0:
		r.found.add(Unreachable, "routing", "candidate %s gets a share of 0", routing.Candidate)
	}
}
