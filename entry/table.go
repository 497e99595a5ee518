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
	acks func(*wire.OrderAck) // takes answers of ranks

	mu        sync.Mutex
	ctx       context.Context // of the links
	links     map[string]*link
	instances []backing.Instance
	doc       *logfold.ActiveDocument
	pools     map[poolKey][]row
	byName    map[string]row
}

// poolKey names the backend servers that may serve a call. model is empty for
// routes that do not depend on one.
type poolKey struct {
	pool, model string
}

// row is a link with what the document and the instance list say of it.
type row struct {
	link  *link
	known route.Candidate // the fields that change with the document or the list only
}

func newTable(self string, n *node.Node, logger *log.Logger) *table {
	return &table{
		self:  self,
		node:  n,
		log:   logger,
		links: make(map[string]*link),
	}
}

// update brings the links in line with the document and the instance list.
// Links that are no longer wanted are closed once what they carry is done.
func (t *table) update(ctx context.Context, doc *logfold.ActiveDocument, instances []backing.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if doc == nil || (doc == t.doc && slices.Equal(instances, t.instances)) {
		return
	}
	t.ctx = ctx
	t.doc = doc
	t.instances = instances
	wanted := t.wanted(doc.Doc, instances)
	for name, l := range t.links {
		if in, ok := wanted[name]; !ok || in.Address != l.address {
			l.stop()
			delete(t.links, name)
		}
	}
	for name, in := range wanted {
		if t.links[name] == nil {
			t.start(ctx, in)
		}
	}
	t.buildPools(wanted)
}

// buildPools groups the links by what they serve. The caller holds mu.
func (t *table) buildPools(wanted map[string]backing.Instance) {
	t.pools = make(map[poolKey][]row)
	t.byName = make(map[string]row)
	for i := range t.doc.Doc.Backends {
		be := &t.doc.Doc.Backends[i]
		l := t.links[be.Name]
		if l == nil {
			continue
		}
		r := row{link: l, known: route.Candidate{
			Name:       be.Name,
			Hash:       route.HashName(be.Name),
			DataCentre: be.DataCentre,
			Distance:   t.distance(be.DataCentre),
			Leaving:    t.out(be) || wanted[be.Name].State == backing.InstanceLeaving,
		}}
		t.byName[be.Name] = r
		t.addRow(poolKey{pool: be.Pool}, r)
		for _, model := range be.Models {
			t.addRow(poolKey{pool: be.Pool, model: model}, r)
		}
	}
}

func (t *table) addRow(key poolKey, r row) {
	t.pools[key] = append(t.pools[key], r)
}

// order sends an order to the side process with this name, if it is connected.
func (t *table) order(side string, o *wire.Order) {
	t.mu.Lock()
	l := t.links[side]
	t.mu.Unlock()
	if l != nil {
		l.order(o)
	}
}

// start opens a link. The caller holds mu.
func (t *table) start(ctx context.Context, in backing.Instance) {
	ctx, stop := context.WithCancel(ctx)
	l := newLink(in.Name, in.Address, in.DataCentre, t.node, t.log)
	l.stop = stop
	l.acks = t.acks
	t.links[in.Name] = l
	go l.run(ctx)
}

// wanted returns the side processes to connect to: those of the document that
// the instance list knows, cut down to this entry's subset in each pool.
func (t *table) wanted(doc *config.Document, instances []backing.Instance) map[string]backing.Instance {
	pools := make(map[string][]backing.Instance)
	var entries []route.Member
	for _, in := range instances {
		if in.Role == listRoleEntry && in.State == backing.InstanceLive {
			entries = append(entries, route.Member{Name: in.Name, DataCentre: in.DataCentre})
		}
		if be := doc.Backend(in.Name); be != nil && in.Role == listRoleSide {
			pools[be.Pool] = append(pools[be.Pool], in)
		}
	}
	wanted := make(map[string]backing.Instance)
	for _, pool := range pools {
		for _, i := range route.Subset(t.self, entries, members(pool), doc.Routing.SubsetSize) {
			wanted[pool[i].Name] = pool[i]
		}
	}
	return wanted
}

func members(instances []backing.Instance) []route.Member {
	out := make([]route.Member, len(instances))
	for i, in := range instances {
		out[i] = route.Member{Name: in.Name, DataCentre: in.DataCentre}
	}
	return out
}

// candidates returns what a picker may choose from for a call, and the links
// behind it at the same indices.
func (t *table) candidates(c *call, tried map[string]bool) ([]route.Candidate, []row) {
	now := time.Now()
	t.mu.Lock()
	rows := t.pools[poolKey{pool: c.route.Pool, model: c.model}]
	t.mu.Unlock()
	out := make([]route.Candidate, len(rows))
	for i := range rows {
		out[i] = rows[i].known
		rows[i].link.fill(&out[i], now)
		out[i].Excluded = out[i].Excluded || tried[out[i].Name]
	}
	return out, rows
}

// out reports whether the document takes the backend server out of service. The caller holds mu.
func (t *table) out(be *config.Backend) bool {
	dc := t.doc.Doc.DataCentre(be.DataCentre)
	return be.Leaving || dc == nil || dc.Out
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

// connections returns the number of links that are connected.
func (t *table) connections() int {
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
