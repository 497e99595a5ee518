package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// State is what a backend server says of itself.
type State uint8

// States of a backend server.
const (
	Ready State = iota
	Draining
)

// Server is the entry of one backend server in the store.
type Server struct {
	ID            string
	Service       string
	Address       string // host and port
	DataCentre    string
	State         State
	Slots         int
	ColdRemaining time.Duration // left of its cold start when the entry was written
	StartedAt     int64         // start of this incarnation, Unix milliseconds
	Seq           int64         // rises with every heartbeat
}

// same reports whether two entries lead to the same decisions. Cold times of
// successive heartbeats differ; only becoming or ceasing to be cold counts.
func (s *Server) same(o *Server) bool {
	a, b := *s, *o
	a.Seq, b.Seq = 0, 0
	a.ColdRemaining, b.ColdRemaining = 0, 0
	return a == b && s.ColdRemaining == 0 && o.ColdRemaining == 0
}

// Member is a backend server as a View shows it.
type Member struct {
	Server
	ColdUntil    time.Duration // on the clock of Belief's callers; 0 when not cold
	MissingSince time.Duration // since when the entry is missing from the store; 0 while it is there
}

// Usable reports whether new work may be sent to m.
func (m *Member) Usable() bool { return m.State == Ready }

// View is an immutable picture of the deployment.
type View struct {
	Document        *Document // nil before the first
	Members         map[string]*Member
	Services        map[string][]*Member // usable members by service, in order of id, without centres taken out
	DisabledCentres map[string]bool      // data centres taken out
}

// Change is one change of the deployment as the adapter has decoded it. It is
// one of *Document, *CentreOut, *CentreBack, *Server, *ServerGone.
type Change interface{ change() }

// CentreDisabled takes a data centre out of service.
type CentreDisabled struct{ Name string }

// CentreEnabled ends a CentreOut.
type CentreEnabled struct{ Name string }

// ServerGone says that the store has no usable entry of a backend server.
// Spoilt means that the entry is there and names no server that can be used.
type ServerGone struct {
	ID      string
	Invalid bool
}

func (*Document) change()       {}
func (*CentreDisabled) change() {}
func (*CentreEnabled) change()  {}
func (*Server) change()         {}
func (*ServerGone) change()     {}

// Cache folds changes into Views. Times are on one clock of its caller's
// choice. It is safe for concurrent use; View never blocks.
type Cache struct {
	mu   sync.Mutex // guards all but view
	doc  *Document
	all  map[string]*Member
	out  map[string]bool
	keep time.Duration
	view atomic.Pointer[View]
}

// NewCache returns a Belief that knows nothing. A backend server whose entry
// has vanished without a word is used for keep longer: entries also lapse when
// the store was away, and come back.
func NewCache(keep time.Duration) *Cache {
	b := &Cache{all: make(map[string]*Member), out: make(map[string]bool), keep: keep}
	b.view.Store(&View{})
	return b
}

// View returns the latest picture. It is never nil.
func (b *Cache) View() *View { return b.view.Load() }

// Apply folds changes in their order. It reports whether the picture changed.
func (b *Cache) Apply(changes []Change, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.expire(now)
	for _, c := range changes {
		changed = b.apply(c, now) || changed
	}
	if changed {
		b.publish()
	}
	return changed
}

// Reset replaces all of one kind by a snapshot: what the snapshot lacks is
// gone. operator says which kind it is: documents and data centres, or servers.
func (b *Cache) Reset(operator bool, changes []Change, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if operator {
		clear(b.out)
	} else {
		b.missAllBut(changes, now)
	}
	for _, c := range changes {
		b.apply(c, now)
	}
	b.expire(now)
	b.publish()
}

func (b *Cache) missAllBut(changes []Change, now time.Duration) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		if s, ok := c.(*Server); ok {
			listed[s.ID] = true
		}
	}
	for id := range b.all {
		if !listed[id] {
			b.apply(&ServerGone{ID: id}, now)
		}
	}
}

// apply folds one change. Callers hold mu.
func (b *Cache) apply(c Change, now time.Duration) bool {
	switch c := c.(type) {
	case *Document:
		if b.doc != nil && c.Version <= b.doc.Version {
			return false
		}
		b.doc = c
		return true
	case *CentreDisabled:
		was := b.out[c.Name]
		b.out[c.Name] = true
		return !was
	case *CentreEnabled:
		was := b.out[c.Name]
		delete(b.out, c.Name)
		return was
	case *Server:
		return b.report(c, now)
	case *ServerGone:
		return b.gone(c, now)
	}
	return false
}

func (b *Cache) report(s *Server, now time.Duration) bool {
	old := b.all[s.ID]
	if old != nil && old.MissingSince == 0 && old.Server.same(s) && old.ColdUntil == 0 {
		return false
	}
	m := &Member{Server: *s}
	if s.ColdRemaining > 0 {
		m.ColdUntil = now + s.ColdRemaining
	}
	b.all[s.ID] = m
	return true
}

// gone notes that an entry is missing. A server that was ready is used until
// keep is over, as its entry may only have lapsed.
func (b *Cache) gone(c *ServerGone, now time.Duration) bool {
	old := b.all[c.ID]
	if old == nil {
		return false
	}
	if c.Invalid || old.State == Draining {
		delete(b.all, c.ID)
		return true
	}
	if old.MissingSince == 0 {
		m := *old
		m.MissingSince = max(now, 1)
		b.all[c.ID] = &m
	}
	return true
}

// expire drops what has been missing for too long. Callers hold mu.
func (b *Cache) expire(now time.Duration) bool {
	changed := false
	for id, m := range b.all {
		if m.MissingSince > 0 && now-m.MissingSince >= b.keep {
			delete(b.all, id)
			changed = true
		}
	}
	return changed
}

// latest is the member of the youngest incarnation at each address: an address
// passes on to a new server before the entry of the old one is gone.
func (b *Cache) latest() map[string]*Member {
	at := make(map[string]*Member, len(b.all))
	for _, m := range b.all {
		if old := at[m.Address]; old == nil || old.StartedAt < m.StartedAt || old.StartedAt == m.StartedAt && old.ID < m.ID {
			at[m.Address] = m
		}
	}
	return at
}

// publish builds the next View. Callers hold mu.
func (b *Cache) publish() {
	v := &View{
		Document:        b.doc,
		Members:         maps.Clone(b.all),
		Services:        make(map[string][]*Member),
		DisabledCentres: maps.Clone(b.out),
	}
	latest := b.latest()
	for _, id := range slices.Sorted(maps.Keys(v.Members)) {
		m := v.Members[id]
		if m.Usable() && !v.DisabledCentres[m.DataCentre] && latest[m.Address] == m {
			v.Services[m.Service] = append(v.Services[m.Service], m)
		}
	}
	b.view.Store(v)
}
