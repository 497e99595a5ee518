package entry

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/route"
	"marjorampitch/wire"
)

// groups runs the coordinators of the rank groups that this entry leads.
//
// mu guards the fields below it. Lock order: groups.mu, then a coordinator's mu.
type groups struct {
	hello  wire.Hello
	claims backing.Log
	table  *table
	log    *log.Logger

	mu      sync.Mutex
	leading map[string]*coordinator // by name of the group
}

func newGroups(opt *Options, t *table) *groups {
	return &groups{
		hello:   opt.Hello,
		claims:  opt.ClaimLog,
		table:   t,
		log:     opt.Log,
		leading: make(map[string]*coordinator),
	}
}

// follow starts and ends coordinators in line with the document and the
// instance list. Two entries that differ about who leads a group cost only time.
func (g *groups) follow(ctx context.Context, doc *config.Document, instances []backing.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, c := range g.leading {
		section := doc.Group(name)
		if section == nil || section.Ranks != c.ranks || !g.leads(name, instances) {
			g.log.Info("group-left", "group", name)
			c.stop()
			delete(g.leading, name)
		}
	}
	for i := range doc.Groups {
		g.lead(ctx, doc, &doc.Groups[i], instances)
	}
}

// lead starts the coordinator of a group that this entry leads, or tells it
// the document. The caller holds mu.
func (g *groups) lead(ctx context.Context, doc *config.Document, section *config.Group, instances []backing.Instance) {
	if !g.leads(section.Name, instances) {
		return
	}
	c := g.leading[section.Name]
	if c == nil {
		c = newCoordinator(g, section)
		g.leading[section.Name] = c
		ctx, c.stop = context.WithCancel(ctx)
		g.log.Info("group-led", "group", section.Name)
		defer func() { go c.run(ctx) }()
	}
	c.follow(doc, section)
}

// leads says whether this entry is the first of the live ones in the group's
// rendezvous order. An entry that is leaving leads none.
func (g *groups) leads(name string, instances []backing.Instance) bool {
	if g.table.node.Leaving() {
		return false
	}
	hash := route.HashName(name)
	own := route.Mix(hash, route.HashName(g.hello.Instance))
	for _, in := range instances {
		if in.Role != listRoleEntry || in.State != backing.InstanceLive || in.Name == g.hello.Instance {
			continue
		}
		if route.Mix(hash, route.HashName(in.Name)) > own {
			return false
		}
	}
	return true
}

// ack hands the answer of a rank to its group's coordinator.
func (g *groups) ack(m *wire.OrderAck) {
	g.mu.Lock()
	c := g.leading[m.Group]
	g.mu.Unlock()
	if c != nil {
		c.ack(m)
	}
}
