package route

import (
	"slices"
	"time"
)

// Settings of latencies.
const (
	latencyWindow         = 256 // number of newest samples kept
	latencyUpdateInterval = 64  // number of samples after which the p95 is recomputed
)

// latencies computes the 95th percentile of the newest samples.
type latencies struct {
	samples []time.Duration
	n       int
	lastP95 time.Duration
}

func (l *latencies) add(d time.Duration) {
	if len(l.samples) < latencyWindow {
		l.samples = append(l.samples, d)
	} else {
		l.samples[l.n%latencyWindow] = d
	}
	l.n++
	if l.n%latencyUpdateInterval == 0 {
		sorted := slices.Sorted(slices.Values(l.samples))
		l.lastP95 = sorted[len(sorted)*95/100]
	}
}

// hasP95 reports whether a p95 has been computed.
func (l *latencies) hasP95() bool { return l.n >= latencyUpdateInterval }

// p95 returns the most recently computed p95, or 0 before the first.
func (l *latencies) p95() time.Duration { return l.lastP95 }
