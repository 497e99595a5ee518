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
	fuzztest.Main(m, fuzztest.Fixed{Seed: 11, Checks: 400})
}

// eventsARun is the length of a run, without the calm end.
const eventsARun = 600

// stats counts what a run has done.
type stats struct{ steps, switches, faults int }

// drawWorld draws a group of two to four ranks.
func drawWorld(t *rapid.T, broken mechanisms) *world {
	ranks := rapid.IntRange(2, 4).Draw(t, "ranks")
	checks := rapid.SliceOfN(rapid.Bool(), ranks, ranks).Draw(t, "engine checks fences")
	native := rapid.SliceOfN(rapid.Bool(), ranks, ranks).Draw(t, "engine switches at a step")
	w := newWorld(ranks, func(r int) bool { return checks[r] }, func(r int) bool { return native[r] }, broken)
	w.addCoordinator()
	return w
}

// pick draws one of n, or says that there is none. The library favours small
// numbers; mixing in the number of the draw makes all choices equally likely.
func (w *world) pick(t *rapid.T, n int, what string) (int, bool) {
	if n == 0 {
		return 0, false
	}
	w.draws++
	x := rapid.Uint64().Draw(t, what)
	return rand.New(rand.NewPCG(x, w.draws)).IntN(n), true
}

// event is one kind of thing that happens, with how often it is drawn.
type event struct {
	name   string
	weight int
	fault  bool
	do     func(t *rapid.T, w *world)
}

// events lists what happens in a group. Pauses are coordinators and sides that
// are not drawn while their messages stay in flight.
func events() []event {
	return []event{
		{"deliver", 30, false, func(t *rapid.T, w *world) { eachMessage(t, w, func(n int) { w.deliver(n, false) }) }},
		{"deliver first", 30, false, func(_ *rapid.T, w *world) {
			if len(w.net) > 0 {
				w.deliver(0, false)
			}
		}},
		{"fair round", 8, false, func(t *rapid.T, w *world) { eachCoordinator(t, w, w.calm) }},
		{"double", 3, true, func(t *rapid.T, w *world) { eachMessage(t, w, func(n int) { w.deliver(n, true) }) }},
		{"delay", 4, true, func(t *rapid.T, w *world) {
			eachMessage(t, w, func(n int) {
				w.slow = append(w.slow, w.net[n])
				if len(w.slow)%2 == 0 { // sent again meanwhile, so it is a double
					w.net = append(w.net[:n:n], w.net[n+1:]...)
				}
			})
		}},
		{"delayed arrives", 4, true, func(t *rapid.T, w *world) {
			if n, ok := w.pick(t, len(w.slow), "slow"); ok {
				w.net = append(w.net, w.slow[n])
				w.slow = append(w.slow[:n:n], w.slow[n+1:]...)
				w.deliver(len(w.net)-1, false)
			}
		}},
		{"drop", 2, true, func(t *rapid.T, w *world) {
			eachMessage(t, w, func(n int) { w.net = append(w.net[:n:n], w.net[n+1:]...) })
		}},
		{"execute", 25, false, func(t *rapid.T, w *world) { eachCommand(t, w, false) }},
		{"execute, answer lost", 1, true, func(t *rapid.T, w *world) { eachCommand(t, w, true) }},
		{"late command", 2, true, lateEvent},
		{"step", 40, false, func(t *rapid.T, w *world) { w.step(rank(t, w)) }},
		{"observe", 12, false, func(t *rapid.T, w *world) { w.observe(rank(t, w)) }},
		{"read fence", 10, false, func(t *rapid.T, w *world) { w.readFence(rank(t, w)) }},
		{"restart side", 1, true, func(t *rapid.T, w *world) { restartSideEvent(t, w) }},
		{"restart engine", 1, true, func(t *rapid.T, w *world) { w.restartEngine(rank(t, w)) }},
		{"tick", 8, false, func(t *rapid.T, w *world) { eachCoordinator(t, w, w.tick) }},
		{"propose", 6, false, func(t *rapid.T, w *world) { eachCoordinator(t, w, w.propose) }},
		{"claim", 10, false, func(t *rapid.T, w *world) { eachCoordinator(t, w, w.claimEvent) }},
		{"claim lands, answer late", 2, true, func(t *rapid.T, w *world) { eachCoordinator(t, w, w.appendClaimIfAsked) }},
		{"new coordinator", 1, true, func(_ *rapid.T, w *world) {
			if len(w.coords) < 6 {
				w.addCoordinator()
			}
		}},
		{"kill coordinator", 1, true, func(t *rapid.T, w *world) { eachCoordinator(t, w, func(i int) { w.coords[i] = nil }) }},
	}
}

func rank(t *rapid.T, w *world) int {
	r, _ := w.pick(t, len(w.engines), "rank")
	return r
}

func eachMessage(t *rapid.T, w *world, do func(n int)) {
	if n, ok := w.pick(t, len(w.net), "message"); ok {
		do(n)
	}
}

func eachCommand(t *rapid.T, w *world, lost bool) {
	r := rank(t, w)
	if n, ok := w.pick(t, len(w.sides[r].cmds), "command"); ok {
		w.execute(r, n, lost)
	}
}

func eachCoordinator(t *rapid.T, w *world, do func(i int)) {
	i, _ := w.pick(t, len(w.coords), "coordinator")
	if w.coords[i] != nil {
		do(i)
	}
}

// lateEvent lets a command of a side process that is gone reach the engine.
func lateEvent(t *rapid.T, w *world) {
	if n, ok := w.pick(t, len(w.late), "late"); ok {
		l := w.late[n]
		w.late = append(w.late[:n:n], w.late[n+1:]...)
		w.engines[l.rank].do(l.cmd)
	}
}

// restartSideEvent restarts a side process. Towards an engine that does not
// check fencing numbers its commands take effect before that or never.
func restartSideEvent(t *rapid.T, w *world) {
	r := rank(t, w)
	if !w.engines[r].checks {
		for _, c := range w.sides[r].cmds {
			if rapid.Bool().Draw(t, "took effect") {
				w.engines[r].do(c)
			}
		}
	}
	w.restartSide(r)
}

// claimEvent lets a claim that was asked for land and be answered.
func (w *world) claimEvent(i int) {
	if w.coords[i].claiming && w.coords[i].claim < 0 {
		w.appendClaim(i)
	}
	if w.coords[i].claim >= 0 {
		w.answerClaim(i)
	}
}

// appendClaimIfAsked lets a claim land, also a second time.
func (w *world) appendClaimIfAsked(i int) {
	if w.coords[i].claiming {
		w.appendClaim(i)
	}
}

// runEvents draws events and returns the oracle's finding, empty for none.
func runEvents(t *rapid.T, w *world, count int, st *stats) string {
	var deck []event
	calmness := rapid.IntRange(1, 6).Draw(t, "calmness")
	for _, e := range events() {
		weight := e.weight * calmness
		if e.fault {
			weight = e.weight
		}
		for range weight {
			deck = append(deck, e)
		}
	}
	w.settle(0)
	for range count {
		n, _ := w.pick(t, len(deck), "event")
		e := deck[n]
		e.do(t, w)
		w.trim()
		st.steps++
		if e.fault {
			st.faults++
		}
		if w.fault != "" {
			return w.fault
		}
	}
	return ""
}

// maps counts the maps that were used.
func (w *world) maps() int {
	seen := make(map[uint64]bool)
	for _, epoch := range w.used {
		seen[epoch] = true
	}
	return len(seen)
}

// TestFuzzOneMapPerStep drives groups through faults. Safety: no step is begun
// with two maps. Liveness: once faults stop, a coordinator settles the group,
// steps go on, and a new switch completes.
func TestFuzzOneMapPerStep(t *testing.T) {
	var st stats
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t, mechanisms{})
		require.Empty(t, runEvents(t, w, eventsARun, &st))
		w.late = nil
		i := w.addCoordinator()
		require.True(t, w.settle(i), "the group settles: %s", w)
		before, maps := w.engines[0].Next, w.maps()
		st.switches += maps - 1
		w.propose(i)
		for range 60 {
			w.calm(i)
		}
		require.Empty(t, w.fault)
		require.Greater(t, w.engines[0].Next, before, "steps go on")
		require.Greater(t, w.maps(), maps, "a new switch completes")
	})
	fmt.Printf("group: %d events, %d faults, %d switches among them\n", st.steps, st.faults, st.switches)
}

// TestTeeth takes one mechanism out at a time: the fuzz then finds a step with
// two maps within the stated number of runs, and the same run is clean with
// the mechanism in place.
func TestTeeth(t *testing.T) {
	const runs = 20000
	cases := []struct {
		name   string
		broken mechanisms
	}{
		{"no hold", mechanisms{noHold: true}},
		{"no fencing", mechanisms{noFence: true}},
		{"commit without all acks", mechanisms{earlyDone: true}},
		{"late rounds obeyed", mechanisms{noSeq: true}},
		{"abort although one committed", mechanisms{seenAbort: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seed, fault := firstFault(c.broken, runs)
			require.NotEmpty(t, fault, "no run of %d is red without the mechanism", runs)
			require.Empty(t, exampleRun(mechanisms{}, seed))
			t.Logf("seed %d: %s", seed, fault)
		})
	}
}

// firstFault returns the first seed whose run breaks, and how.
func firstFault(broken mechanisms, runs int) (seed int, fault string) {
	for seed = range runs {
		if fault = exampleRun(broken, seed); fault != "" {
			return seed, fault
		}
	}
	return runs, ""
}

func exampleRun(broken mechanisms, seed int) string {
	return rapid.Custom(func(t *rapid.T) string {
		w := drawWorld(t, broken)
		return runEvents(t, w, eventsARun, &stats{})
	}).Example(seed)
}
