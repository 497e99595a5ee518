package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjorampitch/wire"
)

const (
	crashSteps     = 3000
	crashPatience  = 100 // steps between looks at whether the callers have their answers
	crashInnocents = 24
)

// play runs one culprit, sent by some callers at once, among innocents.
func (w *crashWorld) play(callers int) {
	for i := range crashInnocents {
		w.call(culprit + 1 + uint64(i))
	}
	for range callers {
		w.call(culprit)
	}
	w.run(crashSteps / 2)
	w.calm = true
	clear(w.served)
	w.run(crashSteps / 2)
	for steps := 0; w.refused < callers && steps < crashSteps; steps += crashPatience {
		w.run(crashPatience)
	}
}

// check is the oracle: crashed servers against the bound, and innocents served.
func (w *crashWorld) check(patient bool, callers int) error {
	if w.refused != callers {
		return fmt.Errorf("%d callers were refused for good", w.refused)
	}
	for i := range crashInnocents {
		if !w.served[culprit+1+uint64(i)] {
			return fmt.Errorf("innocent %d is no longer served", i)
		}
	}
	if patient && len(w.crashes) > crashLimit+w.unseen+1 {
		return fmt.Errorf("%d servers went down", len(w.crashes))
	}
	if w.unseen > 0 {
		return nil
	}
	return w.checkTimes()
}

// checkTimes holds the starts of the culprit's runs against the window in
// which news spreads: the second crash ends its runs beside others, the
// trial's crash all its runs.
func (w *crashWorld) checkTimes() error {
	trial := time.Duration(1 << 62)
	for i, r := range w.crashes {
		if r.start > trial+crashWindow {
			return fmt.Errorf("a run began %v after the trial", r.start-trial)
		}
		if i >= crashLimit && !r.alone && r.start > w.crashes[crashLimit-1].start+crashWindow {
			return fmt.Errorf("a run began beside others after crash %d", crashLimit)
		}
		if r.alone {
			trial = min(trial, w.now, r.start)
		}
	}
	return nil
}

// TestFuzzQuarantine sends a request that crashes every engine again and
// again, through changing entries, while links are lost and processes replaced.
func TestFuzzQuarantine(t *testing.T) {
	down, lost, worst, shared := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		patient := rapid.Bool().Draw(t, "patient")
		w := newCrashWorld(source.IntN)
		callers := 1
		if patient {
			w.wait = crashWindow
		} else {
			callers = rapid.IntRange(1, 4).Draw(t, "callers")
		}
		w.play(callers)
		require.NoError(t, w.check(patient, callers))
		down += len(w.crashes)
		lost += w.lost
		shared += w.shared
		worst = max(worst, len(w.crashes))
	})
	t.Log("servers down", down, "worst case", worst, "innocents caught", shared, "links lost", lost, "steps per case", crashSteps)
}

// TestQuarantineTeeth takes one mechanism out at a time.
func TestQuarantineTeeth(t *testing.T) {
	mutants := map[string]func(*crashWorld){
		"crashes not attributed": func(w *crashWorld) { w.broken = func(*Quarantine) {} },
		"refused without a trial": func(w *crashWorld) {
			w.bent = func(v Verdict) Verdict {
				if v == RunAlone {
					return Refuse
				}
				return v
			}
		},
		"no draining for a trial": func(w *crashWorld) { w.greedy, w.wait = true, crashWindow },
		"trial not alone": func(w *crashWorld) {
			w.bent = func(v Verdict) Verdict {
				if v == RunAlone {
					return Run
				}
				return v
			}
		},
		"suspicion not spread": func(w *crashWorld) { w.spread = false },
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				w := newCrashWorld(rand.New(rand.NewPCG(seed, 3)).IntN)
				mutant(w)
				w.play(4)
				if err := w.check(false, 4); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the oracle did not see the missing mechanism")
		})
	}
}

// TestQuarantineOrder checks that evidence joins to the same verdict in any order.
func TestQuarantineOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evidence := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.Suspect {
			return wire.Suspect{
				Fingerprint: 1,
				Crash:       rapid.Uint64Range(1, 4).Draw(t, "crash"),
				Alone:       rapid.Bool().Draw(t, "alone"),
				Cleared:     rapid.Bool().Draw(t, "cleared"),
			}
		}), 1, 8).Draw(t, "evidence")
		shuffled := rapid.Permutation(evidence).Draw(t, "shuffled")
		a, b := NewQuarantine(2), NewQuarantine(2)
		a.Merge(evidence, 0)
		b.Merge(shuffled, 0)
		b.Merge(shuffled, 0)
		require.Equal(t, a.Check(1, 0), b.Check(1, 0))
	})
}
