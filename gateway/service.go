package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/admit"
	"marjorampitch/fleet"
	"marjorampitch/pace"
	"marjorampitch/route"
	_ "marjorampitch/route/policies" // registers the routing policies
)

// Settings of a service's state.
const (
	pickPolicy = "leastconn"
	// skewWorst is the load of the most loaded rank, relative to the mean, under
	// a map which demand has just left.
	skewWorst = 5.0
	// stallProbe is the time after which a stalled group is tried again.
	stallProbe = 250 * time.Millisecond
)

// serverKey names one incarnation of a backend server.
type serverKey struct {
	id   string
	born int64
}

// server is what this instance knows of one backend server from its own requests.
type server struct {
	health health
	own    int // requests in flight
	sent   int // requests sent in the second that began at window
	window time.Duration
}

// service is the state of one service. mu guards all fields; no other lock is
// taken while it is held.
type service struct {
	name string
	log  *log.Logger

	mu        sync.Mutex
	picker    route.Picker
	servers   map[serverKey]*server
	budget    *admit.RetryBudget
	gate      *pace.Gate        // nil for a plain service
	groupOf   map[string]string // group of each server, by its id
	objective time.Duration     // longest pause of the streams' route
	waiters   map[*pace.Ticket]chan struct{}
	progress  map[string]time.Duration // when any stream of a group last had an event
}

func newService(name string, budget *admit.RetryBudget, logger *log.Logger) *service {
	picker, err := route.Build(pickPolicy, rand.Uint64())
	if err != nil {
		panic(err) // the policy is registered by the import above
	}
	return &service{
		name:     name,
		log:      logger,
		picker:   picker,
		servers:  make(map[serverKey]*server),
		budget:   budget,
		waiters:  make(map[*pace.Ticket]chan struct{}),
		progress: make(map[string]time.Duration),
	}
}

// costModel is what the document says of a group's passes.
func costModel(e *fleet.Engine, ranks int) pace.CostModel {
	if e == nil {
		return pace.CostModel{}
	}
	share, skew := 0.0, 1.0
	if e.Experts != nil {
		share, skew = e.Experts.StepShare, skewWorst
	}
	// A stream adds its own steps, and its prompt once in its life.
	work := float64(e.Stride) * float64(e.PerSequence)
	events := e.AnswerTokens / float64(e.Stride)
	if e.PrefillRate > 0 && events > 0 {
		work += e.PromptTokens / e.PrefillRate * float64(time.Second) / events
	}
	return pace.CostModel{
		BaseGap:         time.Duration(e.Stride) * e.Step,
		MaxStreamCost:   time.Duration(work * (1 - share + share*skew) / float64(max(ranks, 1))),
		EventsPerStream: events,
	}
}

// ungrouped is the group of servers of which no group is known.
const ungrouped = "all"

// regroup makes the gate know the groups of a service's servers. groups holds
// the group of each engine by its address. Callers hold mu.
func (s *service) regroup(members []*fleet.Member, groups map[string]string, e *fleet.Engine, objective time.Duration) {
	known := ungrouped
	for _, m := range members {
		if g := groups[m.Address]; g != "" && (known == ungrouped || g < known) {
			known = g
		}
	}
	s.groupOf = make(map[string]string, len(members))
	sizes := make(map[string]int)
	for _, m := range members {
		g := groups[m.Address]
		if g == "" {
			g = known // its entry is missing yet: it belongs to one of them
		}
		s.groupOf[m.ID] = g
		sizes[g]++
	}
	names := make([]string, 0, len(sizes))
	for name := range sizes {
		names = append(names, name)
	}
	s.gate.SetGroups(names, func(name string) *pace.CapacityEstimator {
		return pace.NewCapacityEstimator(objective, costModel(e, sizes[name]))
	})
}

// candidates lists the servers for a pick; ailing ones, that answer but fail,
// are among them if so wanted. Callers hold mu.
func (s *service) candidates(members []*fleet.Member, group string, tried []string, now time.Duration, coldLimit float64, ailing bool) []route.Candidate {
	if !s.has(group) {
		group = "" // groups have become known, or changed, since the request was admitted
	}
	list := make([]route.Candidate, 0, len(members))
	for _, m := range members {
		st := s.server(m)
		c := route.Candidate{Name: m.ID, DataCentre: m.DataCentre, OwnInFlight: st.own}
		sick := !st.health.usable(now) && (st.health.away || !ailing)
		c.Excluded = sick || contains(tried, m.ID) || group != "" && s.groupOf[m.ID] != group
		if now < m.ColdUntil {
			c.Cold = true
			c.Excluded = c.Excluded || coldLimit > 0 && st.sentWithin(now) >= coldLimit
		}
		list = append(list, c)
	}
	return list
}

// has reports whether any server belongs to a group. Callers hold mu.
func (s *service) has(group string) bool {
	for _, g := range s.groupOf {
		if g == group {
			return true
		}
	}
	return false
}

// sentWithin is the number of requests sent in the present second.
func (s *server) sentWithin(now time.Duration) float64 {
	if now-s.window >= time.Second {
		return 0
	}
	return float64(s.sent)
}

func (s *server) count(now time.Duration) {
	if now-s.window >= time.Second {
		s.window, s.sent = now, 0
	}
	s.sent++
}

func contains(list []string, x string) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}

// server returns the state of a member's incarnation. Callers hold mu.
func (s *service) server(m *fleet.Member) *server {
	key := serverKey{m.ID, m.StartedAt}
	st := s.servers[key]
	if st == nil {
		st = &server{}
		s.servers[key] = st
	}
	return st
}

// pick chooses a server for one attempt and counts it there; nil when none is
// usable. group restricts the choice, unless it is empty.
func (s *service) pick(members []*fleet.Member, group string, tried []string, now time.Duration, coldLimit float64) *fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.picker.Pick(&route.Request{}, s.candidates(members, group, tried, now, coldLimit, false))
	if !ok { // one that fails now and then is better than none
		i, ok = s.picker.Pick(&route.Request{}, s.candidates(members, group, tried, now, coldLimit, true))
	}
	if !ok {
		return nil
	}
	st := s.server(members[i])
	st.own++
	st.count(now)
	st.health.sent(now)
	return members[i]
}

// ended notes the result of an attempt at a server.
func (s *service) ended(m *fleet.Member, now time.Duration, severity float64) {
	s.mu.Lock()
	st := s.server(m)
	st.own--
	ejected, restored := st.health.result(now, severity)
	s.mu.Unlock()
	switch {
	case ejected:
		s.log.Warn("server-ejected", "server", m.ID, "service", s.name)
	case restored:
		s.log.Info("server-restored", "server", m.ID, "service", s.name)
	}
}

// unreached notes an attempt that opened no connection.
func (s *service) unreached(m *fleet.Member, now time.Duration) {
	s.mu.Lock()
	st := s.server(m)
	st.own--
	st.health.unreachable(now)
	s.mu.Unlock()
	s.log.Warn("server-unreachable", "server", m.ID, "service", s.name, "address", m.Address)
}

// misdirected notes that another server answers at a member's address.
func (s *service) misdirected(m *fleet.Member, now time.Duration) {
	s.mu.Lock()
	st := s.server(m)
	st.own--
	st.health.away = true
	st.health.eject(now, ejectLongest)
	s.mu.Unlock()
	s.log.Warn("server-replaced", "server", m.ID, "service", s.name, "address", m.Address)
}

// first counts a request's first arrival for the retry budget.
func (s *service) first() {
	s.mu.Lock()
	s.budget.Deposit()
	s.mu.Unlock()
}

// retry takes one retry from the budget.
func (s *service) retry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TryWithdraw()
}

// status describes the groups of a paced service; nil for a plain one.
func (s *service) status(now time.Duration) []pace.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate == nil {
		return nil
	}
	return s.gate.Status(now)
}

// healthOf counts members by whether they get work.
func (s *service) healthOf(members []*fleet.Member, now time.Duration) (usable, ejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range members {
		if st := s.servers[serverKey{m.ID, m.StartedAt}]; st != nil && !st.health.usable(now) {
			ejected++
		} else {
			usable++
		}
	}
	return usable, ejected
}

// forget drops the state of servers that are gone.
func (s *service) forget(view *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, st := range s.servers {
		m := view.Members[key.id]
		if (m == nil || m.StartedAt != key.born) && st.own == 0 {
			delete(s.servers, key)
		}
	}
}

// wake tells requests that were admitted. Callers hold mu.
func (s *service) wake(admitted []*pace.Ticket) {
	for _, t := range admitted {
		close(s.waiters[t])
		delete(s.waiters, t)
	}
}

// event takes a pause between two events of a stream in a group.
func (s *service) event(now time.Duration, group string, gap time.Duration) {
	s.mu.Lock()
	s.progress[group] = now
	if s.gate != nil {
		s.wake(s.gate.ObserveGap(now, group, gap))
	}
	s.mu.Unlock()
}

// began takes the time to a stream's first event.
func (s *service) began(now time.Duration, group string, d time.Duration) {
	s.mu.Lock()
	s.progress[group] = now
	if s.gate != nil {
		s.gate.ObserveFirstEvent(d)
	}
	s.mu.Unlock()
}

// leave ends an admitted stream.
func (s *service) leave(now time.Duration, t *pace.Ticket) {
	s.mu.Lock()
	s.wake(s.gate.Leave(now, t))
	s.mu.Unlock()
}

// stall notes that the group of a stream stands still.
func (s *service) stall(now time.Duration, group, at string) {
	s.mu.Lock()
	changed := s.gate != nil && s.gate.SetOpen(now, group, false, stallProbe)
	s.mu.Unlock()
	if changed {
		s.log.Warn("group-stalled", "service", s.name, "group", group, "at_server", at)
	}
}

// progressed reports whether any stream of a group had an event since.
func (s *service) progressed(group string, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress[group] > since
}
