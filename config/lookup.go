package config

import "strings"

// index maps names to sections, and paths to routes. It is built once, on first use.
type index struct {
	dataCentres   map[string]*DataCentre
	backends      map[string]*Backend
	organisations map[string]*Organisation
	groups        map[string]*Group
	exact         map[string]*Route // by path
	prefixes      []*Route          // routes whose path ends in "/"
	models        map[poolModel]bool
}

func (d *Document) lookup() *index {
	d.once.Do(func() {
		d.index = d.buildIndex()
	})
	return d.index
}

func (d *Document) buildIndex() *index {
	x := &index{
		dataCentres:   make(map[string]*DataCentre, len(d.DataCentres)),
		backends:      make(map[string]*Backend, len(d.Backends)),
		organisations: make(map[string]*Organisation, len(d.Organisations)),
		groups:        make(map[string]*Group, len(d.Groups)),
		exact:         make(map[string]*Route, len(d.Routes)),
		models:        make(map[poolModel]bool),
	}
	for i := range d.DataCentres {
		x.dataCentres[d.DataCentres[i].Name] = &d.DataCentres[i]
	}
	for i := range d.Backends {
		x.addBackend(&d.Backends[i])
	}
	for i := range d.Organisations {
		x.organisations[d.Organisations[i].Name] = &d.Organisations[i]
	}
	for i := range d.Groups {
		x.groups[d.Groups[i].Name] = &d.Groups[i]
	}
	for i := range d.Routes {
		x.addRoute(&d.Routes[i])
	}
	return x
}

func (x *index) addBackend(b *Backend) {
	x.backends[b.Name] = b
	for _, model := range b.Models {
		x.models[poolModel{b.Pool, model}] = true
	}
}

func (x *index) addRoute(r *Route) {
	if strings.HasSuffix(r.Path, "/") {
		x.prefixes = append(x.prefixes, r)
		return
	}
	x.exact[r.Path] = r
}

// DataCentre returns the data centre with this name, or nil.
func (d *Document) DataCentre(name string) *DataCentre {
	return d.lookup().dataCentres[name]
}

// Backend returns the backend server with this name, or nil.
func (d *Document) Backend(name string) *Backend {
	return d.lookup().backends[name]
}

// Organisation returns the organisation with this name, or nil.
func (d *Document) Organisation(name string) *Organisation {
	return d.lookup().organisations[name]
}

// Group returns the group with this name, or nil.
func (d *Document) Group(name string) *Group {
	return d.lookup().groups[name]
}

// Route returns the route for a path without its query: the route with exactly
// this path, else the route with the longest matching prefix, else nil.
func (d *Document) Route(path string) *Route {
	x := d.lookup()
	if r := x.exact[path]; r != nil {
		return r
	}
	var best *Route
	for _, r := range x.prefixes {
		if strings.HasPrefix(path, r.Path) && (best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best
}

// Serves reports whether a backend server of the pool serves the model.
func (d *Document) Serves(pool, model string) bool {
	return d.lookup().models[poolModel{pool, model}]
}

// poolModel identifies a model served by a pool.
type poolModel struct {
	pool, model string
}
