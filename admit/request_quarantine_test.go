package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"marjorampitch/wire"
)

// overlapSim sends copies of one request, at fixed intervals, to gateways drawn at
// random. Each copy goes to one of three servers, which crashes under it.
type overlapSim struct {
	random   *rand.Rand
	interval time.Duration // between two copies
	now      time.Duration
	gateways []*PartQuarantine
	servers  [3]overlapServer
	runs     []overlapRun
	reports  []overlapReport
	others   uint64 // requests with other fingerprints
	sound    bool   // servers answer the copies once two have crashed for other reasons
	crashes  []time.Duration
	refused  time.Duration // when a copy was last refused
	late     int           // copies that reached a server later than overlapStable after the third crash
}

// overlapServer is a server; startedAt is its present or next incarnation.
type overlapServer struct {
	downUntil time.Duration
	startedAt int64
}

// overlapRun is a copy that a server runs.
type overlapRun struct {
	sent, until time.Duration
	gateway     int
	server      int
	startedAt   int64
}

// overlapReport is evidence on its way to a gateway.
type overlapReport struct {
	at       time.Duration
	gateway  int
	evidence []wire.PartEvidence
}

const (
	overlapWork    = 60 * time.Millisecond // of a copy until its server crashes
	overlapDetect  = time.Millisecond      // until the crash is confirmed
	overlapDown    = 4 * time.Second       // of a server
	overlapStable  = 3 * time.Second
	overlapDay     = 30 * time.Second
	overlapLimit   = 3                     // copies that may arrive late
	overlapOthers  = 4                     // other requests for each copy
	overlapReports = 45 * time.Millisecond // between two reports of a gateway
	overlapTransit = 2 * time.Millisecond  // of a report
)

var overlapFeatures = []uint64{badPart}

func newOverlapSim(gateways int, interval time.Duration, seed uint64, inUse bool) *overlapSim {
	s := &overlapSim{random: rand.New(rand.NewPCG(seed, 5)), interval: interval}
	names := make([]string, gateways)
	for i := range names {
		names[i] = fmt.Sprint("gateway-", i)
	}
	for _, name := range names {
		q := NewRequestQuarantine()
		q.SetGateways(name, names)
		if inUse {
			q.Started(overlapFeatures, ServerIncarnation{}, 0)
		}
		s.gateways = append(s.gateways, q)
	}
	return s
}

// play plays one day in steps of a millisecond.
func (s *overlapSim) play() {
	for s.now = time.Second; s.now < overlapDay; s.now += time.Millisecond {
		s.exchange()
		s.endRuns()
		if s.now%s.interval == 0 {
			s.send()
		}
	}
}

// exchange sends the gateways' evidence to each other.
func (s *overlapSim) exchange() {
	for len(s.reports) > 0 && s.reports[0].at <= s.now {
		s.gateways[s.reports[0].gateway].Merge(s.reports[0].evidence, s.now)
		s.reports = s.reports[1:]
	}
	for i, q := range s.gateways {
		if (s.now+time.Duration(i)*overlapReports/time.Duration(len(s.gateways)))%overlapReports >= time.Millisecond {
			continue
		}
		evidence := q.Evidence(s.now)
		for j := range s.gateways {
			if j != i && len(evidence) > 0 {
				s.reports = append(s.reports, overlapReport{s.now + overlapTransit, j, evidence})
			}
		}
	}
}

// endRuns crashes the servers whose copies have run for overlapWork.
func (s *overlapSim) endRuns() {
	s.runs = slices.DeleteFunc(s.runs, func(r overlapRun) bool {
		if r.until > s.now {
			return false
		}
		server, q, id := &s.servers[r.server], s.gateways[r.gateway], fmt.Sprint(r.server)
		q.End(overlapFeatures)
		switch up := server.startedAt == r.startedAt; {
		case up && s.sound && len(s.crashes) >= 2:
			q.Started(overlapFeatures, ServerIncarnation{ID: id, StartedAt: r.startedAt}, s.now)
			return true
		case up:
			s.crashes = append(s.crashes, s.now)
			*server = overlapServer{s.now + overlapDown, r.startedAt + 1}
		}
		q.Broke(overlapFeatures, ServerIncarnation{ID: id, StartedAt: r.startedAt}, r.sent, s.now)
		q.ServerDown(id, s.now+overlapDetect)
		return true
	})
}

// send plays the arrival of a copy, among other requests, at a gateway.
func (s *overlapSim) send() {
	gateway := s.random.IntN(len(s.gateways))
	q := s.gateways[gateway]
	for range overlapOthers {
		s.others++
		q.Arrived([]uint64{otherPart + s.others}, s.now)
	}
	q.Arrived(overlapFeatures, s.now)
	if _, refuse := q.Check(overlapFeatures, s.now); refuse {
		s.refused = s.now
		return
	}
	for _, i := range s.random.Perm(len(s.servers)) {
		server := s.servers[i]
		if s.now < server.downUntil {
			continue
		}
		if !q.Begin(overlapFeatures, s.now) {
			s.refused = s.now
			return
		}
		if len(s.crashes) >= 3 && s.now > s.crashes[2]+overlapStable {
			s.late++
		}
		until := s.now + overlapWork
		for _, r := range s.runs {
			if r.server == i && r.startedAt == server.startedAt {
				until = min(until, r.until) // the server crashes under an earlier copy
			}
		}
		s.runs = append(s.runs, overlapRun{s.now, until, gateway, i, server.startedAt})
		return
	}
}

// Copies of a crashing request that overlap must not end more servers than copies one by one.
func TestOverlappingCopiesOfCrashingRequestAreContained(t *testing.T) {
	for _, gateways := range []int{1, 5, 30} {
		for _, inUse := range []bool{false, true} {
			for _, interval := range []time.Duration{10, 50, 65, 100, 400} {
				interval *= time.Millisecond
				t.Run(fmt.Sprint(gateways, " gateways, in use ", inUse, ", every ", interval), func(t *testing.T) {
					for seed := range uint64(3) {
						s := newOverlapSim(gateways, interval, seed, inUse)
						s.play()
						assert.NotEmpty(t, s.crashes)
						assert.LessOrEqual(t, s.late, overlapLimit, "late arrivals, seed %d; %d servers ended", seed, len(s.crashes))
						t.Log("seed", seed, "-", len(s.crashes), "servers ended,", s.late, "late")
					}
				})
			}
		}
	}
}

// A request that two crashes have hit by chance must be served again soon, by all gateways.
func TestSuspectedSoundRequestIsServedAgain(t *testing.T) {
	for _, gateways := range []int{1, 5} {
		for seed := range uint64(5) {
			s := newOverlapSim(gateways, 50*time.Millisecond, seed, true)
			s.sound = true
			s.play()
			assert.Len(t, s.crashes, 2)
			assert.Less(t, s.refused-s.crashes[1], 2*requestTurn, "%d gateways, seed %d", gateways, seed)
		}
	}
}

// Copies of a request that a server answers run side by side.
func TestCopiesOfSoundRequestOverlap(t *testing.T) {
	q, features := NewRequestQuarantine(), []uint64{badPart}
	crashPart(q, features, "a", 0, time.Second)
	assert.True(t, q.Begin(features, time.Second))
	assert.True(t, q.Begin(features, time.Second), "one crash is no reason to run alone")
	crashPart(q, features, "b", time.Second, time.Second)
	assert.False(t, q.Begin(features, time.Second), "two crashes, and copies in flight")
	q.Started(features, ServerIncarnation{ID: "c"}, 2*time.Second)
	assert.True(t, q.Begin(features, 2*time.Second), "the request has had an answer")
	for range 3 {
		q.End(features)
	}
	assert.Empty(t, q.running)
}
