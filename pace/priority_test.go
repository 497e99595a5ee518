package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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

// The reason for a refusal names the class of the priority and what goes before it.
func TestExplainNamesPriority(t *testing.T) {
	g, _ := busyGate(2 * time.Second)
	now := 3 * time.Second
	low := &Ticket{Objective: objective, Priority: 2}
	require.True(t, g.AdmitOrQueue(now, &Ticket{Objective: objective}))
	require.True(t, g.AdmitOrQueue(now, low))
	require.Contains(t, g.Explain(now, low), "; class 2: ")
	g.SetPrioritized(false)
	require.Equal(t, g.Summary(now), g.Explain(now, low))
}

// A waiting request is admitted, displaced, or stays until it is cancelled; it is never
// lost and never has two outcomes. Only lower priorities are displaced.
func TestWaitingRequestHasOneOutcome(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 6))
		g := newPriorityGate(seed)
		g.SetPrioritized(true)
		now := time.Second
		var running []*Ticket
		waiting, displaced := map[*Ticket]bool{}, 0
		admit := func(list []*Ticket) {
			for _, x := range list {
				require.True(t, waiting[x] && x.Admitted(), "seed %d", seed)
				delete(waiting, x)
				running = append(running, x)
			}
		}
		for range 3000 {
			now += time.Duration(rnd.IntN(8)) * time.Millisecond
			switch n := rnd.IntN(6); {
			case n < 3:
				x := &Ticket{Objective: objective, Retry: rnd.IntN(5) == 0, Priority: rnd.IntN(4)}
				accepted := g.AdmitOrQueue(now, x)
				for _, d := range g.TakeDisplaced() {
					require.True(t, waiting[d] && !d.Admitted() && accepted, "seed %d", seed)
					require.Greater(t, d.Priority, x.Priority, "seed %d", seed)
					delete(waiting, d)
					displaced++
				}
				switch {
				case accepted && x.Admitted():
					running = append(running, x)
				case accepted:
					waiting[x] = true
				}
			case n < 5 && len(running) > 0:
				i := rnd.IntN(len(running))
				x := running[i]
				running = slices.Delete(running, i, i+1)
				admit(g.Release(now, x))
			default:
				for x := range waiting {
					if x.WaitDeadline() <= now {
						require.True(t, g.Cancel(x), "seed %d", seed)
						delete(waiting, x)
					}
				}
				admit(g.ObserveGap(now, "g", time.Duration(50+rnd.IntN(60))*time.Millisecond))
			}
			require.Equal(t, len(running), g.groups["g"].running, "seed %d", seed)
			require.LessOrEqual(t, g.Waiting(), len(waiting), "seed %d", seed)
		}
		require.Positive(t, displaced, "seed %d", seed)
	}
}
