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

// groupManager runs the coordinators of the rank groups that this front proxy leads.
//
// mu guards the fields below it. Lock order: groupManager.mu, then coordinator.mu.
type groupManager struct {
	hello    wire.Hello
	claimLog backing.Log
	links    *linkTable
	log      *log.Logger

	mu           sync.Mutex
	coordinators map[string]*coordinator // by group name
}

func newGroupManager(opt *Options, t *linkTable) *groupManager {
	return &groupManager{
		hello:        opt.Hello,
		claimLog:     opt.ClaimLog,
		links:        t,
		log:          opt.Log,
		coordinators: make(map[string]*coordinator),
	}
}

// update starts and stops coordinators according to the service configuration
// and the instance list. Two front proxies that both consider themselves the
// leader of a group only delay its map switches: fencing excludes one of them.
func (g *groupManager) update(ctx context.Context, doc *config.Document, instances []backing.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, c := range g.coordinators {
		section := doc.Group(name)
		if section == nil || section.Ranks != c.ranks || !g.isLeader(name, instances) {
			g.log.Info("group-left", "group", name)
			c.stop()
			delete(g.coordinators, name)
		}
	}
	for i := range doc.Groups {
		g.ensureCoordinator(ctx, doc, &doc.Groups[i], instances)
	}
}

// ensureCoordinator starts the coordinator of a group if this front proxy leads
// it, and passes the service configuration to it. The caller holds mu.
func (g *groupManager) ensureCoordinator(ctx context.Context, doc *config.Document, section *config.Group, instances []backing.Instance) {
	if !g.isLeader(section.Name, instances) {
		return
	}
	c := g.coordinators[section.Name]
	if c == nil {
		c = newCoordinator(g, section)
		g.coordinators[section.Name] = c
		ctx, c.stop = context.WithCancel(ctx)
		g.log.Info("group-led", "group", section.Name)
		defer func() { go c.run(ctx) }()
	}
	c.setDocument(doc, section)
}

// isLeader reports whether this front proxy is the first of the live ones in the
// group's rendezvous order. A front proxy that is leaving leads no group.
func (g *groupManager) isLeader(name string, instances []backing.Instance) bool {
	if g.links.node.Leaving() {
		return false
	}
	hash := route.HashName(name)
	own := route.Mix(hash, route.HashName(g.hello.Instance))
	for _, inst := range instances {
		if inst.Role != listRoleEntry || inst.State != backing.InstanceLive || inst.Name == g.hello.Instance {
			continue
		}
		if route.Mix(hash, route.HashName(inst.Name)) > own {
			return false
		}
	}
	return true
}

// dispatchAck passes the ack of a rank to the coordinator of its group.
func (g *groupManager) dispatchAck(m *wire.OrderAck) {
	g.mu.Lock()
	c := g.coordinators[m.Group]
	g.mu.Unlock()
	if c != nil {
		c.enqueueAck(m)
	}
}
