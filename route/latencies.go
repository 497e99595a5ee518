package route

import (
	"slices"
	"time"
)

// Sizes of latencies.
const (
	latencyWindow = 256 // latest samples kept
	latencyEvery  = 64  // samples between two computations of the p95
)

// latencies keeps the p95 of the latest samples.
type latencies struct {
	samples []time.Duration
	n       int
	last    time.Duration
}

func (l *latencies) add(d time.Duration) {
	if len(l.samples) < latencyWindow {
		l.samples = append(l.samples, d)
	} else {
		l.samples[l.n%latencyWindow] = d
	}
	l.n++
	if l.n%latencyEvery == 0 {
		sorted := slices.Sorted(slices.Values(l.samples))
		l.last = sorted[len(sorted)*95/100]
	}
}

// ready reports whether there is a p95.
func (l *latencies) ready() bool { return l.n >= latencyEvery }

// p95 returns the p95 as last computed; 0 before the first.
func (l *latencies) p95() time.Duration { return l.last }
