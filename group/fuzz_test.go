package group

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjorampitch/internal/fuzztest"
)

func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Defaults{Seed: 11, Checks: 400})
}

// eventsPerRun is the number of events of a run, without the fault-free rounds
// at its end.
const eventsPerRun = 600

// stats counts the events of all runs.
type stats struct{ steps, switches, faults int }

// drawSimulation draws a group of two to four ranks with one coordinator.
func drawSimulation(t *rapid.T, mut mutation) *simulation {
	ranks := rapid.IntRange(2, 4).Draw(t, "ranks")
	checks := rapid.SliceOfN(rapid.Bool(), ranks, ranks).Draw(t, "engine checks fences")
	switchesAt := rapid.SliceOfN(rapid.Bool(), ranks, ranks).Draw(t, "engine switches at a step")
	sim := newSimulation(ranks, func(r int) bool { return checks[r] }, func(r int) bool { return switchesAt[r] }, mut)
	sim.addCoordinator()
	return sim
}

// pick draws an index below n, or returns false if n is 0. rapid favours small
// numbers, so the drawn value only seeds a generator, together with the number
// of the draw, which makes all choices equally likely.
func (sim *simulation) pick(t *rapid.T, n int, label string) (int, bool) {
	if n == 0 {
		return 0, false
	}
	sim.draws++
	x := rapid.Uint64().Draw(t, label)
	return rand.New(rand.NewPCG(x, sim.draws)).IntN(n), true
}

// event is a kind of event with its relative frequency.
type event struct {
	name   string
	weight int
	fault  bool
	do     func(t *rapid.T, sim *simulation)
}

// events returns the kinds of events. There is none for a paused process: a
// coordinator or sidecar pauses while none of its events is drawn and its
// messages stay in flight.
func events() []event {
	return []event{
		{"deliver", 30, false, func(t *rapid.T, sim *simulation) { withRandomMessage(t, sim, func(n int) { sim.deliver(n, false) }) }},
		{"deliver first", 30, false, func(_ *rapid.T, sim *simulation) {
			if len(sim.net) > 0 {
				sim.deliver(0, false)
			}
		}},
		{"fair round", 8, false, func(t *rapid.T, sim *simulation) { withRandomCoordinator(t, sim, sim.fairRound) }},
		{"duplicate", 3, true, func(t *rapid.T, sim *simulation) { withRandomMessage(t, sim, func(n int) { sim.deliver(n, true) }) }},
		{"delay", 4, true, func(t *rapid.T, sim *simulation) {
			withRandomMessage(t, sim, func(n int) {
				sim.delayed = append(sim.delayed, sim.net[n])
				if len(sim.delayed)%2 == 0 { // otherwise the message is duplicated, as by a resend
					sim.net = append(sim.net[:n:n], sim.net[n+1:]...)
				}
			})
		}},
		{"deliver delayed", 4, true, func(t *rapid.T, sim *simulation) {
			if n, ok := sim.pick(t, len(sim.delayed), "delayed"); ok {
				sim.net = append(sim.net, sim.delayed[n])
				sim.delayed = append(sim.delayed[:n:n], sim.delayed[n+1:]...)
				sim.deliver(len(sim.net)-1, false)
			}
		}},
		{"drop", 2, true, func(t *rapid.T, sim *simulation) {
			withRandomMessage(t, sim, func(n int) { sim.net = append(sim.net[:n:n], sim.net[n+1:]...) })
		}},
		{"execute", 25, false, func(t *rapid.T, sim *simulation) { executeRandomCommand(t, sim, false) }},
		{"execute, answer lost", 1, true, func(t *rapid.T, sim *simulation) { executeRandomCommand(t, sim, true) }},
		{"late command", 2, true, deliverLateCommand},
		{"step", 40, false, func(t *rapid.T, sim *simulation) { sim.step(rank(t, sim)) }},
		{"observe", 12, false, func(t *rapid.T, sim *simulation) { sim.observe(rank(t, sim)) }},
		{"read fence", 10, false, func(t *rapid.T, sim *simulation) { sim.readFence(rank(t, sim)) }},
		{"restart sidecar", 1, true, func(t *rapid.T, sim *simulation) { restartSideAtRandom(t, sim) }},
		{"restart engine", 1, true, func(t *rapid.T, sim *simulation) { sim.restartEngine(rank(t, sim)) }},
		{"tick", 8, false, func(t *rapid.T, sim *simulation) { withRandomCoordinator(t, sim, sim.tick) }},
		{"propose", 6, false, func(t *rapid.T, sim *simulation) { withRandomCoordinator(t, sim, sim.propose) }},
		{"claim", 10, false, func(t *rapid.T, sim *simulation) { withRandomCoordinator(t, sim, sim.completeClaim) }},
		{"append claim, answer late", 2, true, func(t *rapid.T, sim *simulation) { withRandomCoordinator(t, sim, sim.appendRequestedClaim) }},
		{"new coordinator", 1, true, func(_ *rapid.T, sim *simulation) {
			if len(sim.coords) < 6 {
				sim.addCoordinator()
			}
		}},
		{"kill coordinator", 1, true, func(t *rapid.T, sim *simulation) { withRandomCoordinator(t, sim, func(i int) { sim.coords[i] = nil }) }},
	}
}

func rank(t *rapid.T, sim *simulation) int {
	r, _ := sim.pick(t, len(sim.engines), "rank")
	return r
}

func withRandomMessage(t *rapid.T, sim *simulation, do func(n int)) {
	if n, ok := sim.pick(t, len(sim.net), "message"); ok {
		do(n)
	}
}

func executeRandomCommand(t *rapid.T, sim *simulation, lost bool) {
	r := rank(t, sim)
	if n, ok := sim.pick(t, len(sim.sides[r].cmds), "command"); ok {
		sim.execute(r, n, lost)
	}
}

func withRandomCoordinator(t *rapid.T, sim *simulation, do func(i int)) {
	i, _ := sim.pick(t, len(sim.coords), "coordinator")
	if sim.coords[i] != nil {
		do(i)
	}
}

// deliverLateCommand delivers a command of a terminated sidecar to the engine.
func deliverLateCommand(t *rapid.T, sim *simulation) {
	if n, ok := sim.pick(t, len(sim.lateCommands), "late"); ok {
		l := sim.lateCommands[n]
		sim.lateCommands = append(sim.lateCommands[:n:n], sim.lateCommands[n+1:]...)
		sim.engines[l.rank].do(l.cmd)
	}
}

// restartSideAtRandom restarts the sidecar of a random rank. If the engine does
// not check fencing numbers, commands in progress take effect before the
// restart or never.
func restartSideAtRandom(t *rapid.T, sim *simulation) {
	r := rank(t, sim)
	if !sim.engines[r].checks {
		for _, c := range sim.sides[r].cmds {
			if rapid.Bool().Draw(t, "took effect") {
				sim.engines[r].do(c)
			}
		}
	}
	sim.restartSide(r)
}

// completeClaim appends a requested claim and answers it.
func (sim *simulation) completeClaim(i int) {
	if sim.coords[i].claiming && sim.coords[i].claim < 0 {
		sim.appendClaim(i)
	}
	if sim.coords[i].claim >= 0 {
		sim.answerClaim(i)
	}
}

// appendRequestedClaim appends a requested claim without answering it, possibly
// for the second time.
func (sim *simulation) appendRequestedClaim(i int) {
	if sim.coords[i].claiming {
		sim.appendClaim(i)
	}
}

// runEvents draws and applies events until the checks find a violation, which
// it returns; empty for none.
func runEvents(t *rapid.T, sim *simulation, count int, st *stats) string {
	var weighted []event
	faultFree := rapid.IntRange(1, 6).Draw(t, "weight factor of events that are not faults")
	for _, e := range events() {
		weight := e.weight * faultFree
		if e.fault {
			weight = e.weight
		}
		for range weight {
			weighted = append(weighted, e)
		}
	}
	sim.runUntilIdle(0)
	for range count {
		n, _ := sim.pick(t, len(weighted), "event")
		e := weighted[n]
		e.do(t, sim)
		sim.dropOldest()
		st.steps++
		if e.fault {
			st.faults++
		}
		if sim.violation != "" {
			return sim.violation
		}
	}
	return ""
}

// countMaps returns the number of countMaps that steps have used.
func (sim *simulation) countMaps() int {
	seen := make(map[uint64]bool)
	for _, epoch := range sim.mapOfStep {
		seen[epoch] = true
	}
	return len(seen)
}

// TestFuzzOneMapPerStep runs groups under random faults. Safety: no two ranks
// begin a step with different maps. Liveness: once faults stop, a new coordinator
// becomes idle, steps advance, and a new switch completes.
func TestFuzzOneMapPerStep(t *testing.T) {
	var st stats
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, mutation{})
		require.Empty(t, runEvents(t, sim, eventsPerRun, &st))
		sim.lateCommands = nil
		i := sim.addCoordinator()
		require.True(t, sim.runUntilIdle(i), "the coordinator becomes idle: %s", sim)
		before, maps := sim.engines[0].Next, sim.countMaps()
		st.switches += maps - 1
		sim.propose(i)
		for range 60 {
			sim.fairRound(i)
		}
		require.Empty(t, sim.violation)
		require.Greater(t, sim.engines[0].Next, before, "steps advance")
		require.Greater(t, sim.countMaps(), maps, "a new switch completes")
	})
	fmt.Printf("group: %d events, %d faults, %d switches among them\n", st.steps, st.faults, st.switches)
}

// TestMutations disables one mechanism at a time: the fuzz test must then find a
// step with two maps within the given number of runs, and the same run must find
// none with the mechanism enabled.
func TestMutations(t *testing.T) {
	const runs = 20000
	cases := []struct {
		name string
		mut  mutation
	}{
		{"no hold", mutation{noHold: true}},
		{"no fencing", mutation{noFence: true}},
		{"commit without all acks", mutation{earlyCompletion: true}},
		{"orders of earlier rounds executed", mutation{noSeq: true}},
		{"abort although one committed", mutation{abortCommitted: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seed, violation := firstViolation(c.mut, runs)
			require.NotEmpty(t, violation, "none of %d runs fails without the mechanism", runs)
			require.Empty(t, exampleRun(mutation{}, seed))
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}

// firstViolation returns the first seed whose run finds a violation, and the violation.
func firstViolation(mut mutation, runs int) (seed int, violation string) {
	for seed = range runs {
		if violation = exampleRun(mut, seed); violation != "" {
			return seed, violation
		}
	}
	return runs, ""
}

func exampleRun(mut mutation, seed int) string {
	return rapid.Custom(func(t *rapid.T) string {
		sim := drawSimulation(t, mut)
		return runEvents(t, sim, eventsPerRun, &stats{})
	}).Example(seed)
}
