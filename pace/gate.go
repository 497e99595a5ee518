package pace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Parameters of a Gate.
const (
	// networkDelay is the network time between gateway and caller, which the
	// gateway cannot measure.
	networkDelay = 10 * time.Millisecond
	// maxWaitFraction is the fraction of the objective that a request may wait.
	maxWaitFraction = 0.5
	// defaultFirstEventFraction is the fraction of the objective assumed as the
	// time to first event before one was measured.
	defaultFirstEventFraction = 0.5
	// retryWaitFraction is the fraction of the objective that a retry after a
	// refusal may wait. A retry is late already and is admitted only after waiting
	// requests that can still be on time.
	retryWaitFraction = 0.125
	// waitingPerStream is the number of requests that may wait per stream that
	// may run; about as many streams end within the longest wait.
	waitingPerStream = 0.25
	// firstEventWeight is the weight of the newest sample in the moving average
	// of the time to first event.
	firstEventWeight = 0.1
	// minRetryFraction and maxRetryFraction bound the retry delay sent to refused
	// callers, as fractions of the time that they have left. Callers wait at most
	// a third of it.
	minRetryFraction = 0.2
	maxRetryFraction = 0.32
	// sharedFraction is the fraction of a group's capacity that every instance
	// may use; the rest is divided between the instances by demand.
	sharedFraction = 0.9
	// gapValidity is how long the mean gap between events of the streams that an
	// instance has in a group says something about the group.
	gapValidity = 300 * time.Millisecond
	// maxPeerLoadAge is the age at which a peer's load is discarded.
	maxPeerLoadAge = time.Second
	// rateWindow is the time over which the arrival rate is averaged.
	rateWindow = 2 * time.Second
	// minRate is added to the arrival rate of every instance, in requests per
	// second, so that each gets a share of the capacity.
	minRate = 0.5
)

// Ticket is the admission state of one request at a Gate.
type Ticket struct {
	Objective    time.Duration // for the first event, counted from the caller's first attempt
	Retry        bool          // the caller was refused before
	Group        string        // group that runs the request, set on admission
	Priority     int           // 0 is the highest; counts if SetPrioritized is on
	arrived      time.Duration
	waitDeadline time.Duration
	admitted     bool
	admittedAt   time.Duration
	counted      bool // in the load of its priority, as admitted in time
}

// Admitted reports whether the request may run.
func (t *Ticket) Admitted() bool { return t.admitted }

// Reset clears the admission, so that the ticket can be passed to
// AdmitOrQueue again. The time of arrival is kept.
func (t *Ticket) Reset() { t.admitted = false }

// WaitDeadline returns the time at which the caller of AdmitOrQueue must stop
// waiting and call Cancel.
func (t *Ticket) WaitDeadline() time.Duration { return t.waitDeadline }

// Load is the load of one instance on one group, as exchanged between
// instances.
type Load struct {
	Running int     // streams
	Rate    float64 // requests per second that arrive for the whole service
	// Gap is the mean gap between events of these streams in the last averaging
	// period; 0 if there were none within gapValidity.
	Gap time.Duration
}

// group is the state of one rank group.
type group struct {
	capacity     *CapacityEstimator
	running      int
	peers        map[string]peerLoad
	closedUntil  time.Duration // no admission before this time; 0 while open
	stalledSince time.Duration // since when the group has made no passes; 0 while it does
	gapAt        time.Duration // when a stream of this instance last had two events
	vanished     bool          // not among the names of SetGroups any more; kept for its running streams
}

type peerLoad struct {
	Load
	receivedAt time.Duration
}

// Gate admits the streams of one service to its groups.
type Gate struct {
	groups     map[string]*group
	queue      []*Ticket     // in order of arrival
	firstEvent time.Duration // mean time to first event; 0 before the first
	arrivals   arrivalRate   // first attempts
	rnd        *rand.Rand

	prioritized bool
	priorities  map[int]*priorityLoad // by priority
	runTime     time.Duration         // mean time that a stream runs; 0 before the first has ended
	displaced   []*Ticket             // since the last TakeDisplaced
}

// NewGate returns a gate without groups. rnd spreads retry delays.
func NewGate(rnd *rand.Rand) *Gate {
	return &Gate{groups: make(map[string]*group), priorities: make(map[int]*priorityLoad), rnd: rnd}
}

// SetGroups replaces the groups; build returns the estimator of a new one. A group
// that is no longer named admits nothing, and is dropped once no stream runs in it.
func (g *Gate) SetGroups(names []string, build func(name string) *CapacityEstimator) {
	for name, gr := range g.groups {
		gr.vanished = !slices.Contains(names, name)
		if gr.vanished && gr.running == 0 {
			delete(g.groups, name)
		}
	}
	for _, name := range names {
		if g.groups[name] == nil {
			g.groups[name] = &group{capacity: build(name), peers: make(map[string]peerLoad)}
		}
	}
}

// SetObjective changes the objective for gaps of all groups.
func (g *Gate) SetObjective(d time.Duration) {
	for _, gr := range g.groups {
		gr.capacity.SetObjective(d)
	}
}

// SetOpen records whether a group makes passes. A closed group admits requests
// again after closedFor unless it is closed anew. SetOpen reports whether the
// state changed.
func (g *Gate) SetOpen(now time.Duration, name string, open bool, closedFor time.Duration) bool {
	gr := g.groups[name]
	if gr == nil {
		return false
	}
	wasOpen := gr.stalledSince == 0
	if open {
		gr.closedUntil, gr.stalledSince = 0, 0
		return !wasOpen
	}
	gr.closedUntil = max(gr.closedUntil, now+closedFor)
	if wasOpen {
		gr.stalledSince = max(now, 1)
	}
	return wasOpen
}

// AllStalled reports whether no group makes passes. Requests that would have to
// wait are refused then, so that a group's capacity goes to requests that can
// be on time when it opens.
func (g *Gate) AllStalled() bool {
	stalled := false
	for _, gr := range g.groups {
		if gr.vanished {
			continue
		}
		if gr.stalledSince == 0 {
			return false
		}
		stalled = true
	}
	return stalled
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return len(g.queue) }

// Status describes one group for logs and metrics.
type Status struct {
	Group                 string
	Open                  bool          // makes passes, as far as is known
	Running, RunningTotal int           // streams of this instance, of all instances
	Limit                 float64       // streams that may run, of all instances
	Share                 float64       // of Limit, for this instance
	Gap, FirstEvent       time.Duration // means
	Waiting, Peers        int           // requests that wait for any group; peers with a load on this one
	Rate                  float64       // requests per second that arrive here
}

// Status returns the status of every group, in no particular order.
func (g *Gate) Status(now time.Duration) []Status {
	list := make([]Status, 0, len(g.groups))
	for name, gr := range g.groups {
		list = append(list, Status{
			Group: name, Open: gr.stalledSince == 0, Running: gr.running, RunningTotal: gr.totalRunning(now), Limit: gr.capacity.Limit(), Share: g.share(gr, now),
			Gap: gr.capacity.Gap(), FirstEvent: g.firstEvent, Waiting: len(g.queue), Peers: len(gr.peers), Rate: g.rateAt(now),
		})
	}
	return list
}

// Summary describes the state that admission depends on, for the detail of a
// refusal.
func (g *Gate) Summary(now time.Duration) string {
	var b strings.Builder
	for _, s := range g.Status(now) {
		fmt.Fprintf(&b, "group %s all %d limit %.0f own %d share %.0f gap %dms first %dms waiting %d; ",
			s.Group, s.RunningTotal, s.Limit, s.Running, s.Share, s.Gap.Milliseconds(), s.FirstEvent.Milliseconds(), s.Waiting)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// Loads returns the load of this instance on each group, to be sent to peers.
func (g *Gate) Loads(now time.Duration) map[string]Load {
	loads := make(map[string]Load, len(g.groups))
	for name, gr := range g.groups {
		loads[name] = Load{Running: gr.running, Rate: g.rateAt(now), Gap: gr.recentGap(now)}
	}
	return loads
}

// recentGap returns the mean gap that streams of this instance observed; 0 if they
// had none within gapValidity.
func (gr *group) recentGap(now time.Duration) time.Duration {
	if gr.gapAt == 0 || now-gr.gapAt > gapValidity {
		return 0
	}
	return gr.capacity.Gap()
}

// SetPeerLoad records the load of a peer instance on a group. While this instance
// has no streams there that show the pace of the group, the gaps of its peers do:
// it neither sends many requests to a group that has become slow, nor keeps away
// from one that is fast again.
func (g *Gate) SetPeerLoad(now time.Duration, peer, name string, l Load) {
	gr := g.groups[name]
	if gr == nil {
		return
	}
	gr.peers[peer] = peerLoad{l, now}
	if l.Gap > 0 && gr.recentGap(now) == 0 {
		gr.capacity.Observe(now, l.Gap, gr.totalRunning(now))
	}
}

// totalRunning returns the number of running streams of all instances. It
// removes outdated peer loads.
func (gr *group) totalRunning(now time.Duration) int {
	n := gr.running
	for peer, p := range gr.peers {
		if now-p.receivedAt > maxPeerLoadAge {
			delete(gr.peers, peer)
			continue
		}
		n += p.Running
	}
	return n
}

// share returns the part of the group's limit that this instance may use, in
// proportion to its arrival rate.
func (g *Gate) share(gr *group, now time.Duration) float64 {
	own := g.rateAt(now) + minRate
	total := own
	for _, p := range gr.peers {
		total += p.Rate + minRate
	}
	return gr.capacity.Limit() * own / total
}

// rateAt returns the arrival rate in requests per second, which decays while no
// request arrives.
func (g *Gate) rateAt(now time.Duration) float64 { return g.arrivals.at(now) }

// selectGroup returns the open group with the most free capacity, or nil if none
// can take another stream.
func (g *Gate) selectGroup(now time.Duration) (best *group, name string) {
	most := 0.0
	for n, gr := range g.groups {
		if gr.vanished || now < gr.closedUntil {
			continue
		}
		limit := gr.capacity.Limit()
		total := float64(gr.totalRunning(now))
		free := sharedFraction*limit - total
		if free < 1 && total < limit {
			free = min(g.share(gr, now)-float64(gr.running), 1)
		}
		if free >= 1 && (best == nil || free > most) {
			best, name, most = gr, n, free
		}
	}
	return best, name
}

// AdmitOrQueue admits a request or queues it; Ticket.Admitted reports which. It
// returns false if the request is refused: it could not meet its objective by
// waiting, the queue is full, or no group makes passes. Where admission is by priority,
// TakeDisplaced returns the waiting requests that are refused in its place.
func (g *Gate) AdmitOrQueue(now time.Duration, t *Ticket) (accepted bool) {
	if t.arrived == 0 {
		t.arrived = max(now, 1)
		if !t.Retry {
			g.arrivals.record(now)
		}
		g.recordPriority(now, t)
	}
	if g.prioritized {
		return g.admitOrQueueByPriority(now, t)
	}
	if len(g.queue) == 0 && g.tryAdmit(now, t) {
		return true
	}
	wait := g.maxWait(t)
	if wait <= 0 || g.queueFull(now) || g.AllStalled() {
		return false
	}
	t.waitDeadline = now + wait
	g.queue = append(g.queue, t)
	return true
}

// tryAdmit admits a request if a group has free capacity.
func (g *Gate) tryAdmit(now time.Duration, t *Ticket) bool {
	gr, name := g.selectGroup(now)
	if gr == nil {
		return false
	}
	t.admitted, t.Group = true, name
	gr.running++
	g.recordAdmission(now, t)
	return true
}

// isLate reports whether a request can no longer meet its objective.
func (g *Gate) isLate(now time.Duration, t *Ticket) bool {
	return t.Retry || now-t.arrived+g.timeToFirstEvent(t)+networkDelay > t.Objective
}

// timeToFirstEvent returns the expected time from admission to the first event.
func (g *Gate) timeToFirstEvent(t *Ticket) time.Duration {
	if g.firstEvent == 0 {
		return time.Duration(defaultFirstEventFraction * float64(t.Objective))
	}
	return g.firstEvent
}

// maxWait returns how long a request may wait.
func (g *Gate) maxWait(t *Ticket) time.Duration {
	if t.Retry {
		return time.Duration(retryWaitFraction * float64(t.Objective))
	}
	return min(t.Objective-g.timeToFirstEvent(t)-networkDelay, time.Duration(maxWaitFraction*float64(t.Objective)))
}

// queueFull reports whether the waiting requests already take all the capacity
// that is likely to become free within the longest wait.
func (g *Gate) queueFull(now time.Duration) bool {
	streams := 0.0
	for _, gr := range g.groups {
		if gr.vanished {
			continue
		}
		streams += max(g.share(gr, now), float64(gr.running))
	}
	return float64(len(g.queue)) > waitingPerStream*streams+1
}

// Release records the end of an admitted request and returns the waiting requests
// that it admits in its place.
func (g *Gate) Release(now time.Duration, t *Ticket) []*Ticket {
	if gr := g.groups[t.Group]; gr != nil {
		gr.running--
	}
	g.recordRunTime(now - t.admittedAt)
	return g.AdmitWaiting(now)
}

// AdmitWaiting admits waiting requests and returns them: by priority if that is set,
// then first those that can still be on time, then in order of arrival.
func (g *Gate) AdmitWaiting(now time.Duration) []*Ticket {
	var admitted []*Ticket
	// The waiters of expired requests have timers of their own and call Cancel.
	g.queue = slices.DeleteFunc(g.queue, func(t *Ticket) bool { return now >= t.waitDeadline })
	if g.prioritized {
		return g.admitByPriority(now)
	}
	for _, late := range []bool{false, true} {
		g.queue = slices.DeleteFunc(g.queue, func(t *Ticket) bool {
			if g.isLate(now, t) != late || !g.tryAdmit(now, t) {
				return false
			}
			admitted = append(admitted, t)
			return true
		})
	}
	return admitted
}

// Cancel removes a waiting request from the queue. It returns false if the
// request was admitted in the meantime.
func (g *Gate) Cancel(t *Ticket) bool {
	if t.admitted {
		return false
	}
	g.queue = slices.DeleteFunc(g.queue, func(o *Ticket) bool { return o == t })
	return true
}

// ObserveFirstEvent records the time from sending a request to its first event.
func (g *Gate) ObserveFirstEvent(d time.Duration) {
	if g.firstEvent == 0 {
		g.firstEvent = d
		return
	}
	g.firstEvent += time.Duration(firstEventWeight * float64(d-g.firstEvent))
}

// ObserveGap records the gap between two events of a stream of a group, which
// shows that the group makes passes. It returns the waiting requests that it
// admits.
func (g *Gate) ObserveGap(now time.Duration, name string, gap time.Duration) []*Ticket {
	gr := g.groups[name]
	if gr == nil {
		return nil
	}
	gr.closedUntil, gr.stalledSince = 0, 0
	gr.gapAt = max(now, 1)
	gr.capacity.Observe(now, gap, gr.totalRunning(now))
	return g.AdmitWaiting(now)
}

// RetryAfter returns the delay after which a refused caller with the given time
// left should retry: long enough for a load peak to pass, and randomised to
// spread retries.
func (g *Gate) RetryAfter(left time.Duration) time.Duration {
	return time.Duration((minRetryFraction + g.rnd.Float64()*(maxRetryFraction-minRetryFraction)) * float64(left))
}
