package config

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of format 1.
const (
	f1MaxRunning  = 100_000
	f1MaxWeight   = 1_000_000
	f1MaxRanks    = 1024
	f1MaxExperts  = 4096
	f1MaxLayers   = 1024
	f1MaxSlots    = 4096
	f1MaxSubset   = 10_000
	f1MaxRate     = 1_000_000_000_000 // bytes a second
	f1MaxTimeout  = 10 * time.Minute
	f1MinTimeout  = 10 * time.Millisecond
	f1MaxMargin   = 1000
	f1MaxSlower   = 100
	f1MaxCrashes  = 10
	f1MinKeyAge   = time.Minute
	f1MaxKeyAge   = 7 * 24 * time.Hour
	f1MinFreshFor = 2 * time.Second
	f1MaxFreshFor = time.Minute
)

// Defaults of format 1.
const (
	f1Timeout     = 30 * time.Second
	f1MaxErrors   = 0.05
	f1Slower      = 2.0
	f1Horizon     = 10 * time.Minute
	f1Margin      = 1.5
	f1ColdStart   = 2
	f1RetryBudget = 0.1
	f1KeyAge      = time.Hour
	f1FreshFor    = 5 * time.Second
	f1Crashes     = 2
)

// format1 reads a document of format 1.
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
		s := c.open(raw, keys)
		kind, _, _ := strings.Cut(s.title, " ")
		switch read, readNamed := singles[s.title], named[kind]; {
		case read != nil:
			read(s)
			s.close()
			delete(singles, s.title)
		case readNamed != nil:
			f.checkName(s)
			readNamed(s)
			s.close()
		default:
			c.add(s.title, "", s.title, "a known section: service, data-centre NAME, backend-server NAME, organisation NAME, route NAME, group NAME, routing, placement, limits")
		}
	}
	for _, title := range slices.Sorted(maps.Keys(singles)) {
		singles[title](c.absent(title))
	}
	f.refer()
	return f.doc
}

func (f *format1) checkName(s *section) {
	if !nameForm.MatchString(s.name) {
		f.c.add(s.title, "", s.title, "[kind NAME] with "+wantName)
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
		b.Models = s.list("models", required, modelForm, wantModel)
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
		Timeout:    s.duration("timeout", optional, f1Timeout, f1MinTimeout, f1MaxTimeout),
		LookupPath: s.path("look-up", optional, "an absolute path that contains {key}", "{key}"),
	}
	if r.Streaming && !r.Idempotent {
		s.bad("streaming", "yes", "idempotent = yes on a streaming route")
	}
	if r.LookupPath != "" && r.Idempotent {
		s.bad("look-up", r.LookupPath, "idempotent = no; only such calls are looked up")
	}
	f.doc.Routes = append(f.doc.Routes, r)
}

func (f *format1) group(s *section) {
	g := Group{
		Name:       s.name,
		Model:      s.match("model", required, modelForm, wantModel),
		Ranks:      s.integer("ranks", required, 1, 1, f1MaxRanks),
		Experts:    s.integer("experts", required, 1, 1, f1MaxExperts),
		Layers:     s.integer("layers", required, 1, 1, f1MaxLayers),
		Slots:      s.integer("slots", required, 1, 1, f1MaxSlots),
		WeightRate: s.rate("weight-rate", required, f1MaxRate),
	}
	if g.Ranks*g.Slots < g.Experts {
		s.bad("slots", "", "ranks x slots of at least the number of experts")
	}
	f.doc.Groups = append(f.doc.Groups, g)
}

func (f *format1) routing(s *section) {
	r := Routing{
		Policy:       s.ident("policy", required),
		Candidate:    s.ident("candidate", optional),
		Mode:         Mode(s.choice("mode", optional, string(ModeOff), string(ModeShadow), string(ModeShare))),
		MaxErrorRate: s.decimal("max-errors", optional, f1MaxErrors, 0, 1),
		MaxP95Ratio:  s.decimal("max-slower", optional, f1Slower, 1, f1MaxSlower),
		SubsetSize:   s.integer("subset", optional, 0, 0, f1MaxSubset),
	}
	if r.Mode == ModeShare {
		r.Share = s.decimal("share", required, 0, 0, 1)
	}
	if r.Mode != ModeOff && r.Candidate == "" {
		s.bad("candidate", "", "the name of a policy, since mode = "+string(r.Mode))
	}
	if r.Candidate != "" && r.Candidate == r.Policy {
		s.bad("candidate", r.Candidate, "another policy than the active one")
	}
	f.doc.Routing = r
}

func (f *format1) placement(s *section) {
	f.doc.Placement = Placement{
		Policy:  s.ident("policy", required),
		Horizon: s.duration("horizon", optional, f1Horizon, time.Second, 24*time.Hour),
		Margin:  s.decimal("margin", optional, f1Margin, 1, f1MaxMargin),
	}
}

func (f *format1) limits(s *section) {
	f.doc.Limits = Limits{
		ColdStartLimit: s.integer("cold-start", optional, f1ColdStart, 1, f1MaxRunning),
		RetryBudget:    s.decimal("retry-budget", optional, f1RetryBudget, 0, 1),
		KeyMaxAge:      s.duration("key-max-age", optional, f1KeyAge, f1MinKeyAge, f1MaxKeyAge),
		FreshFor:       s.duration("fresh-for", optional, f1FreshFor, f1MinFreshFor, f1MaxFreshFor),
		CrashLimit:     s.integer("crash-limit", optional, f1Crashes, 1, f1MaxCrashes),
	}
}
