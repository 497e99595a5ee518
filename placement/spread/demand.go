package spread

import "marjorampitch/wire"

// Settings of the estimate of demand.
const (
	// keepRecent and keepLong are the weights of what was counted before at each
	// Fold, of which there are about two a pass: the recent estimate follows a
	// shift within a pass, the long one averages over several passes, so that a
	// plan does not fit the chance of one sample.
	keepRecent = 0.5
	keepLong   = 0.93
	// shiftRise is the rise of the cost of the map in force, under the recent
	// estimate against the long one, at which demand has shifted. Chance alone
	// makes it about 1.15.
	shiftRise = 1.25
	// enough is the number of choices a set that an estimate needs.
	enough = 400
)

// DemandEstimator estimates which experts are in demand, from the reports of all ranks
// of a group. It is not safe for concurrent use.
type DemandEstimator struct {
	shape  Shape
	recent [][]float64 // decayed, by set
	long   [][]float64 // decayed more slowly
	round  [][]float64 // reported since the last Fold
}

// NewDemandEstimator returns an estimate that has seen nothing.
func NewDemandEstimator(shape Shape) *DemandEstimator {
	return &DemandEstimator{shape: shape, recent: matrix(shape), long: matrix(shape), round: matrix(shape)}
}

func matrix(s Shape) [][]float64 {
	m := make([][]float64, s.Sets)
	for i := range m {
		m[i] = make([]float64, s.Experts)
	}
	return m
}

// AddReport takes what one rank counted.
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
		if rest := d.shape.Experts - len(x.Experts); rest > 0 {
			d.addOthers(row, x, float64(x.Others)/float64(rest))
		}
	}
}

// addOthers spreads the count of the experts that are not named.
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

// EndRound ends a round of reports.
func (d *DemandEstimator) EndRound() {
	if total(d.round[0]) < enough {
		return
	}
	for set, row := range d.round {
		for e, x := range row {
			d.recent[set][e] = keepRecent*d.recent[set][e] + x
			d.long[set][e] = keepLong*d.long[set][e] + x
			row[e] = 0
		}
	}
}

// Loads returns the estimate for a group whose map has these replicas. It
// starts anew, and shifted is true, when demand has shifted. ok is false while
// too little was counted.
func (d *DemandEstimator) Loads(replicas []wire.Replica) (loads Loads, shifted, ok bool) {
	recent, ok := shares(d.recent)
	if !ok {
		return nil, false, false
	}
	loads, _ = shares(d.long)
	if Cost(d.shape, recent, replicas) <= shiftRise*Cost(d.shape, loads, replicas) {
		return loads, false, true
	}
	for set := range d.long {
		copy(d.long[set], d.recent[set])
	}
	return recent, true, true
}

// shares are the parts of each set's choices; ok is false where there are too few.
func shares(counts [][]float64) (loads Loads, ok bool) {
	loads = make(Loads, len(counts))
	for set, row := range counts {
		sum := total(row)
		if sum < enough {
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
