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
