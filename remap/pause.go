package remap

import "time"

// Parameters of a switchPause.
const (
	// firstPauseFactor is the ratio of the first pause to the time for which the failed
	// switch has held the group. Each further failure doubles it, up to maxPauseFactor,
	// and each switch that is completed halves it.
	firstPauseFactor = 3
	maxPauseFactor   = 9
)

// switchPause puts off the next switch after one that has held the group and failed. What
// made it fail, such as processes that restart in turn, may last, and each further attempt
// makes the streams of the group late. The zero value has no pause.
type switchPause struct {
	until  time.Duration
	factor time.Duration // of the last pause, halved since by switches that were completed
}

// ended records the end of a switch.
func (p *switchPause) ended(r Record, now time.Duration) {
	switch {
	case r.Outcome == Completed:
		p.factor /= 2
	case r.Outcome == Cancelled && r.Held > 0:
		p.factor = min(max(2*p.factor, firstPauseFactor), maxPauseFactor)
		p.until = now + p.factor*r.Held
	}
}
