package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/internal/node"
	"marjorampitch/logfold"
	"marjorampitch/route"
	"marjorampitch/wire"
)

// Assumed one-way network latencies between a front proxy and a sidecar, for
// route.Candidate.Distance.
const (
	sameCentreDistance  = 0
	sameRegionDistance  = time.Millisecond
	otherRegionDistance = 50 * time.Millisecond
)

// Roles in the instance list.
const (
	listRoleSide  = "side"
	listRoleEntry = "entry"
)

// linkTable holds the links to the sidecars that this front proxy may use.
//
// mu guards the fields below it. Lock order: linkTable.mu, then link.mu.
type linkTable struct {
	self  string
	node  *node.Node
	log   *log.Logger
	onAck func(*wire.OrderAck) // handles acks from group ranks; set before the first update

	mu        sync.Mutex
	ctx       context.Context // parent context of the links
	links     map[string]*link
	instances []backing.Instance
	doc       *logfold.ActiveDocument
	pools     map[poolKey][]poolMember
	members   map[string]poolMember // by backend server name
}

// poolKey identifies the set of backend servers that can serve a request. model is
// empty for routes that do not depend on a model.
type poolKey struct {
	pool, model string
}

// poolMember is a link and the data about its backend server from the service
// configuration and the instance list.
type poolMember struct {
	link *link
	base route.Candidate // without the fields that fillCandidate sets, except Leaving
}

func newLinkTable(self string, n *node.Node, logger *log.Logger) *linkTable {
	return &linkTable{
		self:  self,
		node:  n,
		log:   logger,
		links: make(map[string]*link),
	}
}

// update opens and closes links according to the service configuration and the
// instance list. A link that is no longer needed is closed once its streams end.
func (t *linkTable) update(ctx context.Context, doc *logfold.ActiveDocument, instances []backing.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if doc == nil || (doc == t.doc && slices.Equal(instances, t.instances)) {
		return
	}
	t.ctx = ctx
	t.doc = doc
	t.instances = instances
	sides := t.selectSides(doc.Doc, instances)
	for name, l := range t.links {
		if inst, ok := sides[name]; !ok || inst.Address != l.address {
			l.stop()
			delete(t.links, name)
		}
	}
	for name, inst := range sides {
		if t.links[name] == nil {
			t.startLink(ctx, inst)
		}
	}
	t.buildPools(sides)
}

// buildPools rebuilds the pools and the members from the links and the service
// configuration. The caller holds mu.
func (t *linkTable) buildPools(sides map[string]backing.Instance) {
	t.pools = make(map[poolKey][]poolMember)
	t.members = make(map[string]poolMember)
	for i := range t.doc.Doc.Backends {
		be := &t.doc.Doc.Backends[i]
		l := t.links[be.Name]
		if l == nil {
			continue
		}
		m := poolMember{link: l, base: route.Candidate{
			Name:       be.Name,
			Hash:       route.HashName(be.Name),
			DataCentre: be.DataCentre,
			Distance:   t.distance(be.DataCentre),
			Leaving:    t.outOfService(be) || sides[be.Name].State == backing.InstanceLeaving,
		}}
		t.members[be.Name] = m
		t.addMember(poolKey{pool: be.Pool}, m)
		for _, model := range be.Models {
			t.addMember(poolKey{pool: be.Pool, model: model}, m)
		}
	}
}

func (t *linkTable) addMember(key poolKey, m poolMember) {
	t.pools[key] = append(t.pools[key], m)
}

// sendOrder sends an order to the named sidecar, if it is connected.
func (t *linkTable) sendOrder(side string, o *wire.Order) {
	t.mu.Lock()
	l := t.links[side]
	t.mu.Unlock()
	if l != nil {
		l.sendOrder(o)
	}
}

// startLink starts a link to an instance. The caller holds mu.
func (t *linkTable) startLink(ctx context.Context, inst backing.Instance) {
	ctx, stop := context.WithCancel(ctx)
	l := newLink(inst.Name, inst.Address, inst.DataCentre, t.node, t.log)
	l.stop = stop
	l.onAck = t.onAck
	t.links[inst.Name] = l
	go l.run(ctx)
}

// selectSides returns the sidecars to connect to, by name: those that are in both
// the service configuration and the instance list, reduced to this front proxy's
// subset of each pool.
func (t *linkTable) selectSides(doc *config.Document, instances []backing.Instance) map[string]backing.Instance {
	pools := make(map[string][]backing.Instance)
	var entries []route.Member
	for _, inst := range instances {
		if inst.Role == listRoleEntry && inst.State == backing.InstanceLive {
			entries = append(entries, route.Member{Name: inst.Name, DataCentre: inst.DataCentre})
		}
		if be := doc.Backend(inst.Name); be != nil && inst.Role == listRoleSide {
			pools[be.Pool] = append(pools[be.Pool], inst)
		}
	}
	sides := make(map[string]backing.Instance)
	for _, pool := range pools {
		for _, i := range route.Subset(t.self, entries, routeMembers(pool), doc.Routing.SubsetSize) {
			sides[pool[i].Name] = pool[i]
		}
	}
	return sides
}

func routeMembers(instances []backing.Instance) []route.Member {
	out := make([]route.Member, len(instances))
	for i, inst := range instances {
		out[i] = route.Member{Name: inst.Name, DataCentre: inst.DataCentre}
	}
	return out
}

// candidates returns the candidates for a call and, at the same indices, their
// pool members. Those in excluded are marked as excluded.
func (t *linkTable) candidates(c *call, excluded map[string]bool) ([]route.Candidate, []poolMember) {
	now := time.Now()
	t.mu.Lock()
	members := t.pools[poolKey{pool: c.route.Pool, model: c.model}]
	t.mu.Unlock()
	out := make([]route.Candidate, len(members))
	for i := range members {
		out[i] = members[i].base
		members[i].link.fillCandidate(&out[i], now)
		out[i].Excluded = out[i].Excluded || excluded[out[i].Name]
	}
	return out, members
}

// outOfService reports whether the service configuration takes the backend server
// or its data centre out of service. The caller holds mu.
func (t *linkTable) outOfService(be *config.Backend) bool {
	dc := t.doc.Doc.DataCentre(be.DataCentre)
	return be.Leaving || dc == nil || dc.Out
}

func (t *linkTable) distance(dataCentre string) time.Duration {
	own := t.node.Hello().DataCentre
	if dataCentre == own {
		return sameCentreDistance
	}
	a, b := t.doc.Doc.DataCentre(own), t.doc.Doc.DataCentre(dataCentre)
	if a != nil && b != nil && a.Region == b.Region {
		return sameRegionDistance
	}
	return otherRegionDistance
}

// connections returns the number of connected links.
func (t *linkTable) connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.links {
		if l.connected() {
			n++
		}
	}
	return n
}
