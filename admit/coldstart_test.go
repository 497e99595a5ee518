package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const coldSteps = 600

// run plays one case and returns the first violation.
func (w *coldWorld) run(steps int) error {
	for range steps {
		w.step()
		if w.failed != nil {
			return w.failed
		}
	}
	return nil
}

// TestFuzzColdStart holds the engine's own count against the bound, and then
// requires that a healthy engine is used in full again.
func TestFuzzColdStart(t *testing.T) {
	faults := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := newColdWorld(source.IntN)
		w.faults = faults
		require.NoError(t, w.run(coldSteps))
		w.calm = true
		w.engine.cold = false
		require.NoError(t, w.run(coldSteps))
		require.Equal(t, w.cfg.WarmLimit, w.side.Limit(w.now), "the limit grows again: %+v", w.side)
	})
	t.Log("faults", faults, "steps per case", 2*coldSteps)
}

// TestColdStartTeeth takes one mechanism out at a time: the oracle must see it.
func TestColdStartTeeth(t *testing.T) {
	mutants := map[string]func(*coldWorld){
		"left behind not counted": func(w *coldWorld) {
			w.mutate = func(c *ColdStart, _ time.Duration) { c.known, c.foreign = true, 0 }
		},
		"evidence never too old": func(w *coldWorld) {
			w.mutate = func(c *ColdStart, _ time.Duration) { c.cfg.MaxReportAge = time.Hour }
		},
		"incarnation ignored":     func(w *coldWorld) { w.deaf = true },
		"reports of cold ignored": func(w *coldWorld) { w.blind = true },
		"in flight forgotten": func(w *coldWorld) {
			w.mutate = func(c *ColdStart, now time.Duration) {
				if c.Cold(now) {
					c.running = map[Ticket]flight{}
				}
			}
		},
		"warm from the start": func(w *coldWorld) {
			w.mutate = func(c *ColdStart, _ time.Duration) { c.limit = worldWarm }
		},
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4000) {
				w := newColdWorld(rand.New(rand.NewPCG(seed, 2)).IntN)
				mutant(w)
				if err := w.run(coldSteps); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the oracle did not see the missing mechanism")
		})
	}
	for seed := range uint64(100) {
		w := newColdWorld(rand.New(rand.NewPCG(seed, 2)).IntN)
		require.NoError(t, w.run(coldSteps), "seed %d", seed)
	}
}

// TestPlainServiceGrows checks that a service without reports leaves cold start
// on its completed requests, also while the same document is applied again.
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
