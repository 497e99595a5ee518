package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const coldSimSteps = 600

// run simulates the given number of steps and returns the first violation.
func (sim *coldSim) run(steps int) error {
	for range steps {
		sim.step()
		if sim.violation != nil {
			return sim.violation
		}
	}
	return nil
}

// TestFuzzColdStart checks under random faults that the engine never runs more
// requests than its limit, and that the limit grows back to the warm limit once
// the faults end.
func TestFuzzColdStart(t *testing.T) {
	faults := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sim := newColdSim(source.IntN)
		sim.faults = faults
		require.NoError(t, sim.run(coldSimSteps))
		sim.noFaults = true
		sim.engine.cold = false
		require.NoError(t, sim.run(coldSimSteps))
		require.Equal(t, sim.cfg.WarmLimit, sim.side.Limit(sim.now), "the limit grows again: %+v", sim.side)
	})
	t.Log("faults", faults, "steps per case", 2*coldSimSteps)
}

// TestColdStartMutations disables one mechanism at a time and checks that the
// oracle finds a violation, and that it finds none in the unchanged code.
func TestColdStartMutations(t *testing.T) {
	mutations := map[string]func(*coldSim){
		"untracked requests not counted": func(sim *coldSim) {
			sim.mutate = func(c *ColdStart, _ time.Duration) { c.untrackedKnown, c.untracked = true, 0 }
		},
		"reports never too old": func(sim *coldSim) {
			sim.mutate = func(c *ColdStart, _ time.Duration) { c.cfg.MaxReportAge = time.Hour }
		},
		"sent without Confirm":    func(sim *coldSim) { sim.ignoreConfirm = true },
		"incarnation ignored":     func(sim *coldSim) { sim.ignoreIncarnation = true },
		"reports of cold ignored": func(sim *coldSim) { sim.ignoreCold = true },
		"running requests not counted": func(sim *coldSim) {
			sim.mutate = func(c *ColdStart, now time.Duration) {
				if c.Cold(now) {
					c.running = map[Ticket]flight{}
				}
			}
		},
		"warm from the start": func(sim *coldSim) {
			sim.mutate = func(c *ColdStart, _ time.Duration) { c.limit = simWarmLimit }
		},
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4000) {
				sim := newColdSim(rand.New(rand.NewPCG(seed, 2)).IntN)
				mutate(sim)
				if err := sim.run(coldSimSteps); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the oracle found no violation with the mechanism disabled")
		})
	}
	for seed := range uint64(100) {
		sim := newColdSim(rand.New(rand.NewPCG(seed, 2)).IntN)
		require.NoError(t, sim.run(coldSimSteps), "seed %d", seed)
	}
}

// TestPlainServiceGrows checks that the limit of a service without load reports
// grows by completed requests, also when the same configuration is applied
// repeatedly, and that lower limits and a crash take effect at once.
func TestPlainServiceGrows(t *testing.T) {
	c := NewColdStart(ColdStartConfig{ColdLimit: 2, WarmLimit: 16, SettleTime: time.Second}, 0)
	now := 2 * time.Second
	for range 50 {
		var running []Ticket
		for ticket, err := c.Admit(now, false); err == nil; ticket, err = c.Admit(now, false) {
			running = append(running, ticket)
		}
		for _, ticket := range running {
			c.Finish(ticket, now, true)
		}
		now += 100 * time.Millisecond
		c.Reconfigure(2, 16)
	}
	require.Equal(t, 16, c.Limit(now))
	require.False(t, c.Cold(now))
	c.Reconfigure(1, 8)
	require.Equal(t, 8, c.Limit(now))
	c.RecordCrash(now)
	require.Equal(t, 1, c.Limit(now))
}
