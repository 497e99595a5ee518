package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/admit"
	"marjorampitch/cost"
	"marjorampitch/fleet"
	"marjorampitch/pace"
	"marjorampitch/route"
	_ "marjorampitch/route/policies" // registers the routing policies
)

// Settings of services.
const (
	routingPolicy = "leastconn"
	// maxSkew is the load of the most loaded rank relative to the mean under an
	// expert map that no longer fits the demand.
	maxSkew = 5.0
	// stallRetryInterval is the time after which a stalled group is tried again.
	stallRetryInterval = 250 * time.Millisecond
)

// serverKey identifies one incarnation of a backend server.
type serverKey struct {
	id        string
	startedAt int64
}

// serverState is what this instance has observed of one backend server by its
// own requests.
type serverState struct {
	health     health
	inFlight   int             // requests in flight
	failedAt   time.Duration   // last attempt without a complete response; 0 for none
	recentSent []time.Duration // when requests were sent, at least those of the last second
	comparedAt time.Duration   // last pause of a stream that was compared with those of other servers
}

// service is the state of one service. mu guards the fields below it; Directory.mu
// may be taken while it is held.
type service struct {
	name       string
	log        *log.Logger
	statements *serverStatements

	mu        sync.Mutex
	picker    route.Picker
	servers   map[serverKey]*serverState
	budget    *admit.RetryBudget
	gate      *pace.Gate        // nil for a plain service
	groupOf   map[string]string // group by server id; guessed for servers that are not in listed
	listed    map[string]string // group by server id, of the servers in the directory
	objective time.Duration     // objective for the gaps between events, of the streams' route
	waiters   map[*pace.Ticket]chan struct{}
	activity  groupActivity // by activityKey
	interval  gateInterval  // since the last line on the gate
	costs     serverCosts
	speeds    *admit.ServerSpeeds // by the answers to this instance
}

func newService(name string, budget *admit.RetryBudget, statements *serverStatements, logger *log.Logger) *service {
	picker, err := route.Build(routingPolicy, rand.Uint64())
	if err != nil {
		panic(err) // the policy is registered by the import above
	}
	return &service{
		name:       name,
		log:        logger,
		statements: statements,
		picker:     picker,
		servers:    make(map[serverKey]*serverState),
		budget:     budget,
		waiters:    make(map[*pace.Ticket]chan struct{}),
		activity:   make(groupActivity),
		costs:      newServerCosts(),
		speeds:     admit.NewServerSpeeds(rand.New(rand.NewPCG(rand.Uint64(), 0))),
	}
}

// costModel returns the cost model of a group with this number of ranks.
func costModel(e *fleet.Engine, ranks int) pace.CostModel {
	if e == nil {
		return pace.CostModel{}
	}
	share, skew := 0.0, 1.0
	if e.Experts != nil {
		share, skew = e.Experts.StepShare, maxSkew
	}
	// A stream costs its own steps, and its prompt once.
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

// defaultGroup is the group of all servers while no group is known.
const defaultGroup = "all"

// updateGroups assigns the servers of the service to rank groups and passes the
// groups to the gate. groups holds the group of each engine by address. Callers
// hold mu.
func (s *service) updateGroups(members []*fleet.Member, groups map[string]string, e *fleet.Engine, objective time.Duration) {
	fallback := defaultGroup
	for _, m := range members {
		if g := groups[m.Address]; g != "" && (fallback == defaultGroup || g < fallback) {
			fallback = g
		}
	}
	s.groupOf = make(map[string]string, len(members))
	s.listed = make(map[string]string, len(members))
	sizes := make(map[string]int)
	for _, m := range members {
		g := groups[m.Address]
		if g == "" {
			g = fallback // not in the directory yet: assume one of the known groups
		} else {
			s.listed[m.ID] = g
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

// serverTier is a set of servers among which one is chosen. Each tier includes the one
// before it, and is used if no server of that one can take the request.
type serverTier int

// Values of serverTier.
const (
	preferredServers serverTier = iota // those that seem to accept requests
	decliningServers                   // and those that have turned one away and accepted none since
	failingServers                     // and ejected ones that are reachable
	serverTiers
)

// candidates lists the servers of a tier for the routing policy. Callers hold mu.
func (s *service) candidates(members []*fleet.Member, group string, tried []string, now time.Duration, cold coldPolicy, tier serverTier) []route.Candidate {
	if !s.hasGroup(group) {
		group = "" // the groups have changed since the request was admitted
	}
	excluded := s.statements.excluded(members, tier >= decliningServers, len(tried) > 0, now)
	list := make([]route.Candidate, 0, len(members))
	for i, m := range members {
		st := s.stateOf(m)
		c := route.Candidate{Name: m.ID, DataCentre: m.DataCentre, OwnInFlight: st.inFlight, Slowness: s.slownessOf(m, now)}
		unhealthy := !st.health.usable(now) && (st.health.absent || tier < failingServers)
		c.Excluded = unhealthy || slices.Contains(tried, m.ID) || group != "" && s.groupOf[m.ID] != group
		if cold.cacheNow < m.ColdUntil || st.mayBeCold(cold) {
			c.Cold = true
			c.Excluded = c.Excluded || cold.perSecond > 0 && st.sentLastSecond(now) >= cold.perSecond
		}
		c.Excluded = c.Excluded || excluded != nil && excluded[i]
		list = append(list, c)
	}
	return list
}

// hasGroup reports whether any server belongs to a group. Callers hold mu.
func (s *service) hasGroup(group string) bool {
	for _, g := range s.groupOf {
		if g == group {
			return true
		}
	}
	return false
}

// sentLastSecond returns the number of requests sent in the last second.
func (s *serverState) sentLastSecond(now time.Duration) float64 {
	s.dropSent(now)
	return float64(len(s.recentSent))
}

// recordSent records that a request is being sent.
func (s *serverState) recordSent(now time.Duration) {
	s.dropSent(now)
	s.recentSent = append(s.recentSent, now)
}

// dropSent drops the requests that were sent more than a second ago.
func (s *serverState) dropSent(now time.Duration) {
	n := 0
	for n < len(s.recentSent) && now-s.recentSent[n] >= time.Second {
		n++
	}
	s.recentSent = slices.Delete(s.recentSent, 0, n)
}

// stateOf returns the state of a member's incarnation. Callers hold mu.
func (s *service) stateOf(m *fleet.Member) *serverState {
	key := serverKey{m.ID, m.StartedAt}
	st := s.servers[key]
	if st == nil {
		st = &serverState{}
		s.servers[key] = st
	}
	return st
}

// pick chooses a server for one attempt and counts the attempt as in flight; nil
// when no server is usable. A non-empty group restricts the choice to its servers.
func (s *service) pick(members []*fleet.Member, group string, tried []string, now time.Duration, cold coldPolicy) *fleet.Member {
	return s.pickByCost(members, group, tried, now, cold, nil)
}

// pickByCost is pick for a request whose cost may be known.
func (s *service) pickByCost(members []*fleet.Member, group string, tried []string, now time.Duration, cold coldPolicy, x *requestCost) *fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	picker, request := s.picker, &route.Request{}
	var estimate cost.Estimate
	byCost := s.costs.applies(x)
	if byCost {
		s.costs.ledger.Expire(now)
		estimate = s.costs.estimate(x)
		picker, request.Memory, request.Work = s.costs.picker, estimate.Memory(), s.costs.due(estimate)
	}
	i, ok, slowness := -1, false, 0.0
	for tier := preferredServers; tier < serverTiers && !ok; tier++ {
		list := s.candidates(members, group, tried, now, cold, tier)
		if byCost {
			s.costs.describe(list, members, x)
		}
		if i, ok = picker.Pick(request, list); ok {
			slowness = list[i].Slow()
		}
		if !ok && tier >= decliningServers && slices.ContainsFunc(list, func(c route.Candidate) bool { return c.Usable() }) {
			break // they have no memory for it now; ejected servers are no better
		}
	}
	if !ok {
		return nil
	}
	if byCost {
		s.costs.begin(x, members[i], estimate, slowness)
	}
	st := s.stateOf(members[i])
	st.inFlight++
	st.recordSent(now)
	st.health.requestSent(now)
	s.speeds.Sent(incarnationOf(members[i]), now)
	s.statements.sent(members[i], now)
	return members[i]
}

// hasCandidate reports whether pickByCost could choose a server with these arguments.
func (s *service) hasCandidate(members []*fleet.Member, group string, tried []string, now time.Duration, cold coldPolicy, x *requestCost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := &route.Request{}
	byCost := s.costs.applies(x)
	if byCost {
		s.costs.ledger.Expire(now)
		request.Memory = s.costs.estimate(x).Memory()
	}
	for tier := decliningServers; tier < serverTiers; tier++ {
		list := s.candidates(members, group, tried, now, cold, tier)
		if byCost {
			s.costs.describe(list, members, x)
		}
		if slices.ContainsFunc(list, func(c route.Candidate) bool { return c.Usable() }) {
			return slices.ContainsFunc(list, func(c route.Candidate) bool { return c.Usable() && c.Fits(request) })
		}
	}
	return false
}

// attemptEnded records the result of an attempt.
func (s *service) attemptEnded(m *fleet.Member, now time.Duration, severity float64) {
	s.mu.Lock()
	st := s.stateOf(m)
	st.inFlight--
	if severity == severityFailed {
		st.failedAt = now
	}
	ejected, restored := st.health.requestEnded(now, severity)
	s.mu.Unlock()
	switch {
	case ejected:
		s.log.Warn("server-ejected", "server", m.ID, "service", s.name)
	case restored:
		s.log.Info("server-restored", "server", m.ID, "service", s.name)
	}
}

// attemptCancelled records the end of an attempt that was cancelled before its server had
// answered, which says nothing about the server.
func (s *service) attemptCancelled(m *fleet.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(m)
	st.inFlight--
	st.health.probing = false
}

// dialFailed records an attempt that could not open a connection.
func (s *service) dialFailed(m *fleet.Member, now time.Duration) {
	s.mu.Lock()
	st := s.stateOf(m)
	st.inFlight--
	st.failedAt = now
	st.health.dialFailed(now)
	s.mu.Unlock()
	s.log.Warn("server-unreachable", "server", m.ID, "service", s.name, "address", m.Address)
}

// misdirected records that another server answers at the address of m.
func (s *service) misdirected(m *fleet.Member, now time.Duration) {
	s.mu.Lock()
	st := s.stateOf(m)
	st.inFlight--
	st.health.absent = true
	st.health.eject(now, maxEjection)
	s.mu.Unlock()
	s.log.Warn("server-replaced", "server", m.ID, "service", s.name, "address", m.Address)
}

// depositRetry counts a request's first attempt towards the retry budget.
func (s *service) depositRetry() {
	s.mu.Lock()
	s.budget.Deposit()
	s.mu.Unlock()
}

// takeRetry withdraws one retry from the budget and reports whether there was one.
func (s *service) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TryWithdraw()
}

// status returns the state of each group; nil for a service without a gate.
func (s *service) status(now time.Duration) []pace.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate == nil {
		return nil
	}
	return s.gate.Status(now)
}

// countHealth counts the members that are usable and those that are ejected.
func (s *service) countHealth(members []*fleet.Member, now time.Duration) (usable, ejected int) {
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

// prune drops the state of server incarnations that are gone.
func (s *service) prune(view *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, st := range s.servers {
		m := view.Members[key.id]
		if m == nil || m.StartedAt != key.startedAt {
			s.costs.prune(key)
		}
		if (m == nil || m.StartedAt != key.startedAt) && st.inFlight == 0 {
			delete(s.servers, key)
		}
	}
}

// wake wakes waiting requests that were admitted or have lost their places. Callers
// hold mu.
func (s *service) wake(tickets []*pace.Ticket) {
	for _, t := range tickets {
		close(s.waiters[t])
		delete(s.waiters, t)
	}
}

// refuseWaiting wakes all waiting requests, whose places are cancelled, and returns their
// number.
func (s *service) refuseWaiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := slices.Collect(maps.Keys(s.waiters))
	for _, t := range waiting {
		s.gate.Cancel(t)
	}
	s.wake(waiting)
	return len(waiting)
}

// activityKey returns the key in activity of a server's streams: its rank group, or
// the server alone while its group is not known. Callers hold mu.
func (s *service) activityKey(server string) string {
	if g, ok := s.listed[server]; ok {
		return groupActivityKey(g)
	}
	return "server " + server
}

// observeGap records the pause between two events of a stream at a server. group is
// the one to which the stream was admitted.
func (s *service) observeGap(now time.Duration, group, server string, gap time.Duration) {
	s.mu.Lock()
	s.activity.event(s.activityKey(server), now)
	s.interval.pause(gap)
	if s.gate != nil {
		s.wake(s.gate.ObserveGap(now, group, gap))
	}
	s.mu.Unlock()
}

// observeFirstEvent records the time from sending a request to its first event.
func (s *service) observeFirstEvent(now time.Duration, server string, d time.Duration) {
	s.mu.Lock()
	s.activity.event(s.activityKey(server), now)
	if s.gate != nil {
		s.gate.ObserveFirstEvent(d)
	}
	s.mu.Unlock()
}

// release ends the admission of a stream.
func (s *service) release(now time.Duration, t *pace.Ticket) {
	s.mu.Lock()
	s.wake(s.gate.Release(now, t))
	s.mu.Unlock()
}

// markStalled records that a server refused a request because its group has
// stalled. at names the server at fault.
func (s *service) markStalled(now time.Duration, group, at string) {
	s.mu.Lock()
	changed := s.gate != nil && s.gate.SetOpen(now, group, false, stallRetryInterval)
	s.mu.Unlock()
	if changed {
		s.log.Warn("group-stalled", "service", s.name, "group", group, "at_server", at)
	}
}

// activeFor reports whether other streams of the server's group have had events for d
// without a pause.
func (s *service) activeFor(server string, d, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activity.activeFor(s.activityKey(server), d, now)
}
