package logfold_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"

	"marjorampitch/config/publish"
	"marjorampitch/logfold"
)

// newFleet returns a simulation of front proxies (entries) and sidecars (sides).
// Every front proxy is connected to every sidecar. There are no connections among
// front proxies or among sidecars.
func newFleet(seed uint64, entries, sides int, entryReads logfold.ReadMode) *simulation {
	sim := newSimulation(seed)
	for i := range entries {
		sim.add(fmt.Sprintf("d%d", i%numCentres), entryReads, true)
	}
	for i := range sides {
		sim.add(fmt.Sprintf("d%d", i%numCentres), logfold.ReadWhenNeeded, false)
	}
	for a := range sim.procs {
		for b := range a {
			if (a < entries) == (b < entries) {
				sim.disconnected[pair(a, b)] = true
			}
		}
	}
	return sim
}

// measureActivation publishes changes and returns, for every change and process,
// the seconds from the time it was stored until it was active.
func measureActivation(t *testing.T, sim *simulation, changes int) []float64 {
	p := sim.publisher("measure")
	p.ReadBackTimeout = 0
	var seconds []float64
	for i := range changes {
		r, err := p.Publish(context.Background(), uint64(i), text(i, true))
		require.NoError(t, err)
		require.Equal(t, publish.Accepted, r.Status)
		stored := sim.now
		missing := len(sim.procs)
		done := make([]bool, len(sim.procs))
		for missing > 0 && sim.now < stored+time.Minute {
			sim.step()
			for j, q := range sim.procs {
				doc := q.follower.ActiveDocument()
				if !done[j] && doc != nil && doc.Offset == int64(r.Offset) {
					done[j] = true
					missing--
					seconds = append(seconds, (sim.now - stored).Seconds())
				}
			}
		}
		require.Zero(t, missing, "processes without change %d", i)
		for range 30 + sim.rng.IntN(20) {
			sim.step()
		}
	}
	return seconds
}

// TestTimeUntilActive measures the time from storing a change until it is active
// in every process, and checks it against convergenceBound. Time is virtual, and
// messages take 0 to 200 ms. With FUZZ=1 it measures more changes.
func TestTimeUntilActive(t *testing.T) {
	for _, c := range []struct {
		name           string
		entries, sides int
		reads          logfold.ReadMode
		logUnreachable bool // sides cannot reach the log
	}{
		{"8 processes", 2, 6, logfold.ReadAlways, false},
		{"200 processes", 8, 192, logfold.ReadAlways, false},
		{"200 processes, sidecars disconnected from the log", 8, 192, logfold.ReadAlways, true},
		{"200 processes, all read when needed", 8, 192, logfold.ReadWhenNeeded, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newFleet(7, c.entries, c.sides, c.reads)
			for _, p := range sim.procs[c.entries:] {
				p.logUnreachable = c.logUnreachable
			}
			changes := 3
			if os.Getenv("FUZZ") == "1" {
				changes = 10
			}
			seconds := measureActivation(t, sim, changes)
			slices.Sort(seconds)
			worst := seconds[len(seconds)-1]
			require.LessOrEqual(t, worst, convergenceBound.Seconds())
			median := stat.Quantile(0.5, stat.Empirical, seconds, nil)
			p99 := stat.Quantile(0.99, stat.Empirical, seconds, nil)
			t.Logf("active after: median %.1f s, p99 %.1f s, worst %.1f s; reads of the log %.1f/s; documents sent by peers %d",
				median, p99, worst, float64(sim.counts["read"])/sim.now.Seconds(), sim.counts["documents sent by peers"])
		})
	}
}
