package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/admit"
	"marjorampitch/cost"
	"marjorampitch/fleet"
	"marjorampitch/route"
	"marjorampitch/wire"
)

// stateSlowness records how slow the engine is that a report on a group names. members
// are the usable servers of the service.
func (s *service) stateSlowness(members []*fleet.Member, x *wire.GroupState, now time.Duration) {
	if x.Engine == "" || x.Slowness == 0 {
		return
	}
	for _, m := range members {
		if m.Address != x.Engine {
			continue
		}
		s.mu.Lock()
		c, changed := s.costs.slowness.State(costServer(m), float64(x.Slowness), now)
		s.mu.Unlock()
		if changed {
			s.logSlowness(c, statedSource)
		}
		return
	}
}

// expireSlowness forgets what servers have stated too long ago, and servers that are gone.
func (s *service) expireSlowness(view *fleet.View, now time.Duration) {
	gone := func(x cost.Server) bool {
		m := view.Members[x.ID]
		return m == nil || m.StartedAt != x.StartedAt
	}
	s.mu.Lock()
	changes := s.costs.slowness.Expire(now, gone)
	ended := s.speeds.Prune(now, func(x admit.ServerIncarnation) bool { return gone(cost.Server(x)) })
	s.mu.Unlock()
	for _, c := range changes {
		s.logSlowness(c, statedSource)
	}
	for _, x := range ended {
		s.logSlowness(cost.SlownessChange{Server: cost.Server(x), Factor: 1}, answersSource)
	}
}

// answered records the time of a server's complete answer to a request that was sent at
// the given time.
func (s *service) answered(m *fleet.Member, route string, sent, now time.Duration) {
	s.observeWork(m, "route "+route, now-sent, now)
}

// observeWork compares the time that a server has needed for work of a kind with that of
// the other servers.
func (s *service) observeWork(m *fleet.Member, kind string, took, now time.Duration) {
	x := incarnationOf(m)
	s.mu.Lock()
	changed := s.speeds.Answered(x, kind, took, now)
	c := cost.SlownessChange{Server: costServer(m)}
	if changed {
		c.Factor, c.Slow = s.speeds.Estimate(x, now), s.speeds.IsSlow(x)
	}
	s.mu.Unlock()
	if changed {
		s.logSlowness(c, answersSource)
	}
}

const (
	// streamsWork names the work of streams at servers that make their passes alone.
	streamsWork = "streams"
	// comparedInterval is the least time between two pauses of streams at a server that
	// are compared. Pauses of the same pass say the same.
	comparedInterval = 100 * time.Millisecond
)

// observeStreamSpeed records the pause between two events of a stream. Servers whose
// group is known are left out: they make their passes together with others.
func (s *service) observeStreamSpeed(m *fleet.Member, pause, now time.Duration) {
	s.mu.Lock()
	st := s.stateOf(m)
	if s.listed[m.ID] != "" || now-st.comparedAt < comparedInterval {
		s.mu.Unlock()
		return
	}
	st.comparedAt = now
	step := s.costs.stepAtLoad(m)
	s.mu.Unlock()
	s.observeWork(m, streamsWork, time.Duration(float64(pause)/step), now)
}

// stepAtLoad returns the duration of a step of a server with its present requests relative
// to one without; 1 if that is not known.
func (s *serverCosts) stepAtLoad(m *fleet.Member) float64 {
	if !s.model.Known() || s.model.Step <= 0 {
		return 1
	}
	running := min(s.ledger.Total(costServer(m)).Requests, s.model.Slots)
	return 1 + float64(running)*float64(s.model.PerSequence)/float64(s.model.Step)
}

// Sources of what is known of a server's speed, in log lines.
const (
	statedSource  = "stated"
	answersSource = "answers" // their times relative to those of the other servers
)

// logSlowness logs that a server begins or ends to count as slow.
func (s *service) logSlowness(c cost.SlownessChange, source string) {
	message, level := "server-slow-ended", log.InfoLevel
	if c.Slow {
		message, level = "server-slow", log.WarnLevel
	}
	s.log.Log(level, message, "server", c.Server.ID, "started_at", c.Server.StartedAt, "service", s.name,
		"by", source, "factor", math.Round(c.Factor*100)/100, "age_ms", c.Age.Milliseconds())
}

// slownessOf returns the factor by which a server is slower than usual, as stated or by its
// answers; 1 if it is not known to be. Callers hold mu.
func (s *service) slownessOf(m *fleet.Member, now time.Duration) float64 {
	return max(s.costs.slowness.Factor(costServer(m), now), s.speeds.Factor(incarnationOf(m), now))
}

const (
	// movedFactor is the stated slowness from which streams are moved from a rank.
	movedFactor = 2.0
	// maxMovedShare is the largest part of a group's ranks from which streams are moved.
	// With more slow ranks the others have no room for their streams, and the group stays
	// slow if some cannot be moved.
	maxMovedShare = 1.0 / 8
)

// holdsUpGroup reports whether a server is a rank so slow that the streams at it are to go
// on at others of its group, and one of these has a slot and the memory for the request:
// each pass of the group lasts as long as the base step of a slow rank that has a stream.
// A stream that has all its tokens only has to end.
func (s *service) holdsUpGroup(m *fleet.Member, members []*fleet.Member, tried []string, now time.Duration, cold coldPolicy, x *requestCost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.listed[m.ID]
	if group == "" || s.costs.slowness.Factor(costServer(m), now) < movedFactor || s.costs.written(x) {
		return false
	}
	ranks, slow := 0, 0
	for _, o := range members {
		if s.listed[o.ID] != group {
			continue
		}
		ranks++
		if s.costs.slowness.Factor(costServer(o), now) >= movedFactor {
			slow++
		}
	}
	if float64(slow) > maxMovedShare*float64(ranks) {
		return false
	}
	list, request := s.candidates(members, group, tried, now, cold, preferredServers), &route.Request{}
	if s.costs.applies(x) {
		s.costs.describe(list, members, x)
		s.costs.describeMemory(list, members) // the stream can stay where it is
		request.Memory = s.costs.estimate(x).Memory()
	}
	return slices.ContainsFunc(list, func(c route.Candidate) bool {
		return c.Usable() && !c.Full() && c.Fits(request) && c.Slow() < cost.SlowFactor
	})
}

// countSlow returns the number of servers that count as slow.
func (s *service) countSlow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.costs.slowness.Slow() + s.speeds.Slow()
}
