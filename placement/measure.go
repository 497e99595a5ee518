package placement

import (
	"sort"
	"time"
)

// Loads are decayed counts of expert assignments: index layer*experts+expert.
type Loads struct {
	Experts int
	Counts  []float64
}

// NewLoads returns counts of zero.
func NewLoads(shape Shape) *Loads {
	return &Loads{Experts: shape.Experts, Counts: make([]float64, shape.Layers*shape.Experts)}
}

// Layer returns the counts of layer l by expert.
func (a *Loads) Layer(l int) []float64 { return a.Counts[l*a.Experts : (l+1)*a.Experts] }

// Add multiplies what was counted before by keep (0 to 1) and adds counts,
// which are indexed as Counts is.
func (a *Loads) Add(counts []float64, keep float64) {
	for i, c := range counts {
		a.Counts[i] = a.Counts[i]*keep + c
	}
}

// Bounds of the speed estimate.
const (
	speedNoise  = 0.04 // a rank within this fraction of the median counts as nominal
	speedWindow = 3    // reports in a row before a rank counts as slow or fast
	speedFloor  = 0.1  // slowest speed that placement plans with
)

// SpeedEstimator separates ranks that are slow from ranks that are unlucky. A rank
// with popular experts takes long because it does much work; its work per
// second is that of the others. A rank whose hardware is slow does less work
// per second, report after report.
type SpeedEstimator struct {
	streak []int // reports in a row outside the noise, the same side
	value  []float64
}

// NewSpeedEstimator returns nominal speed for every rank.
func NewSpeedEstimator(ranks int) *SpeedEstimator {
	s := &SpeedEstimator{streak: make([]int, ranks), value: make([]float64, ranks)}
	for r := range s.value {
		s.value[r] = 1
	}
	return s
}

// RankWork is what one rank did since its last report: assignments computed
// and the time it was busy with them, without the wait for other ranks.
type RankWork struct {
	Assignments float64
	Busy        time.Duration
}

// Observe takes one report of every rank. Ranks without work keep their speed.
func (s *SpeedEstimator) Observe(work []RankWork) {
	rates := make([]float64, len(work))
	known := make([]float64, 0, len(work))
	for r, w := range work {
		if w.Busy <= 0 || w.Assignments <= 0 {
			continue
		}
		rates[r] = w.Assignments / w.Busy.Seconds()
		known = append(known, rates[r])
	}
	if len(known) == 0 {
		return
	}
	sort.Float64s(known)
	median := known[len(known)/2]
	for r, rate := range rates {
		if rate > 0 {
			s.update(r, rate/median)
		}
	}
}

// update takes the relative speed of rank r in one report.
func (s *SpeedEstimator) update(r int, relative float64) {
	side := 0
	if relative < 1-speedNoise {
		side = -1
	}
	if relative > 1+speedNoise {
		side = 1
	}
	if side == 0 {
		s.streak[r] = 0
		s.value[r] = 1
		return
	}
	if s.streak[r]*side < 0 {
		s.streak[r] = 0
	}
	s.streak[r] += side
	if s.streak[r]*side >= speedWindow {
		s.value[r] = max(relative, speedFloor)
	}
}

// Values returns the speed of each rank relative to the median rank.
func (s *SpeedEstimator) Values() []float64 { return append([]float64(nil), s.value...) }

// Slow lists the ranks that are slow for good, for the operator's report.
func (s *SpeedEstimator) Slow() []int {
	var slow []int
	for r, v := range s.value {
		if v < 1 {
			slow = append(slow, r)
		}
	}
	return slow
}
