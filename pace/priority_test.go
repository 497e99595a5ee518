package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// arrivalOrder decides as a gate that does not admit by priority: in order of arrival,
// first those that can be on time. It is the reference for a single priority.
type arrivalOrder struct{ *Gate }

func (a arrivalOrder) AdmitOrQueue(now time.Duration, t *Ticket) bool {
	if t.arrived == 0 {
		t.arrived = max(now, 1)
		if !t.Retry {
			a.arrivals.record(now)
		}
	}
	if len(a.queue) == 0 && a.tryAdmit(now, t) {
		return true
	}
	wait := a.maxWait(t)
	if wait <= 0 || a.queueFull(now) || a.AllStalled() {
		return false
	}
	t.waitDeadline = now + wait
	a.queue = append(a.queue, t)
	return true
}

func (a arrivalOrder) AdmitWaiting(now time.Duration) []*Ticket {
	var admitted []*Ticket
	a.queue = slices.DeleteFunc(a.queue, func(t *Ticket) bool { return now >= t.waitDeadline })
	for _, late := range []bool{false, true} {
		a.queue = slices.DeleteFunc(a.queue, func(t *Ticket) bool {
			if a.isLate(now, t) != late || !a.tryAdmit(now, t) {
				return false
			}
			admitted = append(admitted, t)
			return true
		})
	}
	return admitted
}

// admitter is a Gate or its reference.
type admitter interface {
	AdmitOrQueue(now time.Duration, t *Ticket) bool
	AdmitWaiting(now time.Duration) []*Ticket
	Cancel(t *Ticket) bool
}

// A gate that does not admit by priority takes no notice of it: on the same events it
// makes the same decisions as the reference.
func TestUnprioritizedGateDecidesInOrderOfArrival(t *testing.T) {
	for seed := range uint64(20) {
		gate, reference := newPriorityGate(seed), arrivalOrder{newPriorityGate(seed)}
		require.Equal(t, decisions(seed, reference, reference.Gate), decisions(seed, gate, gate), "seed %d", seed)
	}
}

// decisions plays random events on a gate and returns what it decides on them. The
// rates are above the gate's share, and change.
func decisions(seed uint64, a admitter, g *Gate) []int {
	rnd := rand.New(rand.NewPCG(seed, 5))
	var log []int
	var queued, running []int
	tickets := []*Ticket{}
	admit := func(list []*Ticket) {
		for _, t := range list {
			i := slices.Index(tickets, t)
			log, running = append(log, i), append(running, i)
			queued = slices.DeleteFunc(queued, func(o int) bool { return o == i })
		}
	}
	now := time.Second
	g.SetPeerLoad(now, "p", "g", Load{Running: 200, Rate: 100})
	for range 4000 {
		now += time.Duration(rnd.IntN(12)) * time.Millisecond
		g.SetPeerLoad(now, "p", "g", Load{Running: 150 + rnd.IntN(150), Rate: 100})
		switch rnd.IntN(8) {
		case 0, 1, 2, 3:
			x := &Ticket{Objective: time.Duration(300+100*rnd.IntN(5)) * time.Millisecond, Retry: rnd.IntN(4) == 0, Priority: rnd.IntN(3)}
			tickets = append(tickets, x)
			switch accepted := a.AdmitOrQueue(now, x); {
			case !accepted:
				log = append(log, -1)
			case x.Admitted():
				log, running = append(log, len(tickets)-1), append(running, len(tickets)-1)
			default:
				log, queued = append(log, -2), append(queued, len(tickets)-1)
			}
		case 4, 5:
			if len(running) > 0 {
				i := rnd.IntN(len(running))
				g.groups["g"].running--
				running = slices.Delete(running, i, i+1)
				admit(a.AdmitWaiting(now))
			}
		case 6:
			g.groups["g"].capacity.Observe(now, time.Duration(60+rnd.IntN(60))*time.Millisecond, g.groups["g"].totalRunning(now))
			g.ObserveFirstEvent(time.Duration(50+rnd.IntN(100)) * time.Millisecond)
			admit(a.AdmitWaiting(now))
		case 7:
			g.SetOpen(now, "g", rnd.IntN(4) > 0, 50*time.Millisecond)
			queued = slices.DeleteFunc(queued, func(i int) bool { return tickets[i].WaitDeadline() <= now && a.Cancel(tickets[i]) })
		}
		log = append(log, g.Waiting())
	}
	return log
}

// busyGate returns a gate by priority with no capacity left, whose streams run for run.
// Each release admits one request.
func busyGate(run time.Duration) (g *Gate, running []*Ticket) {
	g = newPriorityGate(1)
	g.SetPrioritized(true)
	for {
		t := &Ticket{Objective: objective, Priority: 1}
		if !g.AdmitOrQueue(time.Second, t) || !t.Admitted() {
			g.Cancel(t)
			g.priorities = make(map[int]*priorityLoad)
			g.runTime = run
			return g, running
		}
		running = append(running, t)
	}
}

func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	g, running := busyGate(2 * time.Second)
	now := 3 * time.Second
	var waiting []*Ticket
	for i, priority := range []int{2, 1, 2, 0, 1, 0} {
		x := &Ticket{Objective: objective, Priority: priority}
		require.True(t, g.AdmitOrQueue(now+time.Duration(i)*time.Millisecond, x))
		require.False(t, x.Admitted())
		waiting = append(waiting, x)
	}
	for _, i := range []int{3, 5, 1, 4, 0, 2} {
		admitted := g.Release(now+10*time.Millisecond, running[i])
		require.Len(t, admitted, 1)
		require.Same(t, waiting[i], admitted[0])
	}
}

// Within a priority, a request that can be on time goes before one that cannot.
func TestLateRequestIsAdmittedAfterThoseOfItsPriority(t *testing.T) {
	g, running := busyGate(time.Second)
	now := 3 * time.Second
	late, onTime, lower := &Ticket{Objective: objective, Retry: true}, &Ticket{Objective: objective}, &Ticket{Objective: objective, Priority: 1}
	for _, x := range []*Ticket{lower, late, onTime} {
		require.True(t, g.AdmitOrQueue(now, x))
	}
	for i, x := range []*Ticket{onTime, late, lower} {
		require.Equal(t, []*Ticket{x}, g.Release(now+time.Millisecond, running[i]))
	}
}

// A request that arrives takes the place of one of a lower priority that will no longer
// be admitted in time, never that of one of its own.
func TestHigherPriorityDisplacesLower(t *testing.T) {
	g, _ := busyGate(20 * time.Second)
	now := 3 * time.Second
	var low []*Ticket
	for {
		x := &Ticket{Objective: objective, Priority: 2}
		if !g.AdmitOrQueue(now, x) {
			break
		}
		low = append(low, x)
	}
	require.Greater(t, len(low), 2)
	require.Empty(t, g.TakeDisplaced())
	urgent := &Ticket{Objective: objective}
	require.True(t, g.AdmitOrQueue(now, urgent))
	require.Equal(t, low[len(low)-1:], g.TakeDisplaced(), "the one that arrived last")
	require.Empty(t, g.TakeDisplaced())
	require.Equal(t, len(low), g.Waiting())
	require.True(t, g.Cancel(low[len(low)-1]), "not admitted")
	for range 3 * len(low) {
		g.AdmitOrQueue(now, &Ticket{Objective: objective})
	}
	for _, x := range g.TakeDisplaced() {
		require.Equal(t, 2, x.Priority)
	}
}

// A request is refused at once while those of a higher priority arrive faster than
// streams end, although none of them waits.
func TestLowerPriorityIsRefusedWhileHigherOnesArrive(t *testing.T) {
	g, _ := busyGate(4 * time.Second)
	now := 3 * time.Second
	require.True(t, g.AdmitOrQueue(now, &Ticket{Objective: objective, Priority: 2}))
	for range 400 {
		now += 4 * time.Millisecond
		urgent := &Ticket{Objective: objective}
		g.AdmitOrQueue(now, urgent)
		g.Cancel(urgent)
	}
	require.False(t, g.AdmitOrQueue(now, &Ticket{Objective: objective, Priority: 2}))
	require.True(t, g.AdmitOrQueue(now, &Ticket{Objective: objective}))
	now += 20 * time.Second
	g.AdmitWaiting(now)
	require.True(t, g.AdmitOrQueue(now, &Ticket{Objective: objective, Priority: 2}), "they have stopped")
}

// Requests of a priority of which too few were admitted in time go first.
func TestStarvedPriorityGoesFirst(t *testing.T) {
	g, running := busyGate(time.Second)
	now := 3 * time.Second
	for range 10 {
		g.loadOf(0).callers.add(now)
		g.loadOf(0).inTime.add(now)
		g.loadOf(2).callers.add(now)
	}
	urgent, low := &Ticket{Objective: objective}, &Ticket{Objective: objective, Priority: 2}
	require.True(t, g.AdmitOrQueue(now, urgent))
	require.True(t, g.AdmitOrQueue(now, low))
	require.Equal(t, []*Ticket{low}, g.Release(now, running[0]))
	for range 5 {
		g.loadOf(2).inTime.add(now)
	}
	require.True(t, g.AdmitOrQueue(now, &Ticket{Objective: objective, Priority: 2}))
	require.Equal(t, []*Ticket{urgent}, g.Release(now, running[1]), "as many were as are due")
}

// The reason for a refusal names the priority and what goes before it.
func TestExplainNamesPriority(t *testing.T) {
	g, _ := busyGate(2 * time.Second)
	now := 3 * time.Second
	low := &Ticket{Objective: objective, Priority: 2}
	require.True(t, g.AdmitOrQueue(now, &Ticket{Objective: objective}))
	require.True(t, g.AdmitOrQueue(now, low))
	require.Contains(t, g.Explain(now, low), "; priority 2: ")
	g.SetPrioritized(false)
	require.Equal(t, g.Summary(now), g.Explain(now, low))
}
