package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// restSimConfig describes a period in which servers turn requests away and ask for rest.
type restSimConfig struct {
	shedding int           // servers that do so
	others   int           // servers that do not
	rest     time.Duration // that they ask for; 0 for none
	declines float64       // share of the requests that they turn away
	demand   float64       // requests per second at this gateway
}

// Timing of restSim.
const (
	restSimFrom     = 5 * time.Second // servers turn requests away
	restSimUntil    = 14 * time.Second
	restSimEnd      = 20 * time.Second
	restSimLearned  = time.Second // after restSimFrom, from which callers must not notice the servers
	restSimDecline  = 4 * time.Millisecond
	restSimService  = 300 * time.Millisecond
	restSimDeadline = 8 * time.Second // of callers
	restSimSettle   = 500 * time.Millisecond
	restSimAttempts = 4
)

// restSim plays a gateway that sends requests to such servers and picks the one with the
// fewest requests in flight.
type restSim struct {
	restSimConfig
	random  *rand.Rand
	now     time.Duration
	events  simEvents
	rests   *ServerRests
	servers []*restServer
	callers []*restCaller
}

type restServer struct {
	incarnation ServerIncarnation
	sheds       bool
	inFlight    int
	declined    bool            // its newest answer turned a request away
	asked       []time.Duration // when it asked for rest
	arrivals    []time.Duration
}

type restCaller struct {
	arrived time.Duration
	tried   []*restServer
	again   int             // attempts at servers whose newest answer turned a request away
	refused []time.Duration // when it was refused
	told    []time.Duration // when it returns
	served  time.Duration   // 0 for never
}

func newRestSim(c restSimConfig, seed uint64) *restSim {
	s := &restSim{restSimConfig: c, random: rand.New(rand.NewPCG(seed, 2))}
	s.rests = NewServerRests(s.random)
	for i := range c.shedding + c.others {
		s.servers = append(s.servers, &restServer{incarnation: ServerIncarnation{ID: fmt.Sprint("i-", i)}, sheds: i < c.shedding})
	}
	s.after(0, s.arrive)
	return s
}

func (s *restSim) after(d time.Duration, do func()) { heap.Push(&s.events, simEvent{s.now + d, do}) }

func (s *restSim) play() {
	for s.events.Len() > 0 && s.now < restSimEnd {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
		s.rests.Prune(s.now)
	}
}

func (s *restSim) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.demand*float64(time.Second)), s.arrive)
	c := &restCaller{arrived: s.now}
	s.callers = append(s.callers, c)
	s.attempt(c, 0)
}

// attempt plays the next attempt of a request.
func (s *restSim) attempt(c *restCaller, n int) {
	server := s.pick(c, n > 0, true)
	if server == nil {
		server = s.pick(c, n > 0, false)
	}
	if server == nil || n == restSimAttempts {
		s.refuse(c)
		return
	}
	c.tried = append(c.tried, server)
	if server.declined {
		c.again++
	}
	server.inFlight++
	server.arrivals = append(server.arrivals, s.now)
	s.rests.Sent(server.incarnation, s.now)
	if server.sheds && s.now >= restSimFrom && s.now < restSimUntil && s.random.Float64() < s.declines {
		s.after(restSimDecline, func() {
			server.inFlight--
			server.declined = true
			server.asked = append(server.asked, s.now)
			s.rests.TurnedAway(server.incarnation, s.rest, s.now)
			s.attempt(c, n+1)
		})
		return
	}
	s.after(restSimService, func() {
		server.inFlight--
		server.declined = false
		s.rests.Accepted(server.incarnation, s.now)
		c.served = s.now
	})
}

// pick returns the server with the fewest requests in flight that may get the request;
// nil for none.
func (s *restSim) pick(c *restCaller, repeat, preferred bool) (best *restServer) {
	offset := s.random.IntN(len(s.servers))
	for i := range s.servers {
		server := s.servers[(offset+i)%len(s.servers)]
		excluded := !s.rests.Allows(server.incarnation, s.now) || preferred && !s.rests.Prefers(server.incarnation, repeat, s.now)
		for _, t := range c.tried {
			excluded = excluded || t == server
		}
		if !excluded && (best == nil || server.inFlight < best.inFlight) {
			best = server
		}
	}
	return best
}

// refuse plays a refusal. The caller returns once, after the time that it is told, but
// no more than a third of what it has left.
func (s *restSim) refuse(c *restCaller) {
	servers := make([]ServerIncarnation, len(s.servers))
	for i, server := range s.servers {
		servers[i] = server.incarnation
	}
	after := s.rests.RetryAfter(servers, s.now)
	c.refused, c.told = append(c.refused, s.now), append(c.told, s.now+after)
	if len(c.refused) > 1 {
		return
	}
	left := restSimDeadline - (s.now - c.arrived)
	s.after(min(after, left/3), func() {
		c.tried = nil
		s.attempt(c, 0)
	})
}

// mostInRest returns the largest number of requests that reached the server in a rest,
// from restSimSettle after it was asked for.
func (s *restSim) mostInRest(server *restServer) (most int) {
	for _, asked := range server.asked {
		n := 0
		for _, at := range server.arrivals {
			if at > asked+restSimSettle && at < asked+s.rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Servers that ask for rest get it, and callers do not notice while others take requests.
func TestCallersAreServedBesideServersThatAskForRest(t *testing.T) {
	for _, c := range []struct {
		name   string
		config restSimConfig
	}{
		{"4 of 12", restSimConfig{shedding: 4, others: 8, rest: 3 * time.Second, declines: 1, demand: 10}},
		{"11 of 12", restSimConfig{shedding: 11, others: 1, rest: 3 * time.Second, declines: 1, demand: 10}},
		{"1 of 3", restSimConfig{shedding: 1, others: 2, rest: 3 * time.Second, declines: 1, demand: 60}},
		{"2 of 3, short rests", restSimConfig{shedding: 2, others: 1, rest: 700 * time.Millisecond, declines: 1, demand: 60}},
		{"2 of 3, rests of no length to speak of", restSimConfig{shedding: 2, others: 1, rest: time.Millisecond, declines: 1, demand: 60}},
		{"4 of 12, no rest asked for", restSimConfig{shedding: 4, others: 8, declines: 1, demand: 10}},
		{"1 of 3, no rest asked for", restSimConfig{shedding: 1, others: 2, declines: 1, demand: 60}},
		{"4 of 12, some requests", restSimConfig{shedding: 4, others: 8, rest: 3 * time.Second, declines: 0.3, demand: 10}},
		{"30 of 90", restSimConfig{shedding: 30, others: 60, rest: 3 * time.Second, declines: 1, demand: 200}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newRestSim(c.config, seed)
				s.play()
				for i, server := range s.servers {
					assert.LessOrEqual(t, s.mostInRest(server), 2, "seed %d: requests to server %d in a rest", seed, i)
				}
				for _, caller := range s.callers {
					if caller.arrived < restSimFrom+restSimLearned || caller.arrived > restSimEnd-time.Second {
						continue
					}
					assert.Empty(t, caller.refused, "seed %d: refused although a server takes requests", seed)
					assert.LessOrEqual(t, caller.again, 1, "seed %d: attempts at servers that turn requests away", seed)
				}
			}
		})
	}
}

// While all servers rest, callers are refused without an attempt, and those that wait as
// told are served.
func TestCallersReturnWhenAllServersHaveRested(t *testing.T) {
	const rest = 1500 * time.Millisecond
	for seed := range uint64(5) {
		s := newRestSim(restSimConfig{shedding: 3, rest: rest, declines: 1, demand: 40}, seed)
		s.play()
		for i, server := range s.servers {
			assert.LessOrEqual(t, s.mostInRest(server), 2, "seed %d: requests to server %d in a rest", seed, i)
		}
		lastAsked := time.Duration(0)
		for _, server := range s.servers {
			lastAsked = max(lastAsked, server.asked[len(server.asked)-1])
		}
		tried, served := 0, 0
		for _, caller := range s.callers {
			if len(caller.refused) == 0 || caller.refused[0] < restSimFrom+restSimLearned {
				continue
			}
			if len(caller.tried) > 0 && len(caller.refused) > 1 {
				tried++
			}
			if caller.told[0] >= lastAsked+rest {
				assert.Len(t, caller.refused, 1, "seed %d: refused again after the rests", seed)
				served++
			}
		}
		assert.Positive(t, served)
		t.Log("seed", seed, "callers that tried a server and were refused", tried, "served after the last rest", served)
	}
}
