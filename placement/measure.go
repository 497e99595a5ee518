package placement

import (
	"sort"
	"time"
)

// Loads holds exponentially decayed counts of expert assignments. The index of
// a count is layer*Experts+expert.
type Loads struct {
	Experts int
	Counts  []float64
}

// NewLoads returns Loads for the shape with all counts zero.
func NewLoads(shape Shape) *Loads {
	return &Loads{Experts: shape.Experts, Counts: make([]float64, shape.Layers*shape.Experts)}
}

// Layer returns the counts of layer l, indexed by expert.
func (a *Loads) Layer(l int) []float64 { return a.Counts[l*a.Experts : (l+1)*a.Experts] }

// Add multiplies the existing counts by decay (0 to 1) and adds counts, which
// are indexed like Counts.
func (a *Loads) Add(counts []float64, decay float64) {
	for i, c := range counts {
		a.Counts[i] = a.Counts[i]*decay + c
	}
}

// Parameters of the speed estimate. Speeds are relative to the median rank.
const (
	speedTolerance = 0.04 // a rank within this fraction of the median has nominal speed
	minStreak      = 3    // consecutive reports before a rank counts as slow or fast
	minSpeed       = 0.1  // lower bound of the estimate
)

// SpeedEstimator estimates the relative speed of each rank. It distinguishes
// slow hardware from high load: a rank with popular experts is busy for longer
// but completes as many assignments per second as the others, while a slow rank
// completes fewer assignments per second in consecutive reports.
type SpeedEstimator struct {
	streak []int // consecutive reports beyond the tolerance: negative for slow, positive for fast
	value  []float64
}

// NewSpeedEstimator returns an estimator with nominal speed 1 for every rank.
func NewSpeedEstimator(ranks int) *SpeedEstimator {
	s := &SpeedEstimator{streak: make([]int, ranks), value: make([]float64, ranks)}
	for r := range s.value {
		s.value[r] = 1
	}
	return s
}

// RankWork is the work of one rank since its last report: the expert
// assignments computed and the time spent computing them, excluding the time
// spent waiting for other ranks.
type RankWork struct {
	Assignments float64
	Busy        time.Duration
}

// Observe updates the estimate with one report from every rank, indexed by
// rank. Ranks that did no work keep their speed.
func (s *SpeedEstimator) Observe(work []RankWork) {
	rates := make([]float64, len(work))
	measured := make([]float64, 0, len(work))
	for r, w := range work {
		if w.Busy <= 0 || w.Assignments <= 0 {
			continue
		}
		rates[r] = w.Assignments / w.Busy.Seconds()
		measured = append(measured, rates[r])
	}
	if len(measured) == 0 {
		return
	}
	sort.Float64s(measured)
	median := measured[len(measured)/2]
	for r, rate := range rates {
		if rate > 0 {
			s.update(r, rate/median)
		}
	}
}

// update applies the relative speed of rank r in one report.
func (s *SpeedEstimator) update(r int, relative float64) {
	direction := 0
	if relative < 1-speedTolerance {
		direction = -1
	}
	if relative > 1+speedTolerance {
		direction = 1
	}
	if direction == 0 {
		s.streak[r] = 0
		s.value[r] = 1
		return
	}
	if s.streak[r]*direction < 0 {
		s.streak[r] = 0
	}
	s.streak[r] += direction
	if s.streak[r]*direction >= minStreak {
		s.value[r] = max(relative, minSpeed)
	}
}

// Values returns a copy of the speeds by rank, relative to the median rank.
func (s *SpeedEstimator) Values() []float64 { return append([]float64(nil), s.value...) }

// Slow returns the ranks whose estimated speed is below nominal, for display
// to the operator.
func (s *SpeedEstimator) Slow() []int {
	var slow []int
	for r, v := range s.value {
		if v < 1 {
			slow = append(slow, r)
		}
	}
	return slow
}
