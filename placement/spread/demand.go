package spread

import "marjorampitch/wire"

// Settings of the estimate of demand.
const (
	// keep is the weight of what was counted before when a new count arrives
	// from every rank.
	keep = 0.5
	// shiftBelow is the overlap of a new count with the estimate below which
	// demand has shifted, and the estimate starts anew. Prompts alone move the
	// overlap less.
	shiftBelow = 0.6
	// enough is the number of choices a set that an estimate needs.
	enough = 400
)

// Demand estimates which experts are in demand, from the reports of all ranks
// of a group. It is not safe for concurrent use.
type Demand struct {
	shape  Shape
	counts [][]float64 // decayed, by set
	round  [][]float64 // reported since the last Fold
}

// NewDemand returns an estimate that has seen nothing.
func NewDemand(shape Shape) *Demand {
	return &Demand{shape: shape, counts: matrix(shape), round: matrix(shape)}
}

func matrix(s Shape) [][]float64 {
	m := make([][]float64, s.Sets)
	for i := range m {
		m[i] = make([]float64, s.Experts)
	}
	return m
}

// Add takes what one rank counted.
func (d *Demand) Add(sets []wire.Demand) {
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
func (d *Demand) addOthers(row []float64, x wire.Demand, each float64) {
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

// Fold ends a round of reports. It reports whether demand has shifted.
func (d *Demand) Fold() (shifted bool) {
	if total(d.round[0]) < enough {
		return false
	}
	overlap, sets := 0.0, 0.0
	for set := range d.round {
		if total(d.counts[set]) > 0 {
			overlap += common(d.counts[set], d.round[set])
			sets++
		}
	}
	shifted = sets > 0 && overlap/sets < shiftBelow
	for set, row := range d.round {
		for e, x := range row {
			if shifted {
				d.counts[set][e] = x
			} else {
				d.counts[set][e] = keep*d.counts[set][e] + x
			}
			row[e] = 0
		}
	}
	return shifted
}

// Loads returns the estimate; ok is false while there is too little of it.
func (d *Demand) Loads() (loads Loads, ok bool) {
	loads = make(Loads, len(d.counts))
	for set, row := range d.counts {
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

// common is the part of two counts that they share: 1 for the same
// distribution, 0 for none in common.
func common(a, b []float64) float64 {
	x, y := total(a), total(b)
	if x == 0 || y == 0 {
		return 1
	}
	sum := 0.0
	for i := range a {
		sum += min(a[i]/x, b[i]/y)
	}
	return sum
}
