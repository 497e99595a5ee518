package spread

import (
	"math"
	"slices"
	"time"
)

// Parameters of SlowRanks.
const (
	// minSlowness is the factor from which a rank counts as slow.
	minSlowness = 1.3
	// slownessHold is the time for which a rank must state a change of its slowness
	// before it counts, so that a rank that is slow for a moment moves no experts.
	slownessHold = 300 * time.Millisecond
	// slownessTolerance is the change of a slowness, as a fraction, that does not count.
	slownessTolerance = 0.25
)

// SlowRanks tells which ranks of a group are slow, from the factors that they state. It
// is not safe for concurrent use.
type SlowRanks struct {
	ranks []statedSlowness
}

// statedSlowness is the slowness of one rank.
type statedSlowness struct {
	inForce float64 // factor that counts
	pending float64 // of the stated factors of a change, the nearest to inForce; 0 if none is pending
	since   time.Duration
}

// NewSlowRanks returns the state of a group of which no rank is slow.
func NewSlowRanks(ranks int) *SlowRanks {
	s := &SlowRanks{ranks: make([]statedSlowness, ranks)}
	for r := range s.ranks {
		s.ranks[r].inForce = 1
	}
	return s
}

// Ranks returns the number of ranks.
func (s *SlowRanks) Ranks() int { return len(s.ranks) }

// Observe records the factor by which a rank's work takes longer than usual. A factor
// that is not positive and finite is not known, and changes nothing.
func (s *SlowRanks) Observe(rank int, factor float64, now time.Duration) {
	if rank < 0 || rank >= len(s.ranks) || !(factor > 0) || math.IsInf(factor, 1) {
		return
	}
	if factor < minSlowness {
		factor = 1
	}
	r := &s.ranks[rank]
	if !differs(factor, r.inForce) {
		r.pending = 0
		return
	}
	switch {
	case r.pending == 0 || (r.pending > r.inForce) != (factor > r.inForce):
		r.pending, r.since = factor, now
	case factor > r.inForce:
		r.pending = min(r.pending, factor)
	default:
		r.pending = max(r.pending, factor)
	}
	if now-r.since >= slownessHold {
		r.inForce, r.pending = r.pending, 0
	}
}

// differs reports whether two factors differ by more than the tolerance.
func differs(a, b float64) bool { return max(a, b) > (1+slownessTolerance)*min(a, b) }

// Factors returns the slowness of each rank relative to the fastest one; nil if all
// ranks are equally fast.
func (s *SlowRanks) Factors() []float64 {
	factors := make([]float64, len(s.ranks))
	for r := range s.ranks {
		factors[r] = s.ranks[r].inForce
	}
	if len(factors) == 0 {
		return nil
	}
	fastest, slow := slices.Min(factors), false
	for r, x := range factors {
		factors[r] = 1
		if x >= minSlowness*fastest {
			factors[r], slow = x/fastest, true
		}
	}
	if !slow {
		return nil
	}
	return factors
}
