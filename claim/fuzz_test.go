package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marjorampitch/internal/fuzztest"
)

// TestMain sets a fixed seed and number of checks for rapid. With FUZZ=1 the seed is
// random, unless one is given, and is printed.
func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Defaults{Seed: 20261203, Checks: 5000})
}

// simAttempts returns n attempts on two keys, a new one (preferred) and one close to
// MaxKeyAge. One attempt in ten has different content.
func simAttempts(sim *simulation, n int) []*attempt {
	nearlyOld := simKey(sim.now.Add(-MaxKeyAge+3*time.Second), 2)
	keys := []Key{simKey(sim.now, 1), simKey(sim.now, 1), simKey(sim.now, 1), nearlyOld}
	var as []*attempt
	for i := range n {
		k := sim.choose(len(keys))
		content := uint64(7)
		if sim.choose(10) == 0 {
			content = 8
		}
		as = append(as, &attempt{id: i, key: keys[k], content: content})
	}
	return as
}

// fuzzCase holds the parameters that determine one fuzz case completely.
type fuzzCase struct {
	choices                       uint64
	faults, attempts, transitions int
}

func drawCase(t *rapid.T) fuzzCase {
	return fuzzCase{
		choices:     rapid.Uint64().Draw(t, "choices"),
		faults:      rapid.IntRange(0, 8).Draw(t, "faults"),
		attempts:    rapid.IntRange(2, 6).Draw(t, "attempts"),
		transitions: rapid.IntRange(60, 200).Draw(t, "transitions"),
	}
}

// run runs the case and returns the resulting simulation.
func (c fuzzCase) run(failf func(string, ...any)) *simulation {
	sim := newSimulation(3, 2, seededIntN(c.choices), failf)
	sim.faults = c.faults
	sim.pending = simAttempts(sim, c.attempts)
	sim.runRandom(c.transitions)
	return sim
}

// TestRegressionCases runs cases in which the fuzz test found a violation.
func TestRegressionCases(t *testing.T) {
	for name, c := range map[string]fuzzCase{
		"trimmed claim treated as released": {choices: 0xec, faults: 5, attempts: 3, transitions: 60},
	} {
		t.Run(name, func(t *testing.T) { c.run(t.Fatalf).checkRecovery() })
	}
}

// TestFuzzAtMostOnce runs attempts under random faults. The oracle checks that no key
// runs twice and that no attempt answered "not run" has run.
func TestFuzzAtMostOnce(t *testing.T) {
	cases, transitions, executions := 0, 0, 0
	faults := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := drawCase(t).run(t.Fatalf)
		cases++
		transitions += len(sim.trace)
		executions += len(sim.executions)
		for kind, n := range sim.faultCounts {
			faults[kind] += n
		}
		sim.checkRecovery()
	})
	t.Logf("cases=%d transitions=%d executions=%d faults=%v", cases, transitions, executions, faults)
}

// checkRecovery ends all faults and checks that a further attempt on each key is
// answered before its deadline.
func (sim *simulation) checkRecovery() {
	sim.faults, sim.logDown = 0, false
	sim.pending = nil
	seen := map[Key]uint64{}
	for _, a := range sim.attempts {
		if _, ok := seen[a.key]; !ok {
			seen[a.key] = a.content
		}
	}
	for key, content := range seen {
		sim.runUntilIdle()
		a := &attempt{id: 100 + len(sim.attempts), key: key, content: content}
		sim.startAttempt(a, sim.entries[0], false)
		sim.runUntilIdle()
		if a.reply == nil {
			sim.fail("attempt %d has no answer", a.id)
		}
		if a.reply.Err != nil && a.reply.Err.Code.Info().Name == "deadline-exceeded" {
			sim.fail("attempt %d ran into its deadline", a.id)
		}
	}
}

// runUntilIdle makes all enabled transitions without faults, timers last.
func (sim *simulation) runUntilIdle() {
	const maxTransitions = 5000
	for range maxTransitions {
		tr := sim.nextWithoutFault()
		if tr == nil {
			return
		}
		sim.apply(*tr)
	}
	sim.fail("not idle after %d transitions", maxTransitions)
}

func (sim *simulation) nextWithoutFault() *transition {
	ts := sim.transitions()
	for i := range ts {
		if !ts[i].isTimer() {
			return &ts[i]
		}
	}
	var first *simCall
	for _, e := range sim.entries {
		for _, c := range e.calls {
			if !c.Done() && (first == nil || c.NextTick().Before(first.NextTick())) {
				first = c
			}
		}
	}
	if first == nil {
		return nil
	}
	return &transition{label: fmt.Sprint("timer of attempt ", first.attempt.id), run: func() { sim.tick(first) }}
}
