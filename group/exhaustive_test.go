package group

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// Bounds of the exhaustive case.
const (
	stepsAfter = 1 // steps that a rank takes from the switch on
	maxClaims  = 2 // claims on the log: the two coordinators begin once each
	maxTicks   = 1 // rounds sent again, when nothing else can happen
	maxStates  = 400_000
)

// search visits every state that two coordinators, two ranks and one fault
// can reach: every event at every point, messages of one connection in order,
// those of different ones in any order.
type search struct {
	seen  map[uint64]bool // hashes of keys
	limit int64           // no rank begins this step
	fault string
}

// point is a state of the search.
type point struct {
	w      *world
	faults int // left
	ticks  int // left
}

// link is one direction of the connection between a coordinator and a rank.
type link struct {
	coord, rank int
	order       bool
}

func (m message) link() link {
	if m.order != nil {
		return link{m.from, m.order.Rank, true}
	}
	return link{m.from, m.ack.Rank, false}
}

// heads are the messages that are first on their link.
func (w *world) heads() []int {
	var list []int
	seen := make(map[link]bool)
	for n, m := range w.net {
		if !seen[m.link()] {
			seen[m.link()] = true
			list = append(list, n)
		}
	}
	return list
}

func (w *world) clone() *world {
	c := *w
	c.engines, c.sides, c.coords = nil, nil, nil
	for _, e := range w.engines {
		d := *e
		c.engines = append(c.engines, &d)
	}
	for _, s := range w.sides {
		r := *s.rank
		r.maps = maps.Clone(r.maps)
		c.sides = append(c.sides, &side{&r, s.ready, slices.Clone(s.cmds)})
	}
	for _, k := range w.coords {
		if k != nil {
			m := *k.machine
			m.acks, m.round.wants = slices.Clone(m.acks), slices.Clone(m.round.wants)
			d := *k
			d.machine = &m
			k = &d
		}
		c.coords = append(c.coords, k)
	}
	c.net, c.used = slices.Clone(w.net), maps.Clone(w.used)
	return &c
}

// key names a state; the order of messages on different links does not matter.
func (p point) key() uint64 {
	var b strings.Builder
	for r, e := range p.w.engines {
		k := *p.w.sides[r].rank
		busy, staging := k.busy, k.staging
		k.busy, k.staging = nil, nil
		fmt.Fprint(&b, *e, k, busy, staging, p.w.sides[r].ready, p.w.sides[r].cmds)
	}
	for _, c := range p.w.coords {
		if c != nil {
			fmt.Fprint(&b, *c.machine, c.claiming, c.claim)
		}
		b.WriteByte('/')
	}
	net := slices.Clone(p.w.net)
	sort.SliceStable(net, func(i, j int) bool { return fmt.Sprint(net[i].link()) < fmt.Sprint(net[j].link()) })
	for _, m := range net {
		fmt.Fprint(&b, m.from, m.order, m.ack)
	}
	fmt.Fprint(&b, p.w.claims, p.faults, p.ticks, p.w.used)
	return xxhash.Sum64String(b.String())
}

// next lists the states after each event that can happen; a tick happens when
// nothing else can.
func (s *search) next(p point) []point {
	var list []point
	try := func(faults int, do func(w *world)) {
		w := p.w.clone()
		do(w)
		w.dropIgnored()
		list = append(list, point{w, faults, p.ticks})
	}
	for _, n := range p.w.heads() {
		try(p.faults, func(w *world) { w.deliver(n, false) })
	}
	for r, d := range p.w.sides {
		s.ofRank(p, r, d, try)
	}
	for i, c := range p.w.coords {
		if c != nil && c.claiming && p.w.claims < maxClaims {
			try(p.faults, func(w *world) { w.appendClaim(i); w.answerClaim(i) })
		}
	}
	if len(list) == 0 && p.ticks > 0 {
		for i, c := range p.w.coords {
			if c != nil && c.machine.phase != phaseIdle && c.machine.phase != phaseStopped {
				try(p.faults, func(w *world) { w.tick(i) })
				list[len(list)-1].ticks--
			}
		}
	}
	if p.faults > 0 {
		s.faults(p, try)
	}
	return list
}

// ofRank adds what can happen at one rank.
func (s *search) ofRank(p point, r int, d *side, try func(int, func(*world))) {
	e := p.w.engines[r]
	if len(d.cmds) > 0 {
		try(p.faults, func(w *world) { w.execute(r, 0, false) })
	}
	if e.running || (e.Next < s.limit && e.mayBegin(p.w.engines, p.w.broken.noHold)) {
		try(p.faults, func(w *world) { w.step(r) })
	}
	if e.state().Waiting != d.rank.state.Waiting || e.Incarnation != d.rank.state.Incarnation {
		try(p.faults, func(w *world) { w.observe(r) })
	}
	if !d.ready {
		try(p.faults, func(w *world) { w.readFence(r) })
	}
}

// dropIgnored removes answers that their coordinator would ignore now and for
// ever, which keeps equal states equal.
func (w *world) dropIgnored() {
	w.net = slices.DeleteFunc(w.net, func(m message) bool {
		if m.ack == nil {
			return false
		}
		c := w.coords[m.from]
		if c == nil || c.machine.phase == phaseStopped {
			return true
		}
		k := c.machine
		return m.ack.Fence <= k.fence && (m.ack.Seq != k.round.order.Seq || !k.round.wants[m.ack.Rank])
	})
}

// faults adds each fault at this point.
func (s *search) faults(p point, try func(int, func(*world))) {
	for r := range p.w.sides {
		try(p.faults-1, func(w *world) { w.restartSide(r) })
		try(p.faults-1, func(w *world) { w.restartEngine(r) })
	}
	if p.w.coords[0] != nil {
		try(p.faults-1, func(w *world) { w.coords[0] = nil })
	}
	for _, n := range p.w.heads() {
		try(p.faults-1, func(w *world) { w.deliver(n, true) })
		try(p.faults-1, func(w *world) { w.net = slices.Delete(w.net, n, n+1) })
	}
}

// run visits states until none is left, maxStates or a fault.
func (s *search) run(start point) {
	s.seen = map[uint64]bool{start.key(): true}
	queue := []point{start}
	for len(queue) > 0 && len(s.seen) < maxStates && s.fault == "" {
		p := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, q := range s.next(p) {
			if q.w.fault != "" {
				s.fault = q.w.fault
				return
			}
			if k := q.key(); !s.seen[k] {
				s.seen[k] = true
				queue = append(queue, q)
			}
		}
	}
}

// armingWorld is a group of two ranks whose coordinator has just sent the arm
// orders of a switch; a second coordinator has asked for its claim.
func armingWorld(t *testing.T, native bool, broken mechanisms) (*world, int64) {
	never := func(int) bool { return false }
	w := newWorld(2, never, func(int) bool { return native }, broken)
	w.addCoordinator()
	require.True(t, w.settle(0))
	w.net = nil
	w.propose(0)
	for w.coords[0].machine.phase != phaseArming {
		w.calm(0)
	}
	at := w.coords[0].machine.round.order.Step
	for range 20 { // to the step before the switch, so that little else is interleaved
		for r, e := range w.engines {
			if e.running || e.Next < at-1 {
				w.step(r)
			}
		}
	}
	w.addCoordinator()
	return w, at + stepsAfter
}

func TestEveryInterleaving(t *testing.T) {
	for _, native := range []bool{true, false} {
		for faults := range 2 {
			w, limit := armingWorld(t, native, mechanisms{})
			s := search{limit: limit}
			s.run(point{w, faults, maxTicks})
			require.Empty(t, s.fault)
			t.Logf("engine switches at a step: %t; faults: %d; %d states, complete: %t",
				native, faults, len(s.seen), len(s.seen) < maxStates)
		}
	}
}
