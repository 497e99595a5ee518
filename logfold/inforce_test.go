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

// fleet is a world of entries that are connected to all sides; entries have
// no connections among each other, and neither have sides.
func fleet(seed uint64, entries, sides int, entryReads logfold.ReadMode) *world {
	w := newWorld(seed)
	for i := range entries {
		w.add(fmt.Sprintf("d%d", i%numCentres), entryReads, true)
	}
	for i := range sides {
		w.add(fmt.Sprintf("d%d", i%numCentres), logfold.ReadWhenNeeded, false)
	}
	for a := range w.procs {
		for b := range a {
			if (a < entries) == (b < entries) {
				w.cut[pair(a, b)] = true
			}
		}
	}
	return w
}

// measureInForce publishes changes and returns, for every change and process,
// the seconds from the moment that it was stored until it was in force.
func measureInForce(t *testing.T, w *world, changes int) []float64 {
	p := w.publisher("measure")
	p.Patience = 0
	var seconds []float64
	for i := range changes {
		r, err := p.Publish(context.Background(), uint64(i), text(i, true))
		require.NoError(t, err)
		require.Equal(t, publish.Accepted, r.Status)
		stored := w.now
		missing := len(w.procs)
		got := make([]bool, len(w.procs))
		for missing > 0 && w.now < stored+time.Minute {
			w.step()
			for j, q := range w.procs {
				doc := q.follower.InForce()
				if !got[j] && doc != nil && doc.Offset == int64(r.Offset) {
					got[j] = true
					missing--
					seconds = append(seconds, (w.now - stored).Seconds())
				}
			}
		}
		require.Zero(t, missing, "processes without change %d", i)
		for range 30 + w.rng.IntN(20) {
			w.step()
		}
	}
	return seconds
}

// TestTimeUntilInForce measures, in virtual time with 0 to 200 ms a message,
// how long a stored change takes to be in force, and holds it to the bound.
// With FUZZ=1 it measures more changes.
func TestTimeUntilInForce(t *testing.T) {
	for _, c := range []struct {
		name           string
		entries, sides int
		reads          logfold.ReadMode
		cutOff         bool // sides cannot reach the log
	}{
		{"8 processes", 2, 6, logfold.ReadAlways, false},
		{"200 processes", 8, 192, logfold.ReadAlways, false},
		{"200 processes, sides cut off from the log", 8, 192, logfold.ReadAlways, true},
		{"200 processes, all read when needed", 8, 192, logfold.ReadWhenNeeded, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := fleet(7, c.entries, c.sides, c.reads)
			for _, p := range w.procs[c.entries:] {
				p.logCut = c.cutOff
			}
			changes := 3
			if os.Getenv("FUZZ") == "1" {
				changes = 10
			}
			seconds := measureInForce(t, w, changes)
			slices.Sort(seconds)
			worst := seconds[len(seconds)-1]
			require.LessOrEqual(t, worst, quietBound.Seconds())
			median := stat.Quantile(0.5, stat.Empirical, seconds, nil)
			p99 := stat.Quantile(0.99, stat.Empirical, seconds, nil)
			t.Logf("in force after: median %.1f s, p99 %.1f s, worst %.1f s; reads of the log %.1f/s; documents handed over %d",
				median, p99, worst, float64(w.counts["read"])/w.now.Seconds(), w.counts["handed over"])
		})
	}
}
