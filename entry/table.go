package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/config"
	"marjorampitch/internal/node"
	"marjorampitch/logfold"
	"marjorampitch/platform"
	"marjorampitch/route"
)

// Distances between an entry and the sides, for pickers.
const (
	sameCentre   = 0
	sameRegion   = time.Millisecond
	otherRegions = 50 * time.Millisecond
)

// listRole is the role under which the instance list names side processes.
const (
	listRoleSide  = "side"
	listRoleEntry = "entry"
)

// table holds the links to the side processes that this entry may use.
//
// mu guards the fields below it. Lock order: table.mu, then link.mu.
type table struct {
	self string
	node *node.Node
	log  *log.Logger

	mu        sync.Mutex
	links     map[string]*link
	instances []platform.Instance
	leaving   map[string]bool
	doc       *logfold.InForce
}

func newTable(self string, n *node.Node, logger *log.Logger) *table {
	return &table{
		self:    self,
		node:    n,
		log:     logger,
		links:   make(map[string]*link),
		leaving: make(map[string]bool),
	}
}

// update brings the links in line with the document and the instance list.
// Links that are no longer wanted are closed once what they carry is done.
func (t *table) update(ctx context.Context, doc *logfold.InForce, instances []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if doc == nil || (doc == t.doc && slices.Equal(instances, t.instances)) {
		return
	}
	t.doc = doc
	t.instances = instances
	wanted := t.wanted(doc.Doc, instances)
	for name, l := range t.links {
		if in, ok := wanted[name]; !ok || in.Address != l.address {
			l.stop()
			delete(t.links, name)
		}
	}
	clear(t.leaving)
	for name, in := range wanted {
		t.leaving[name] = in.State == platform.InstanceLeaving
		if t.links[name] == nil {
			t.start(ctx, in)
		}
	}
}

// start opens a link. The caller holds mu.
func (t *table) start(ctx context.Context, in platform.Instance) {
	ctx, stop := context.WithCancel(ctx)
	l := newLink(in.Name, in.Address, in.DataCentre, t.node, t.log)
	l.stop = stop
	t.links[in.Name] = l
	go l.run(ctx)
}

// wanted returns the side processes to connect to: those of the document that
// the instance list knows, cut down to this entry's subset in each pool.
func (t *table) wanted(doc *config.Document, instances []platform.Instance) map[string]platform.Instance {
	pools := make(map[string][]platform.Instance)
	var entries []route.Member
	for _, in := range instances {
		if in.Role == listRoleEntry && in.State == platform.InstanceLive {
			entries = append(entries, route.Member{Name: in.Name, DataCentre: in.DataCentre})
		}
		if be := doc.Backend(in.Name); be != nil && in.Role == listRoleSide {
			pools[be.Pool] = append(pools[be.Pool], in)
		}
	}
	wanted := make(map[string]platform.Instance)
	for _, pool := range pools {
		for _, i := range route.Subset(t.self, entries, members(pool), doc.Routing.Subset) {
			wanted[pool[i].Name] = pool[i]
		}
	}
	return wanted
}

func members(instances []platform.Instance) []route.Member {
	out := make([]route.Member, len(instances))
	for i, in := range instances {
		out[i] = route.Member{Name: in.Name, DataCentre: in.DataCentre}
	}
	return out
}

// candidates returns what a picker may choose from for a call, and the links
// behind it at the same indices.
func (t *table) candidates(c *call, tried map[string]bool) ([]route.Candidate, []*link) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.doc == nil {
		return nil, nil
	}
	var out []route.Candidate
	var links []*link
	for _, be := range t.doc.Doc.Backends {
		l := t.links[be.Name]
		if l == nil || be.Pool != c.route.Pool || !serves(&be, c.model) {
			continue
		}
		cand := route.Candidate{Name: be.Name, Hash: route.HashName(be.Name), DataCentre: be.DataCentre}
		l.fill(&cand, now)
		cand.Distance = t.distance(be.DataCentre)
		cand.Excluded = cand.Excluded || tried[be.Name]
		cand.Leaving = cand.Leaving || t.out(&be)
		out = append(out, cand)
		links = append(links, l)
	}
	return out, links
}

// out reports whether the backend server may get no new work. The caller holds mu.
func (t *table) out(be *config.Backend) bool {
	dc := t.doc.Doc.DataCentre(be.DataCentre)
	return be.Leaving || t.leaving[be.Name] || dc == nil || dc.Out
}

func (t *table) distance(dataCentre string) time.Duration {
	own := t.node.Hello().DataCentre
	if dataCentre == own {
		return sameCentre
	}
	a, b := t.doc.Doc.DataCentre(own), t.doc.Doc.DataCentre(dataCentre)
	if a != nil && b != nil && a.Region == b.Region {
		return sameRegion
	}
	return otherRegions
}

func serves(be *config.Backend, model string) bool {
	return model == "" || slices.Contains(be.Models, model)
}
