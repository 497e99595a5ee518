package pace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Settings of a Gate.
const (
	// transit is the time of an answer's way to the caller and back that no
	// measurement here shows.
	transit = 10 * time.Millisecond
	// maxWaitShare is the part of the objective for which a request may wait.
	maxWaitShare = 0.5
	// unknownFirst is the part of the objective taken for the first event
	// before one was seen.
	unknownFirst = 0.5
	// returnShare is the part of the objective for which a request that came
	// back after a refusal may wait. It is late already: those that can still be
	// on time go first, and it takes the places that they leave.
	returnShare = 0.125
	// waitingShare is the number of requests that may wait for each one that
	// may run: about as many end within the longest wait.
	waitingShare = 0.25
	// firstWeight is the weight of one more time to the first event in the mean.
	firstWeight = 0.1
	// minReturn and maxReturn bound the time after which refused callers come
	// back, as parts of the time that they have left. Callers wait for a third
	// of it at most.
	minReturn = 0.2
	maxReturn = 0.32
	// freeShare is the part of a group's capacity that any instance may use;
	// what is beyond is divided by demand.
	freeShare = 0.9
	// peerLimit is the age at which a peer's word counts no more.
	peerLimit = time.Second
	// rateTime is the time over which arrivals are averaged.
	rateTime = 2 * time.Second
	// rateFloor is the demand, in requests a second, that every instance is
	// taken to have, so that none is left without a share.
	rateFloor = 0.5
)

// Ticket is one request at a Gate.
type Ticket struct {
	Objective time.Duration // for the first event, from the caller's first attempt
	Retry     bool          // the caller was refused before
	Group     string        // where it runs, once admitted
	arrived   time.Duration
	expires   time.Duration
	admitted  bool
}

// Admitted reports whether the request may run.
func (t *Ticket) Admitted() bool { return t.admitted }

// Reset makes a ticket that was admitted one that asks once more.
func (t *Ticket) Reset() { t.admitted = false }

// WaitDeadline is the time at which a waiting request is to be given up.
func (t *Ticket) WaitDeadline() time.Duration { return t.expires }

// Load is what one instance tells others of its streams at one group.
type Load struct {
	Running int
	Rate    float64 // requests a second that arrive for the whole service
}

// group is one rank group behind a gate.
type group struct {
	capacity *CapacityEstimator
	running  int
	peers    map[string]peerLoad
	closed   time.Duration // no request before; 0 when it is open
	stalled  time.Duration // since when it has made no passes; 0 when it does
}

type peerLoad struct {
	Load
	at time.Duration
}

// Gate admits the streams of one service to its groups.
type Gate struct {
	groups  map[string]*group
	queue   []*Ticket // by arrival
	first   time.Duration
	rate    float64
	arrived time.Duration // last arrival
	source  *rand.Rand
}

// NewGate returns a gate with no groups behind it.
func NewGate(source *rand.Rand) *Gate {
	return &Gate{groups: make(map[string]*group), source: source}
}

// SetGroups replaces the groups; build makes the estimate of a new one. Groups
// with running streams are kept.
func (g *Gate) SetGroups(names []string, build func(name string) *CapacityEstimator) {
	for name, gr := range g.groups {
		if gr.running == 0 && !slices.Contains(names, name) {
			delete(g.groups, name)
		}
	}
	for _, name := range names {
		if g.groups[name] == nil {
			g.groups[name] = &group{capacity: build(name), peers: make(map[string]peerLoad)}
		}
	}
}

// SetObjective changes the objective of all groups.
func (g *Gate) SetObjective(d time.Duration) {
	for _, gr := range g.groups {
		gr.capacity.SetObjective(d)
	}
}

// SetOpen says whether a group makes passes. Without a further word a closed
// one is tried again after hold. It reports a change.
func (g *Gate) SetOpen(now time.Duration, name string, open bool, hold time.Duration) bool {
	gr := g.groups[name]
	if gr == nil {
		return false
	}
	was := gr.stalled == 0
	if open {
		gr.closed, gr.stalled = 0, 0
		return !was
	}
	gr.closed = max(gr.closed, now+hold)
	if was {
		gr.stalled = max(now, 1)
	}
	return was
}

// AllStalled reports whether no group makes passes. Requests that would wait are
// refused then: when a group opens, its places go to those who come in time.
func (g *Gate) AllStalled() bool {
	for _, gr := range g.groups {
		if gr.stalled == 0 {
			return false
		}
	}
	return len(g.groups) > 0
}

// Waiting is the number of requests that wait.
func (g *Gate) Waiting() int { return len(g.queue) }

// Status describes one group for log lines.
type Status struct {
	Group                 string
	Running, RunningTotal int
	Limit                 float64
	Share                 float64
	Gap, FirstEvent       time.Duration
	Waiting, Peers        int
	Rate                  float64
}

// Status describes every group.
func (g *Gate) Status(now time.Duration) []Status {
	list := make([]Status, 0, len(g.groups))
	for name, gr := range g.groups {
		list = append(list, Status{
			Group: name, Running: gr.running, RunningTotal: gr.total(now), Limit: gr.capacity.Limit(), Share: g.share(gr, now),
			Gap: gr.capacity.Gap(), FirstEvent: g.first, Waiting: len(g.queue), Peers: len(gr.peers), Rate: g.rateAt(now),
		})
	}
	return list
}

// Summary are what decides on requests at present, for the log line of a refusal.
func (g *Gate) Summary(now time.Duration) string {
	var b strings.Builder
	for _, s := range g.Status(now) {
		fmt.Fprintf(&b, "group %s all %d limit %.0f own %d share %.0f gap %dms first %dms waiting %d; ",
			s.Group, s.RunningTotal, s.Limit, s.Running, s.Share, s.Gap.Milliseconds(), s.FirstEvent.Milliseconds(), s.Waiting)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// Loads is what peers are told.
func (g *Gate) Loads(now time.Duration) map[string]Load {
	loads := make(map[string]Load, len(g.groups))
	for name, gr := range g.groups {
		loads[name] = Load{Running: gr.running, Rate: g.rateAt(now)}
	}
	return loads
}

// SetPeerLoad takes what a peer tells of its streams at a group.
func (g *Gate) SetPeerLoad(now time.Duration, peer, name string, l Load) {
	if gr := g.groups[name]; gr != nil {
		gr.peers[peer] = peerLoad{l, now}
	}
}

// total is the number of streams that run in the group, of all instances.
func (gr *group) total(now time.Duration) int {
	n := gr.running
	for peer, p := range gr.peers {
		if now-p.at > peerLimit {
			delete(gr.peers, peer)
			continue
		}
		n += p.Running
	}
	return n
}

// share is this instance's part of the group's capacity, by demand.
func (g *Gate) share(gr *group, now time.Duration) float64 {
	own := g.rateAt(now) + rateFloor
	all := own
	for _, p := range gr.peers {
		all += p.Rate + rateFloor
	}
	return gr.capacity.Limit() * own / all
}

// rateAt is the rate of arrivals, which fades while none comes.
func (g *Gate) rateAt(now time.Duration) float64 {
	idle := (now - g.arrived).Seconds() / rateTime.Seconds()
	return g.rate / (1 + max(idle-1, 0))
}

// count notes an arrival.
func (g *Gate) count(now time.Duration) {
	since := (now - g.arrived).Seconds()
	g.arrived = now
	weight := min(since/rateTime.Seconds(), 1)
	g.rate = g.rate*(1-weight) + 1/rateTime.Seconds()
}

// room is the group that has the most room for one more stream; nil for none.
func (g *Gate) room(now time.Duration) (best *group, name string) {
	most := 0.0
	for n, gr := range g.groups {
		if now < gr.closed {
			continue
		}
		limit := gr.capacity.Limit()
		total := float64(gr.total(now))
		free := freeShare*limit - total
		if free < 1 && total < limit {
			free = min(g.share(gr, now)-float64(gr.running), 1)
		}
		if free >= 1 && (best == nil || free > most) {
			best, name, most = gr, n, free
		}
	}
	return best, name
}

// Arrive admits a request or lets it wait. It reports false when the request
// could not meet its objective anyway and is refused.
func (g *Gate) Arrive(now time.Duration, t *Ticket) bool {
	if t.arrived == 0 {
		t.arrived = max(now, 1)
		if !t.Retry {
			g.count(now)
		}
	}
	if len(g.queue) == 0 && g.admit(now, t) {
		return true
	}
	wait := g.patience(t)
	if wait <= 0 || g.hopeless(now) || g.AllStalled() {
		return false
	}
	t.expires = now + wait
	g.queue = append(g.queue, t)
	return true
}

// admit lets a request run if there is room.
func (g *Gate) admit(now time.Duration, t *Ticket) bool {
	gr, name := g.room(now)
	if gr == nil {
		return false
	}
	t.admitted, t.Group = true, name
	gr.running++
	return true
}

// late reports whether a request cannot meet its objective any more.
func (g *Gate) late(now time.Duration, t *Ticket) bool {
	return t.Retry || now-t.arrived+g.firstOf(t)+transit > t.Objective
}

// firstOf is the time that a request needs to its first event.
func (g *Gate) firstOf(t *Ticket) time.Duration {
	if g.first == 0 {
		return time.Duration(unknownFirst * float64(t.Objective))
	}
	return g.first
}

// patience is how long a request may wait.
func (g *Gate) patience(t *Ticket) time.Duration {
	if t.Retry {
		return time.Duration(returnShare * float64(t.Objective))
	}
	return min(t.Objective-g.firstOf(t)-transit, time.Duration(maxWaitShare*float64(t.Objective)))
}

// hopeless reports whether the requests that wait already will take up all
// that is likely to end meanwhile.
func (g *Gate) hopeless(now time.Duration) bool {
	share := 0.0
	for _, gr := range g.groups {
		share += max(g.share(gr, now), float64(gr.running))
	}
	return float64(len(g.queue)) > waitingShare*share+1
}

// Leave notes that a stream has ended, and returns the requests that may run now.
func (g *Gate) Leave(now time.Duration, t *Ticket) []*Ticket {
	if gr := g.groups[t.Group]; gr != nil {
		gr.running--
	}
	return g.AdmitWaiting(now)
}

// AdmitWaiting returns waiting requests that may run now: first those that can still
// be on time, in the order of their arrival.
func (g *Gate) AdmitWaiting(now time.Duration) []*Ticket {
	var admitted []*Ticket
	// Those that have expired are told so by their own clocks, with Cancel.
	g.queue = slices.DeleteFunc(g.queue, func(t *Ticket) bool { return now >= t.expires })
	for _, late := range []bool{false, true} {
		g.queue = slices.DeleteFunc(g.queue, func(t *Ticket) bool {
			if g.late(now, t) != late || !g.admit(now, t) {
				return false
			}
			admitted = append(admitted, t)
			return true
		})
	}
	return admitted
}

// Cancel takes a request that waits out of the queue. It reports false when
// the request was admitted meanwhile.
func (g *Gate) Cancel(t *Ticket) bool {
	if t.admitted {
		return false
	}
	g.queue = slices.DeleteFunc(g.queue, func(o *Ticket) bool { return o == t })
	return true
}

// ObserveFirstEvent takes the time from sending a request to its first event.
func (g *Gate) ObserveFirstEvent(d time.Duration) {
	if g.first == 0 {
		g.first = d
		return
	}
	g.first += time.Duration(firstWeight * float64(d-g.first))
}

// ObserveGap takes the pause between two events of a stream, and returns the
// requests that may run now.
func (g *Gate) ObserveGap(now time.Duration, name string, gap time.Duration) []*Ticket {
	gr := g.groups[name]
	if gr == nil {
		return nil
	}
	gr.closed, gr.stalled = 0, 0
	gr.capacity.Observe(now, gap, gr.total(now))
	return g.AdmitWaiting(now)
}

// RetryAfter is when a refused caller with this much time left is asked to
// come back: late enough for a peak to be over, and spread out.
func (g *Gate) RetryAfter(left time.Duration) time.Duration {
	return time.Duration((minReturn + g.source.Float64()*(maxReturn-minReturn)) * float64(left))
}
