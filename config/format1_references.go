package config

import (
	"fmt"
	"slices"
	"strconv"
)

// checkReferences checks the rules that span several sections: references to
// other sections by name, and combinations of values.
func (f *format1) checkReferences() {
	f.checkRequiredSections()
	f.checkBackends()
	f.checkRoutes()
	f.checkGroups()
}

// checkRequiredSections reports the kinds of sections that are required and missing.
func (f *format1) checkRequiredSections() {
	needed := []struct {
		kind  string
		count int
	}{
		{"data-centre", len(f.doc.DataCentres)},
		{"backend-server", len(f.doc.Backends)},
		{"organisation", len(f.doc.Organisations)},
		{"route", len(f.doc.Routes)},
	}
	for _, n := range needed {
		if n.count == 0 {
			f.c.addProblem("", "", "", fmt.Sprintf("at least one section [%s NAME]", n.kind))
		}
	}
}

func (f *format1) checkBackends() {
	centres := map[string]bool{}
	for _, dc := range f.doc.DataCentres {
		centres[dc.Name] = true
	}
	groups := map[string]bool{}
	for _, g := range f.doc.Groups {
		groups[g.Name] = true
	}
	kinds := map[string]Kind{}
	for _, b := range f.doc.Backends {
		title := "backend-server " + b.Name
		if b.DataCentre != "" && !centres[b.DataCentre] {
			f.c.addProblem(title, "data-centre", b.DataCentre, "the name of a [data-centre NAME] section")
		}
		if b.Group != "" && !groups[b.Group] {
			f.c.addProblem(title, "group", b.Group, "the name of a [group NAME] section")
		}
		if kind, ok := kinds[b.Pool]; ok && kind != b.Kind {
			f.c.addProblem(title, "pool", b.Pool, "a pool whose backend servers are all of one kind; others have kind = "+string(kind))
		} else {
			kinds[b.Pool] = b.Kind
		}
		if b.MaxRunning > 0 && b.MaxRunning < f.doc.Limits.ColdStartLimit {
			f.c.addProblem(title, "max-running", strconv.Itoa(b.MaxRunning), "at least cold-start of [limits]")
		}
	}
}

func (f *format1) checkRoutes() {
	kinds := map[string]Kind{}
	for _, b := range f.doc.Backends {
		kinds[b.Pool] = b.Kind
	}
	paths := map[string]string{}
	for _, r := range f.doc.Routes {
		title := "route " + r.Name
		kind, ok := kinds[r.Pool]
		if r.Pool != "" && !ok {
			f.c.addProblem(title, "pool", r.Pool, "the pool of a [backend-server NAME] section")
		}
		if ok && r.Streaming && kind != KindEngine {
			f.c.addProblem(title, "streaming", "yes", "a pool of model engines on a streaming route")
		}
		if other, twice := paths[r.Path]; twice && r.Path != "" {
			f.c.addProblem(title, "path", r.Path, "a path other than that of route "+other)
		}
		paths[r.Path] = r.Name
	}
}

// checkGroups checks that every group has exactly one backend server for each
// rank, all in one pool and all serving the model of the group.
func (f *format1) checkGroups() {
	for _, g := range f.doc.Groups {
		f.checkRanks(g)
	}
}

func (f *format1) checkRanks(g Group) {
	ranks := map[int]string{}
	pool := ""
	for _, b := range f.doc.Backends {
		if b.Group != g.Name {
			continue
		}
		title := "backend-server " + b.Name
		if b.Rank >= g.Ranks {
			f.c.addProblem(title, "rank", strconv.Itoa(b.Rank), fmt.Sprintf("a rank below %d, the number of ranks of its group", g.Ranks))
		}
		if other, twice := ranks[b.Rank]; twice {
			f.c.addProblem(title, "rank", strconv.Itoa(b.Rank), "a rank other than that of backend server "+other)
		}
		ranks[b.Rank] = b.Name
		if pool != "" && b.Pool != pool {
			f.c.addProblem(title, "pool", b.Pool, "the pool of the other ranks, "+pool)
		}
		pool = b.Pool
		if g.Model != "" && !slices.Contains(b.Models, g.Model) {
			f.c.addProblem(title, "models", "", "the model of its group, "+g.Model)
		}
	}
	for rank := range g.Ranks {
		if ranks[rank] == "" {
			f.c.addProblem("group "+g.Name, "ranks", strconv.Itoa(g.Ranks), fmt.Sprintf("a backend server with rank = %d", rank))
		}
	}
}
