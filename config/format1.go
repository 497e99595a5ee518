package config

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of values in format 1 (f1).
const (
	f1MaxRunning    = 100_000
	f1MaxWeight     = 1_000_000
	f1MaxRanks      = 1024
	f1MaxExperts    = 4096
	f1MaxLayers     = 1024
	f1MaxSlots      = 4096
	f1MaxSubset     = 10_000
	f1MaxWeightRate = 1_000_000_000_000 // bytes per second
	f1MaxTimeout    = 10 * time.Minute
	f1MinTimeout    = 10 * time.Millisecond
	f1MaxMargin     = 1000
	f1MaxP95Ratio   = 100
	f1MaxCrashLimit = 10
	f1MinKeyAge     = time.Minute
	f1MaxKeyAge     = 7 * 24 * time.Hour
	f1MinFreshFor   = 2 * time.Second
	f1MaxFreshFor   = time.Minute
)

// Defaults of optional keys in format 1 (f1).
const (
	f1DefaultTimeout     = 30 * time.Second
	f1DefaultErrorRate   = 0.05
	f1DefaultP95Ratio    = 2.0
	f1DefaultHorizon     = 10 * time.Minute
	f1DefaultMargin      = 1.5
	f1DefaultColdStart   = 2
	f1DefaultRetryBudget = 0.1
	f1DefaultKeyAge      = time.Hour
	f1DefaultFreshFor    = 5 * time.Second
	f1DefaultCrashLimit  = 2
)

// format1 parses a document of format 1.
type format1 struct {
	c   *checker
	doc *Document
}

func parseFormat1(c *checker) *Document {
	f := &format1{c: c, doc: &Document{}}
	singles := map[string]func(*section){
		"service":   f.service,
		"routing":   f.routing,
		"placement": f.placement,
		"limits":    f.limits,
	}
	named := map[string]func(*section){
		"data-centre":    f.dataCentre,
		"backend-server": f.backend,
		"organisation":   f.organisation,
		"route":          f.route,
		"group":          f.group,
	}
	keys := map[string]string{}
	for _, raw := range c.sections() {
		s := c.openSection(raw, keys)
		kind, _, _ := strings.Cut(s.title, " ")
		switch read, readNamed := singles[s.title], named[kind]; {
		case read != nil:
			read(s)
			s.reportUnknownKeys()
			delete(singles, s.title)
		case readNamed != nil:
			f.checkName(s)
			readNamed(s)
			s.reportUnknownKeys()
		default:
			c.addProblem(s.title, "", s.title, "a known section: service, data-centre NAME, backend-server NAME, organisation NAME, route NAME, group NAME, routing, placement, limits")
		}
	}
	for _, title := range slices.Sorted(maps.Keys(singles)) {
		singles[title](c.emptySection(title))
	}
	f.checkReferences()
	return f.doc
}

func (f *format1) checkName(s *section) {
	if !namePattern.MatchString(s.name) {
		f.c.addProblem(s.title, "", s.title, "[kind NAME] with "+wantName)
	}
}

func (f *format1) service(s *section) {
	f.doc.Service.Name = s.ident("name", required)
	f.doc.Service.Format = s.integer("format", required, 1, 1, 1)
}

func (f *format1) dataCentre(s *section) {
	f.doc.DataCentres = append(f.doc.DataCentres, DataCentre{
		Name:   s.name,
		Region: s.ident("region", required),
		Out:    s.choice("state", optional, "in", "out") == "out",
	})
}

func (f *format1) backend(s *section) {
	b := Backend{
		Name:       s.name,
		DataCentre: s.ident("data-centre", required),
		Kind:       Kind(s.choice("kind", required, string(KindEngine), string(KindPlain))),
		Pool:       s.ident("pool", required),
		Leaving:    s.choice("state", optional, "in", "leaving") == "leaving",
		MaxRunning: s.integer("max-running", required, 0, 1, f1MaxRunning),
	}
	if b.Kind == KindEngine {
		b.Models = s.list("models", required, modelPattern, wantModel)
		b.ChecksFencing = s.choice("fencing", optional, "unchecked", "checked") == "checked"
		b.Group = s.ident("group", optional)
	}
	if b.Group != "" {
		b.Rank = s.integer("rank", required, 0, 0, f1MaxRanks-1)
	}
	f.doc.Backends = append(f.doc.Backends, b)
}

func (f *format1) organisation(s *section) {
	f.doc.Organisations = append(f.doc.Organisations, Organisation{
		Name:   s.name,
		Weight: s.integer("weight", optional, 1, 1, f1MaxWeight),
	})
}

func (f *format1) route(s *section) {
	r := Route{
		Name:       s.name,
		Path:       s.path("path", required, "an absolute path, such as /v1/bookings"),
		Pool:       s.ident("pool", required),
		Idempotent: s.choice("idempotent", required, "no", "yes") == "yes",
		Streaming:  s.choice("streaming", optional, "no", "yes") == "yes",
		Timeout:    s.duration("timeout", optional, f1DefaultTimeout, f1MinTimeout, f1MaxTimeout),
		LookupPath: s.path("look-up", optional, "an absolute path that contains {key}", "{key}"),
	}
	if r.Streaming && !r.Idempotent {
		s.addProblem("streaming", "yes", "idempotent = yes, as required by streaming = yes")
	}
	if r.LookupPath != "" && r.Idempotent {
		s.addProblem("look-up", r.LookupPath, "idempotent = no, since only calls that are not idempotent are looked up")
	}
	f.doc.Routes = append(f.doc.Routes, r)
}

func (f *format1) group(s *section) {
	g := Group{
		Name:       s.name,
		Model:      s.match("model", required, modelPattern, wantModel),
		Ranks:      s.integer("ranks", required, 1, 1, f1MaxRanks),
		Experts:    s.integer("experts", required, 1, 1, f1MaxExperts),
		Layers:     s.integer("layers", required, 1, 1, f1MaxLayers),
		Slots:      s.integer("slots", required, 1, 1, f1MaxSlots),
		WeightRate: s.rate("weight-rate", required, f1MaxWeightRate),
	}
	if g.Ranks*g.Slots < g.Experts {
		s.addProblem("slots", "", "ranks x slots to be at least the number of experts")
	}
	f.doc.Groups = append(f.doc.Groups, g)
}

func (f *format1) routing(s *section) {
	r := Routing{
		Policy:       s.ident("policy", required),
		Candidate:    s.ident("candidate", optional),
		Mode:         Mode(s.choice("mode", optional, string(ModeOff), string(ModeShadow), string(ModeShare))),
		MaxErrorRate: s.decimal("max-errors", optional, f1DefaultErrorRate, 0, 1),
		MaxP95Ratio:  s.decimal("max-slower", optional, f1DefaultP95Ratio, 1, f1MaxP95Ratio),
		SubsetSize:   s.integer("subset", optional, 0, 0, f1MaxSubset),
	}
	if r.Mode == ModeShare {
		r.Share = s.decimal("share", required, 0, 0, 1)
	}
	if r.Mode != ModeOff && r.Candidate == "" {
		s.addProblem("candidate", "", "the name of a policy, as required by mode = "+string(r.Mode))
	}
	if r.Candidate != "" && r.Candidate == r.Policy {
		s.addProblem("candidate", r.Candidate, "a policy other than the active one")
	}
	f.doc.Routing = r
}

func (f *format1) placement(s *section) {
	f.doc.Placement = Placement{
		Policy:  s.ident("policy", required),
		Horizon: s.duration("horizon", optional, f1DefaultHorizon, time.Second, 24*time.Hour),
		Margin:  s.decimal("margin", optional, f1DefaultMargin, 1, f1MaxMargin),
	}
}

func (f *format1) limits(s *section) {
	f.doc.Limits = Limits{
		ColdStartLimit: s.integer("cold-start", optional, f1DefaultColdStart, 1, f1MaxRunning),
		RetryBudget:    s.decimal("retry-budget", optional, f1DefaultRetryBudget, 0, 1),
		KeyMaxAge:      s.duration("key-max-age", optional, f1DefaultKeyAge, f1MinKeyAge, f1MaxKeyAge),
		FreshFor:       s.duration("fresh-for", optional, f1DefaultFreshFor, f1MinFreshFor, f1MaxFreshFor),
		CrashLimit:     s.integer("crash-limit", optional, f1DefaultCrashLimit, 1, f1MaxCrashLimit),
	}
}
