package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marjorampitch/internal/fuzztest"
)

// TestMain fixes rapid's seed and number of checks. With FUZZ=1 the seed is
// fresh, unless one is given, and printed.
func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Fixed{Seed: 20261203, Checks: 5000})
}

// attempts returns pending attempts on three keys: fresh, with two contents,
// and nearly too old.
func simAttempts(w *world, n int) []*attempt {
	nearlyOld := simKey(w.now.Add(-MaxKeyAge+3*time.Second), 2)
	keys := []Key{simKey(w.now, 1), simKey(w.now, 1), simKey(w.now, 1), nearlyOld}
	var as []*attempt
	for i := range n {
		k := w.choose(len(keys))
		content := uint64(7)
		if w.choose(10) == 0 {
			content = 8
		}
		as = append(as, &attempt{id: i, key: keys[k], content: content})
	}
	return as
}

// fuzzCase is one case of the fuzz: everything in it follows from these.
type fuzzCase struct {
	choices                 uint64
	faults, attempts, moves int
}

func drawCase(t *rapid.T) fuzzCase {
	return fuzzCase{
		choices:  rapid.Uint64().Draw(t, "choices"),
		faults:   rapid.IntRange(0, 8).Draw(t, "faults"),
		attempts: rapid.IntRange(2, 6).Draw(t, "attempts"),
		moves:    rapid.IntRange(60, 200).Draw(t, "moves"),
	}
}

// play plays the case and returns the world after it.
func (c fuzzCase) play(failf func(string, ...any)) *world {
	w := newWorld(3, 2, newChooser(c.choices), failf)
	w.faults = c.faults
	w.pending = simAttempts(w, c.attempts)
	w.play(c.moves)
	return w
}

// TestFixedCases plays what the fuzz has found.
func TestFixedCases(t *testing.T) {
	for name, c := range map[string]fuzzCase{
		"a trimmed claim was taken for a released one": {choices: 0xec, faults: 5, attempts: 3, moves: 60},
	} {
		t.Run(name, func(t *testing.T) { c.play(t.Fatalf).calm() })
	}
}

func TestFuzzAtMostOnce(t *testing.T) {
	cases, moves, execs := 0, 0, 0
	faults := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := drawCase(t).play(t.Fatalf)
		cases++
		moves += len(w.trace)
		execs += len(w.execs)
		for kind, n := range w.count {
			faults[kind] += n
		}
		w.calm()
	})
	t.Logf("cases=%d moves=%d executions=%d faults=%v", cases, moves, execs, faults)
}

// calm ends all faults and checks that a further attempt on each key gets an
// answer that does not blame the deadline.
func (w *world) calm() {
	w.faults, w.away = 0, false
	w.pending = nil
	seen := map[Key]uint64{}
	for _, a := range w.attempts {
		if _, ok := seen[a.key]; !ok {
			seen[a.key] = a.content
		}
	}
	for key, content := range seen {
		w.settle()
		a := &attempt{id: 100 + len(w.attempts), key: key, content: content}
		w.begin(a, w.entries[0], false)
		w.settle()
		if a.reply == nil {
			w.fail("attempt %d has no answer", a.id)
		}
		if a.reply.Err != nil && a.reply.Err.Code.Info().Name == "deadline-exceeded" {
			w.fail("attempt %d ran into its deadline", a.id)
		}
	}
}

// settle lets everything happen in order of readiness; timers come last.
func (w *world) settle() {
	const enough = 5000
	for range enough {
		m := w.calmMove()
		if m == nil {
			return
		}
		w.make(*m)
	}
	w.fail("does not settle")
}

func (w *world) calmMove() *move {
	ms := w.moves()
	for i := range ms {
		if !ms[i].isTimer() {
			return &ms[i]
		}
	}
	var first *simCall
	for _, e := range w.entries {
		for _, c := range e.calls {
			if !c.Done() && (first == nil || c.NextTick().Before(first.NextTick())) {
				first = c
			}
		}
	}
	if first == nil {
		return nil
	}
	return &move{label: fmt.Sprint("timer of ", first.att.id), run: func() { w.tick(first) }}
}
