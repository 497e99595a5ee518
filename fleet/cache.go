package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// State is the state that a backend server reports.
type State uint8

// States of a backend server.
const (
	Ready State = iota
	Draining
)

// Server is the entry of one backend server in the platform's store.
type Server struct {
	ID            string
	Service       string
	Address       string // host and port
	DataCentre    string
	State         State
	Slots         int
	ColdRemaining time.Duration // remaining cold start when the entry was written
	StartedAt     int64         // start time of this incarnation, Unix milliseconds
	Seq           int64         // increases with every heartbeat
}

// Equivalent reports whether two entries lead to the same decisions; heartbeats
// that only increase Seq do. Entries of a cold server are never equivalent, since
// the end of its cold start is computed anew from each ColdRemaining.
func (s *Server) Equivalent(o *Server) bool {
	a, b := *s, *o
	a.Seq, b.Seq = 0, 0
	a.ColdRemaining, b.ColdRemaining = 0, 0
	return a == b && s.ColdRemaining == 0 && o.ColdRemaining == 0
}

// Member is a backend server in a View.
type Member struct {
	Server
	ColdUntil    time.Duration // on the clock of the Cache's callers; 0 when not cold
	MissingSince time.Duration // when the entry was first missing from the store; 0 while it exists
}

// Usable reports whether new requests may be sent to m.
func (m *Member) Usable() bool { return m.State == Ready }

// View is an immutable snapshot of the state of the deployment.
type View struct {
	Document        *Document // nil until one was read
	Members         map[string]*Member
	Services        map[string][]*Member // usable members outside disabled data centres, by service, ordered by id
	DisabledCentres map[string]bool      // data centres taken out of service
}

// Change is one decoded change of the deployment: a *Document, *CentreDisabled,
// *CentreEnabled, *Server or *ServerGone.
type Change interface{ change() }

// CentreDisabled takes a data centre out of service.
type CentreDisabled struct{ Name string }

// CentreEnabled puts a data centre back into service.
type CentreEnabled struct{ Name string }

// ServerGone reports that the store has no usable entry of a backend server.
// Invalid means that the entry exists but does not describe a usable server. Since, if
// not 0, counts as the time from which the entry is missing.
type ServerGone struct {
	ID      string
	Invalid bool
	Since   time.Duration
}

func (*Document) change()       {}
func (*CentreDisabled) change() {}
func (*CentreEnabled) change()  {}
func (*Server) change()         {}
func (*ServerGone) change()     {}

// Cache holds the state of the deployment derived from changes and publishes it
// as Views. All times are on one clock chosen by its callers. It is safe for
// concurrent use; View never blocks.
type Cache struct {
	mu         sync.Mutex // guards all but view
	doc        *Document
	members    map[string]*Member
	disabled   map[string]time.Duration // data centres out of service, until a time; 0 for no end
	missingTTL time.Duration
	order      EntryOrder
	view       atomic.Pointer[View]
}

// NewCache returns an empty Cache. A ready backend server whose entry disappears
// stays usable for missingTTL: entries also expire while the store is
// unavailable, and reappear afterwards.
func NewCache(missingTTL time.Duration) *Cache {
	c := &Cache{members: make(map[string]*Member), disabled: make(map[string]time.Duration), missingTTL: missingTTL}
	c.view.Store(&View{})
	return c
}

// View returns the current View. It is never nil.
func (c *Cache) View() *View { return c.view.Load() }

// Apply applies changes in order and removes servers whose entries have been
// missing for too long. It reports whether the View changed.
func (c *Cache) Apply(changes []Change, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.expire(now)
	for _, change := range changes {
		changed = c.apply(change, now) || changed
	}
	if changed {
		c.publish()
	}
	return changed
}

// Reset replaces the state derived from one topic by a snapshot of the topic: the
// operator topic (documents and disabled data centres) if operator is set, otherwise
// the server topic. What the snapshot lacks is treated as removed, except for the
// document, which only a newer one replaces. restored means that the store has come back
// from an older copy, which may lack what is to be written again: data centres that were
// disabled before stay so for disabledTTL.
func (c *Cache) Reset(operator, restored bool, changes []Change, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case operator && restored:
		for name := range c.disabled {
			c.disabled[name] = now + disabledTTL
		}
	case operator:
		clear(c.disabled)
	default:
		c.removeUnlisted(changes, now)
	}
	for _, change := range changes {
		c.apply(change, now)
	}
	c.expire(now)
	c.publish()
}

// disabledTTL is the time for which a data centre stays out of service that was disabled
// before the store came back from a copy without it. It ends sooner with the operator's
// word, and costs capacity only.
const disabledTTL = 5 * time.Second

// removeUnlisted applies a ServerGone for every member that changes do not list.
// Callers hold mu.
func (c *Cache) removeUnlisted(changes []Change, now time.Duration) {
	listed := make(map[string]bool, len(changes))
	for _, change := range changes {
		if s, ok := change.(*Server); ok {
			listed[s.ID] = true
		}
	}
	for id := range c.members {
		if !listed[id] {
			c.apply(&ServerGone{ID: id}, now)
		}
	}
}

// apply applies one change. Callers hold mu.
func (c *Cache) apply(change Change, now time.Duration) bool {
	switch change := change.(type) {
	case *Document:
		if c.doc != nil && change.Version <= c.doc.Version {
			return false
		}
		c.doc = change
		return true
	case *CentreDisabled:
		_, wasDisabled := c.disabled[change.Name]
		c.disabled[change.Name] = 0
		return !wasDisabled
	case *CentreEnabled:
		_, wasDisabled := c.disabled[change.Name]
		delete(c.disabled, change.Name)
		return wasDisabled
	case *Server:
		return c.serverUpdated(change, now)
	case *ServerGone:
		return c.serverGone(change, now)
	}
	return false
}

// serverUpdated applies the entry of a server unless it is outdated. Callers hold mu.
func (c *Cache) serverUpdated(s *Server, now time.Duration) bool {
	if c.order.Outdated(s) {
		return false
	}
	old := c.members[s.ID]
	if old != nil && old.MissingSince == 0 && old.Server.Equivalent(s) && old.ColdUntil == 0 {
		return false
	}
	m := &Member{Server: *s}
	if s.ColdRemaining > 0 {
		m.ColdUntil = now + s.ColdRemaining
	}
	c.members[s.ID] = m
	return true
}

// serverGone records that an entry is missing. A server that was ready stays
// usable for missingTTL, as its entry may only have expired. Callers hold mu.
func (c *Cache) serverGone(change *ServerGone, now time.Duration) bool {
	c.order.Removed(change.ID)
	old := c.members[change.ID]
	if old == nil {
		return false
	}
	if change.Invalid || old.State == Draining {
		delete(c.members, change.ID)
		return true
	}
	if old.MissingSince == 0 {
		m := *old
		m.MissingSince = max(cmp.Or(change.Since, now), 1)
		c.members[change.ID] = &m
	}
	return true
}

// expire removes servers whose entries have been missing for missingTTL, and enables the
// data centres whose disabledTTL is over. Callers hold mu.
func (c *Cache) expire(now time.Duration) bool {
	changed := false
	for name, until := range c.disabled {
		if until > 0 && now >= until {
			delete(c.disabled, name)
			changed = true
		}
	}
	for id, m := range c.members {
		if m.MissingSince > 0 && now-m.MissingSince >= c.missingTTL {
			delete(c.members, id)
			changed = true
		}
	}
	return changed
}

// nextExpiry returns when the first of the servers whose entries are missing is to be
// removed; ok is false if no entry is missing.
func (c *Cache) nextExpiry() (at time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if due := m.MissingSince + c.missingTTL; m.MissingSince > 0 && (!ok || due < at) {
			at, ok = due, true
		}
	}
	return at, ok
}

// latestByAddress returns the member of the latest incarnation at each address:
// an address is reused by a new server before the old server's entry is removed.
func (c *Cache) latestByAddress() map[string]*Member {
	at := make(map[string]*Member, len(c.members))
	for _, m := range c.members {
		if old := at[m.Address]; old == nil || old.StartedAt < m.StartedAt || old.StartedAt == m.StartedAt && old.ID < m.ID {
			at[m.Address] = m
		}
	}
	return at
}

// publish builds and stores a new View. Callers hold mu.
func (c *Cache) publish() {
	v := &View{
		Document:        c.doc,
		Members:         maps.Clone(c.members),
		Services:        make(map[string][]*Member),
		DisabledCentres: make(map[string]bool, len(c.disabled)),
	}
	for name := range c.disabled {
		v.DisabledCentres[name] = true
	}
	latest := c.latestByAddress()
	for _, id := range slices.Sorted(maps.Keys(v.Members)) {
		m := v.Members[id]
		if m.Usable() && !v.DisabledCentres[m.DataCentre] && latest[m.Address] == m {
			v.Services[m.Service] = append(v.Services[m.Service], m)
		}
	}
	c.view.Store(v)
}
