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
	crashSteps         = 3000
	crashCheckInterval = 100 // steps between checks whether all callers were refused
	crashHarmless      = 24  // number of harmless requests
)

// runScenario simulates callers that send the poison request concurrently, among
// harmless requests: first with faults, then without, until all callers of the
// poison request have been refused or time runs out.
func (sim *crashSim) runScenario(callers int) {
	for i := range crashHarmless {
		sim.sendRequest(poisonFP + 1 + uint64(i))
	}
	for range callers {
		sim.sendRequest(poisonFP)
	}
	sim.run(crashSteps / 2)
	sim.noFaults = true
	clear(sim.served)
	sim.run(crashSteps / 2)
	for steps := 0; sim.refusedCallers < callers && steps < crashSteps; steps += crashCheckInterval {
		sim.run(crashCheckInterval)
	}
}

// checkResult is the test oracle: all callers of the poison request were refused,
// the harmless requests are still served, and few enough engines crashed. With
// slowRetry, the poison request was sent again only after evidence had spread.
func (sim *crashSim) checkResult(slowRetry bool, callers int) error {
	if sim.refusedCallers != callers {
		return fmt.Errorf("%d callers were refused for good", sim.refusedCallers)
	}
	for i := range crashHarmless {
		if !sim.served[poisonFP+1+uint64(i)] {
			return fmt.Errorf("harmless request %d is no longer served", i)
		}
	}
	if slowRetry && len(sim.crashes) > crashLimit+sim.observersLost+1 {
		return fmt.Errorf("%d engines crashed", len(sim.crashes))
	}
	if sim.observersLost > 0 {
		return nil
	}
	return sim.checkTimes()
}

// checkTimes checks when runs of the poison request started. Within crashWindow
// evidence spreads to all processes: after crash number crashLimit the request
// runs only alone, and after a crash while it ran alone it runs no more.
func (sim *crashSim) checkTimes() error {
	trial := time.Duration(1 << 62)
	for i, r := range sim.crashes {
		if r.start > trial+crashWindow {
			return fmt.Errorf("a run started %v after the trial", r.start-trial)
		}
		if i >= crashLimit && !r.alone && r.start > sim.crashes[crashLimit-1].start+crashWindow {
			return fmt.Errorf("a run started without being alone after crash %d", crashLimit)
		}
		if r.alone {
			trial = min(trial, sim.now, r.start)
		}
	}
	return nil
}

// TestFuzzQuarantine sends a request that crashes every engine repeatedly through
// different front proxies, while links are lost and processes are replaced. It
// guards against further crashes after the request must be refused, and against
// harmless requests being refused with it.
func TestFuzzQuarantine(t *testing.T) {
	crashes, linksLost, worst, harmlessAffected := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		slowRetry := rapid.Bool().Draw(t, "slow retry")
		sim := newCrashSim(source.IntN)
		callers := 1
		if slowRetry {
			sim.retryDelay = crashWindow
		} else {
			callers = rapid.IntRange(1, 4).Draw(t, "callers")
		}
		sim.runScenario(callers)
		require.NoError(t, sim.checkResult(slowRetry, callers))
		crashes += len(sim.crashes)
		linksLost += sim.linksLost
		harmlessAffected += sim.harmlessAffected
		worst = max(worst, len(sim.crashes))
	})
	t.Log("servers down", crashes, "worst case", worst, "harmless requests affected", harmlessAffected, "links lost", linksLost, "steps per case", crashSteps)
}

// TestQuarantineMutations disables one mechanism at a time and checks that the
// oracle finds a violation.
func TestQuarantineMutations(t *testing.T) {
	mutations := map[string]func(*crashSim){
		"crashes not attributed": func(sim *crashSim) { sim.skipAttribution = func(*Quarantine) {} },
		"refused without a trial": func(sim *crashSim) {
			sim.overrideVerdict = func(v Verdict) Verdict {
				if v == RunAlone {
					return Refuse
				}
				return v
			}
		},
		"no draining for a trial": func(sim *crashSim) { sim.noDraining, sim.retryDelay = true, crashWindow },
		"trial not alone": func(sim *crashSim) {
			sim.overrideVerdict = func(v Verdict) Verdict {
				if v == RunAlone {
					return Run
				}
				return v
			}
		},
		"evidence not exchanged": func(sim *crashSim) { sim.exchange = false },
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				sim := newCrashSim(rand.New(rand.NewPCG(seed, 3)).IntN)
				mutate(sim)
				sim.runScenario(4)
				if err := sim.checkResult(false, 4); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the oracle found no violation with the mechanism disabled")
		})
	}
}

// TestQuarantineOrder checks that the verdict does not depend on the order or
// repetition of the evidence.
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
