package spread

import "marjorampitch/wire"

// Parameters of the demand estimate.
const (
	// recentDecay and longDecay are the factors that EndRound applies to the earlier
	// counts. It is called about twice per forward pass: the recent estimate follows
	// a shift of demand within a pass, and the long one averages over several passes
	// so that a plan does not overfit a single sample.
	recentDecay = 0.5
	longDecay   = 0.93
	// Demand has shifted when the current map's cost under the recent estimate exceeds
	// that under the long one by more than minShiftExcess, as a fraction, and by more
	// than noiseFactor times the mean excess. The fewer requests a pass serves, the
	// more its counts differ from the last one's while demand stays the same.
	minShiftExcess = 0.25
	noiseFactor    = 4
	// noiseWeight is the weight of the newest round in the mean excess.
	noiseWeight = 0.03
	// minNoiseExcess bounds, together with the mean excess, how much one round may
	// add to the mean: rounds in which demand shifts are not noise.
	minNoiseExcess = 0.05
	// minCount is the number of expert choices per set that an estimate needs.
	minCount = 400
)

// DemandEstimator estimates the load of each expert from the reports of all ranks
// of a group. It is not safe for concurrent use.
type DemandEstimator struct {
	shape  Shape
	recent [][]float64 // counts decayed by recentDecay, by set and expert
	long   [][]float64 // counts decayed by longDecay, by set and expert
	round  [][]float64 // counts of the current round, by set and expert

	measured   bool    // the excess of the last round is in meanExcess
	meanExcess float64 // of the current map's cost under recent over that under long, as a fraction
}

// NewDemandEstimator returns an estimator without any counts.
func NewDemandEstimator(shape Shape) *DemandEstimator {
	return &DemandEstimator{shape: shape, recent: newCounts(shape), long: newCounts(shape), round: newCounts(shape)}
}

func newCounts(s Shape) [][]float64 {
	m := make([][]float64, s.Sets)
	for i := range m {
		m[i] = make([]float64, s.Experts)
	}
	return m
}

// AddReport adds the counts of one rank, by set, to the current round. Sets and
// experts beyond the shape are ignored.
func (d *DemandEstimator) AddReport(sets []wire.Demand) {
	for set, x := range sets {
		if set >= len(d.round) {
			return
		}
		row := d.round[set]
		for i, e := range x.Experts {
			if int(e) < len(row) && i < len(x.Counts) {
				row[e] += float64(x.Counts[i])
			}
		}
		if unnamed := d.shape.Experts - len(x.Experts); unnamed > 0 {
			d.addOthers(row, x, float64(x.Others)/float64(unnamed))
		}
	}
}

// addOthers adds each to the counts of the experts that x does not name.
func (d *DemandEstimator) addOthers(row []float64, x wire.Demand, each float64) {
	if each <= 0 {
		return
	}
	named := make(map[uint16]bool, len(x.Experts))
	for _, e := range x.Experts {
		named[e] = true
	}
	for e := range row {
		if !named[uint16(e)] {
			row[e] += each
		}
	}
}

// EndRound ends a round of reports: it decays the earlier counts and adds those of
// the round. A round with fewer than minCount choices in the first set is continued.
func (d *DemandEstimator) EndRound() {
	if total(d.round[0]) < minCount {
		return
	}
	d.measured = false
	for set, row := range d.round {
		for e, x := range row {
			d.recent[set][e] = recentDecay*d.recent[set][e] + x
			d.long[set][e] = longDecay*d.long[set][e] + x
			row[e] = 0
		}
	}
}

// Loads returns the estimated loads. replicas are those of the current map. If the
// cost of that map shows that demand has shifted, shifted is true, and the recent
// estimate is returned and replaces the long one. ok is false while there are too
// few counts.
func (d *DemandEstimator) Loads(replicas []wire.Replica) (loads Loads, shifted, ok bool) {
	recent, ok := toLoads(d.recent)
	if !ok {
		return nil, false, false
	}
	loads, _ = toLoads(d.long)
	if !d.hasShifted(Cost(d.shape, recent, replicas)/Cost(d.shape, loads, replicas) - 1) {
		return loads, false, true
	}
	for set := range d.long {
		copy(d.long[set], d.recent[set])
	}
	return recent, true, true
}

// hasShifted reports whether an excess shows that demand has shifted, and adds it to
// the mean excess once per round.
func (d *DemandEstimator) hasShifted(excess float64) bool {
	shifted := excess > max(minShiftExcess, noiseFactor*d.meanExcess)
	if !d.measured {
		d.measured = true
		d.meanExcess += noiseWeight * (min(excess, 2*d.meanExcess+minNoiseExcess) - d.meanExcess)
	}
	return shifted
}

// toLoads divides the counts of each set by their sum. ok is false if a set has
// fewer than minCount choices.
func toLoads(counts [][]float64) (loads Loads, ok bool) {
	loads = make(Loads, len(counts))
	for set, row := range counts {
		sum := total(row)
		if sum < minCount {
			return nil, false
		}
		loads[set] = make([]float64, len(row))
		for e, x := range row {
			loads[set][e] = x / sum
		}
	}
	return loads, true
}

func total(row []float64) float64 {
	sum := 0.0
	for _, x := range row {
		sum += x
	}
	return sum
}
