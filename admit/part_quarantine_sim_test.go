package admit

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"marjorampitch/wire"
)

// Timing and sizes of partSim.
const (
	partSimTick         = 50 * time.Millisecond   // between two datagrams of a gateway to a peer
	partSimKeepalive    = time.Second             // after which a gateway sends a datagram without evidence
	partSimTransit      = 20 * time.Millisecond   // largest delay of a message
	partSimLate         = time.Second             // largest delay of a repeated datagram
	partSimStall        = 1500 * time.Millisecond // until the ranks of a stalled group turn requests away
	partSimForm         = time.Second             // until a group opens after its last rank is back
	partSimStale        = 300 * time.Millisecond  // until all gateways know that a group has stopped
	partSimPoll         = 250 * time.Millisecond  // between two looks of a waiting request for an open group
	partSimMaxWait      = 3 * time.Second         // of a request for an open group
	partSimLoss         = 30                      // lost datagrams, in per cent
	partSimStable       = 3 * time.Second         // after the fifth crash, until which requests with the bad part do not count
	partSimBadCrashes   = 5                       // crashes from which requests with the bad part are counted
	partSimMaxLate      = 3                       // most requests with the bad part after that
	partSimMaxRefused   = 20                      // one in so many sound requests may be refused on a day with a bad part
	partSimMinSound     = 20                      // fewest sound requests of which a share is taken
	partSimTenants      = 10                      // callers
	partSimSession      = 4                       // requests of a session
	partSimSessionPause = 4 * time.Second         // longest time between two requests of a session
)

// partSimConfig describes one simulated day.
type partSimConfig struct {
	gateways   int
	groups     []int // number of servers by group
	rate       int   // sound requests a second
	badRate    int   // requests with the bad part a second; 0 for none
	badFrom    time.Duration
	usedBefore bool          // sound requests carry the bad part, too, until it turns bad
	badFirst   bool          // requests with the bad part overtake all others at a server
	restarts   bool          // gateways restart
	openFrom   time.Duration // when the groups open
	massCrash  []time.Duration
	flapping   bool          // servers crash for other reasons
	resetEvery time.Duration // mean time between two resets of a server's connections without a crash; 0 for none
	refusals   bool          // servers refuse connections at some of the resets
	grey       bool          // some servers break off half of their requests
}

// partMutation disables one mechanism.
type partMutation struct {
	noExchange, sentOnce, noStarts, unconfirmed, noRefutation, noEpisodes, noArrivals, allRepeats, acceptLate bool
}

type partRequest struct {
	parts        []uint64
	bad          bool
	arrivedAt    time.Duration
	gateway      *partGateway
	generation   int // of the gateway
	server       *partServer
	startedAt    int64 // incarnation of the server
	sentAt       time.Duration
	attempts     int
	clientRepeat bool
	done         func(begun bool)
}

type partGateway struct {
	name       string
	q          *PartQuarantine
	late       DelayFilter
	generation int           // increases with each restart
	reportedAt time.Duration // of the last datagram
	sent       map[[2]uint64]bool
}

type partServer struct {
	name      string
	group     *partGroup
	startedAt int64
	upFrom    time.Duration
	grey      bool
	runs      map[int]*partRequest // requests without an answer, by number
}

type partGroup struct {
	stoppedAt time.Duration // by the newest crash
	openFrom  time.Duration
	crashed   *partServer // that has stopped the group
	servers   []*partServer
}

// partSim simulates callers, gateways and servers in rank groups. Requests with the
// bad part crash every server that begins to answer them, which stops the group.
type partSim struct {
	config   partSimConfig
	mutation partMutation
	source   *rand.Rand
	faults   *rand.Rand // draws the faults, so that days with and without a bad part have the same
	now      time.Duration
	events   partEvents
	runs     int

	gateways []*partGateway
	servers  []*partServer
	groups   []*partGroup
	unique   uint64 // last part used only once

	crashes      []time.Duration // under requests with the bad part
	reached      []time.Duration // when requests with the bad part reached servers
	sound        []*partOutcome
	badRefused   int
	soundRefused int // refused because of a part
	wrongParts   map[uint64]bool
}

// partOutcome is what the caller of a sound request got.
type partOutcome struct {
	at    time.Duration
	first bool // the answer began at the first attempt
	begun bool
}

type partEvents []event

func (e partEvents) Len() int           { return len(e) }
func (e partEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e partEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *partEvents) Push(x any)        { *e = append(*e, x.(event)) }
func (e *partEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newPartSim(config partSimConfig, mutation partMutation, seed uint64) *partSim {
	sim := &partSim{config: config, mutation: mutation, source: rand.New(rand.NewPCG(seed, 5)), faults: rand.New(rand.NewPCG(seed, 6)), unique: 1 << 32, wrongParts: map[uint64]bool{}}
	for i := range config.gateways {
		g := &partGateway{name: fmt.Sprint("gateway-", i)}
		sim.restart(g)
		sim.gateways = append(sim.gateways, g)
	}
	for _, size := range config.groups {
		g := &partGroup{openFrom: config.openFrom, stoppedAt: -partSimStale}
		for range size {
			s := &partServer{name: fmt.Sprint("server-", len(sim.servers)), group: g, runs: map[int]*partRequest{}}
			s.grey = config.grey && len(sim.servers)%5 == 0
			sim.servers = append(sim.servers, s)
			g.servers = append(g.servers, s)
		}
		sim.groups = append(sim.groups, g)
	}
	return sim
}

func (sim *partSim) after(d time.Duration, do func()) { heap.Push(&sim.events, event{sim.now + d, do}) }

// between draws a duration.
func (sim *partSim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.source.Int64N(int64(most-least)+1))
}

// every calls do at random intervals with the given mean.
func (sim *partSim) every(source *rand.Rand, mean time.Duration, do func()) {
	interval := mean/10 + time.Duration(source.Int64N(int64(2*mean-mean/5)))
	sim.after(interval, func() {
		do()
		sim.every(source, mean, do)
	})
}

// run simulates a day.
func (sim *partSim) run(length time.Duration) {
	sim.every(sim.source, time.Second/time.Duration(sim.config.rate), sim.newSession)
	if sim.config.badRate > 0 {
		sim.after(sim.config.badFrom, func() {
			sim.every(sim.source, time.Second/time.Duration(sim.config.badRate), sim.newBadRequest)
		})
	}
	for i := range sim.gateways {
		sim.after(sim.between(0, partSimTick), func() { sim.exchange(i) })
	}
	sim.scheduleFaults()
	for len(sim.events) > 0 && sim.events[0].at <= length {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
}

func (sim *partSim) scheduleFaults() {
	if sim.config.restarts {
		sim.every(sim.faults, 10*time.Second, func() { sim.restart(sim.gateways[sim.faults.IntN(len(sim.gateways))]) })
	}
	for _, at := range sim.config.massCrash {
		sim.after(at, sim.crashAll)
	}
	if sim.config.flapping {
		sim.every(sim.faults, 8*time.Second, func() { sim.crash(sim.servers[sim.faults.IntN(len(sim.servers))]) })
	}
	if sim.config.resetEvery > 0 {
		sim.every(sim.faults, sim.config.resetEvery, func() { sim.reset(sim.servers[sim.faults.IntN(len(sim.servers))]) })
	}
}

// restart replaces a gateway by one that knows nothing.
func (sim *partSim) restart(g *partGateway) {
	*g = partGateway{name: g.name, q: NewPartQuarantine(), generation: g.generation + 1, sent: map[[2]uint64]bool{}}
}

// exchange sends a gateway's evidence to its peers, now and again.
func (sim *partSim) exchange(from int) {
	sim.after(partSimTick, func() { sim.exchange(from) })
	g := sim.gateways[from]
	evidence := g.q.Evidence(sim.now)
	if sim.mutation.sentOnce {
		evidence = g.unsent(evidence)
	}
	idle := len(evidence) == 0 && sim.now < g.reportedAt+partSimKeepalive
	if idle || sim.mutation.noExchange {
		return
	}
	g.reportedAt = sim.now
	sentAt, generation := sim.now, int64(g.generation)
	for i, peer := range sim.gateways {
		if i == from {
			continue
		}
		deliver := func() {
			if sim.mutation.acceptLate || peer.late.Accept(g.name, generation, sentAt, sim.now) {
				peer.q.Merge(evidence, sim.now)
			}
		}
		if sim.source.IntN(100) >= partSimLoss {
			sim.after(sim.between(0, partSimTransit), deliver)
		}
		if sim.source.IntN(100) < 5 {
			sim.after(sim.between(0, partSimLate), deliver)
		}
	}
}

func (g *partGateway) unsent(evidence []wire.PartEvidence) (list []wire.PartEvidence) {
	for _, e := range evidence {
		if id := [2]uint64{e.Part, e.Crash}; !g.sent[id] {
			g.sent[id] = true
			list = append(list, e)
		}
	}
	return list
}

// drawRoute draws the first part and the caller's part of a request. Three routes
// share the traffic unevenly, and so do the callers.
func (sim *partSim) drawRoute() (first, tenant uint64) {
	route := uint64(0)
	switch n := sim.source.IntN(100); {
	case n >= 79:
		route = 2
	case n >= 45:
		route = 1
	}
	t := uint64(min(sim.source.IntN(partSimTenants), sim.source.IntN(partSimTenants)))
	return 10 + route, 100 + 10*route + t
}

func (sim *partSim) newPart() uint64 {
	sim.unique++
	return sim.unique
}

// newSession starts a session at one request in partSimSession.
func (sim *partSim) newSession() {
	if sim.source.IntN(partSimSession) > 0 {
		return
	}
	first, tenant := sim.drawRoute()
	session := sim.newPart()
	at := time.Duration(0)
	for range 2 * partSimSession { // the rate is that of all requests
		if sim.source.IntN(2) == 0 {
			continue
		}
		sim.after(at, func() {
			parts := []uint64{first, tenant, session}
			if sim.config.usedBefore && sim.now < sim.config.badFrom && sim.source.IntN(10) == 0 {
				parts[2] = badPart
			}
			sim.sendSound(parts)
		})
		at += sim.between(0, partSimSessionPause)
	}
}

// sendSound sends a sound request, which the caller repeats once if it fails.
func (sim *partSim) sendSound(parts []uint64) {
	o := &partOutcome{at: sim.now}
	sim.sound = append(sim.sound, o)
	r := &partRequest{parts: parts}
	r.done = func(begun bool) {
		o.begun = begun
		o.first = begun && r.attempts == 1 && !r.clientRepeat
		if !begun && !r.clientRepeat {
			r.clientRepeat = true
			sim.after(sim.between(50*time.Millisecond, 500*time.Millisecond), func() { sim.arrive(r) })
		}
	}
	sim.arrive(r)
}

func (sim *partSim) newBadRequest() {
	tenant := uint64(100 + sim.source.IntN(2))
	r := &partRequest{parts: []uint64{10, tenant, badPart}, bad: true}
	r.done = func(begun bool) {
		if !begun && !r.clientRepeat {
			r.clientRepeat = true
			sim.after(sim.between(50*time.Millisecond, 500*time.Millisecond), func() { sim.arrive(r) })
		}
	}
	sim.arrive(r)
}

// arrive brings a request to a random gateway.
func (sim *partSim) arrive(r *partRequest) {
	g := sim.gateways[sim.source.IntN(len(sim.gateways))]
	r.gateway, r.generation, r.arrivedAt, r.attempts = g, g.generation, sim.now, 0
	if !sim.mutation.noArrivals {
		g.q.Arrived(r.parts, sim.now)
	}
	sim.dispatch(r)
}

// alive reports whether the gateway of a request still runs; otherwise the request fails.
func (sim *partSim) alive(r *partRequest) bool {
	if r.gateway.generation != r.generation {
		r.done(false)
		return false
	}
	return true
}

// dispatch checks a request and sends it to a server, or lets it wait for an open group.
func (sim *partSim) dispatch(r *partRequest) {
	if !sim.alive(r) {
		return
	}
	if _, refuse := r.gateway.q.Check(r.parts, sim.now); refuse {
		sim.refused(r)
		return
	}
	s := sim.pick()
	switch {
	case s != nil && sim.now >= s.upFrom:
		sim.send(r, s)
	case s != nil:
		r.gateway.q.ServerDown(s.name, sim.now) // it refuses the connection
		sim.after(partSimTransit, func() { sim.dispatch(r) })
	case sim.now-r.arrivedAt > partSimMaxWait:
		r.done(false)
	default:
		sim.after(partSimPoll, func() { sim.dispatch(r) })
	}
}

// refused ends a request that was refused because of a part.
func (sim *partSim) refused(r *partRequest) {
	if r.bad {
		sim.badRefused++
		return
	}
	sim.soundRefused++
	for _, p := range r.parts {
		if _, refuse := r.gateway.q.Check([]uint64{p}, sim.now); refuse && p != badPart {
			sim.wrongParts[p] = true
		}
	}
	r.done(false)
}

// pick returns a random server of a random group that is open or has stopped just now;
// nil if there is none.
func (sim *partSim) pick() *partServer {
	start := sim.source.IntN(len(sim.groups))
	for i := range sim.groups {
		g := sim.groups[(start+i)%len(sim.groups)]
		if sim.now >= g.openFrom || sim.now < g.stoppedAt+partSimStale {
			return g.servers[sim.source.IntN(len(g.servers))]
		}
	}
	return nil
}

func (sim *partSim) send(r *partRequest, s *partServer) {
	r.attempts++
	r.server, r.startedAt, r.sentAt = s, s.startedAt, sim.now
	if r.bad {
		sim.reached = append(sim.reached, sim.now)
	}
	sim.runs++
	id := sim.runs
	s.runs[id] = r
	prefill := sim.between(30*time.Millisecond, 300*time.Millisecond)
	if r.bad && sim.config.badFirst {
		prefill = 5 * time.Millisecond
	}
	sim.after(prefill, func() {
		if s.runs[id] == r {
			sim.begin(r, id)
		}
	})
}

// begin lets a server begin an answer.
func (sim *partSim) begin(r *partRequest, id int) {
	s := r.server
	switch {
	case s.group.openFrom > sim.now:
		delete(s.runs, id)
		sim.turnAway(r)
	case r.bad:
		sim.crashes = append(sim.crashes, sim.now)
		sim.crash(s)
	case s.grey && sim.source.IntN(2) == 0:
		delete(s.runs, id)
		sim.broke(r)
	default:
		delete(s.runs, id)
		sim.after(sim.between(0, partSimTransit), func() { sim.started(r) })
	}
}

func (sim *partSim) started(r *partRequest) {
	if !sim.alive(r) {
		return
	}
	server := ServerIncarnation{ID: r.server.name, StartedAt: r.startedAt}
	if sim.mutation.noRefutation {
		server = ServerIncarnation{}
	}
	if sim.mutation.noStarts {
		r.gateway.q.Started(nil, server, sim.now)
	} else {
		r.gateway.q.Started(r.parts, server, sim.now)
	}
	r.done(true)
}

// broke tells the gateway after a moment that a request has broken off.
func (sim *partSim) broke(r *partRequest) {
	sim.after(sim.between(0, partSimTransit), func() {
		if !sim.alive(r) {
			return
		}
		q := r.gateway.q
		sentAt := r.sentAt
		if sim.mutation.noEpisodes {
			sentAt = sim.now
		}
		q.Broke(r.parts, ServerIncarnation{ID: r.server.name, StartedAt: r.startedAt}, sentAt, sim.now)
		if sim.mutation.unconfirmed {
			q.ServerDown(r.server.name, sim.now)
		}
		if r.attempts < 2 && (sim.mutation.allRepeats || q.MayRepeat(r.parts, sim.now)) {
			sim.after(PartRepeatDelay, func() { sim.dispatch(r) })
			return
		}
		r.done(false)
	})
}

// crashAll crashes all servers at the same moment.
func (sim *partSim) crashAll() {
	for _, s := range sim.servers {
		for _, r := range takeRuns(s) {
			sim.broke(r)
		}
	}
	for _, s := range sim.servers {
		sim.crash(s)
	}
}

// crash ends an incarnation of a server and stops its group, whose other servers
// turn away what has not begun and name the server.
func (sim *partSim) crash(s *partServer) {
	if sim.now < s.upFrom {
		return
	}
	g := s.group
	for _, r := range takeRuns(s) {
		sim.broke(r)
	}
	s.upFrom = sim.now + sim.between(2*time.Second, 5*time.Second)
	s.startedAt = int64(s.upFrom / time.Millisecond)
	g.stoppedAt, g.crashed = sim.now, s
	g.openFrom = max(g.openFrom, s.upFrom+partSimForm)
	sim.after(s.upFrom-sim.now, func() {
		for _, gw := range sim.gateways { // the list of servers shows the new incarnation
			gw.q.ServerDown(s.name, sim.now)
		}
	})
	for _, other := range g.servers {
		if other != s {
			for _, r := range takeRuns(other) {
				sim.turnAway(r)
			}
		}
	}
}

// turnAway answers a request that has not run: its group has stalled because of a
// server, which the answer names.
func (sim *partSim) turnAway(r *partRequest) {
	at := r.server.group.crashed.name
	sim.after(partSimStall, func() {
		if sim.alive(r) {
			r.gateway.q.ServerDown(at, sim.now)
			r.attempts-- // it has not run
			sim.dispatch(r)
		}
	})
}

// takeRuns removes and returns the requests of a server, in the order of arrival.
func takeRuns(s *partServer) []*partRequest {
	var list []*partRequest
	for _, id := range slices.Sorted(maps.Keys(s.runs)) {
		list = append(list, s.runs[id])
	}
	clear(s.runs)
	return list
}

// reset resets the connections of a server without a crash. With refusals, the server
// also refuses a connection of each gateway in one of three cases.
func (sim *partSim) reset(s *partServer) {
	if sim.now < s.upFrom {
		return
	}
	for _, r := range takeRuns(s) {
		sim.broke(r)
	}
	if !sim.config.refusals || sim.source.IntN(3) > 0 {
		return
	}
	sim.after(partSimTransit, func() {
		for _, g := range sim.gateways {
			g.q.ServerDown(s.name, sim.now)
		}
	})
}

// late returns the number of requests with the bad part that reached servers later
// than partSimStable after the fifth crash.
func (sim *partSim) late() int {
	if len(sim.crashes) < partSimBadCrashes {
		return 0
	}
	n := 0
	for _, at := range sim.reached {
		if at > sim.crashes[partSimBadCrashes-1]+partSimStable {
			n++
		}
	}
	return n
}

// settledAt returns the time from which sound requests must be served again.
func (sim *partSim) settledAt() time.Duration {
	n := len(sim.crashes)
	if n == 0 {
		return 0
	}
	return sim.crashes[min(n, partSimBadCrashes)-1] + 2*partSimStable
}

// firstShare returns the share of the sound requests that began at the first attempt
// from a time on.
func (sim *partSim) firstShare(from time.Duration) float64 {
	n, first := 0, 0
	for _, o := range sim.sound {
		if o.at < from || o.at > sim.now-partSimMaxWait {
			continue
		}
		n++
		if o.first {
			first++
		}
	}
	if n < partSimMinSound {
		return 1
	}
	return float64(first) / float64(n)
}

// check is the test oracle. minFirst is the least firstShare.
func (sim *partSim) check(minFirst float64) error {
	if n := sim.late(); n > partSimMaxLate {
		return fmt.Errorf("%d requests with the bad part reached servers late", n)
	}
	refusable := 0
	if sim.config.badRate > 0 {
		refusable = len(sim.sound) / partSimMaxRefused
	}
	if sim.soundRefused > refusable {
		return fmt.Errorf("%d of %d sound requests were refused, for %d parts", sim.soundRefused, len(sim.sound), len(sim.wrongParts))
	}
	if share := sim.firstShare(sim.settledAt()); share < minFirst {
		return fmt.Errorf("the share of sound requests that begin at the first attempt is %.2f", share)
	}
	return nil
}
