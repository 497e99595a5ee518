package pack

import (
	"sort"

	"marjorampitch/placement"
)

// Limits bounds one call of Improve.
type Limits struct {
	Moves   int     // maximum number of expert copies
	Target  float64 // skew at which Improve stops
	MinGain float64 // reduction of the excess per copy that a change must exceed
}

// Width of the search for one change.
const (
	coldRanks = 6 // number of least loaded ranks tried as targets
)

// change is one step of Improve: the expert of slot from gets a replica in slot
// to, which replaces the replica there. With swap the two replicas trade slots, as
// the replica in slot to is the only one of its expert.
type change struct {
	from, to int
	swap     bool
}

// moves returns the number of expert copies that the change needs.
func (c change) moves() int {
	if c.swap {
		return 2
	}
	return 1
}

// Improve applies changes to the placement until a limit is reached, each time the
// change that reduces the excess most per expert copy. It returns the number of
// expert copies.
func (s *Layer) Improve(lim Limits) int {
	used := 0
	excess := s.excess(lim.Target)
	for used < lim.Moves && excess > 0 {
		best, found := s.bestChange(excess, lim)
		if !found || used+best.moves() > lim.Moves {
			break
		}
		s.apply(best)
		s.Balance(fullSweeps / 4)
		used += best.moves()
		after := s.excess(lim.Target)
		if after >= excess {
			break
		}
		excess = after
	}
	return used
}

// excess returns the sum over the ranks of the rank time above target, where rank
// times and target are multiples of the rank time at perfect balance. Unlike the
// longest rank time it decreases as soon as one of several overloaded ranks is
// relieved.
func (s *Layer) excess(target float64) float64 {
	if s.balancedTime == 0 {
		return 0
	}
	sum := 0.0
	for r := range s.rankLoad {
		sum += max(0, s.rankTime(r)/s.balancedTime-target)
	}
	return sum
}

// bestChange tries the candidates for relieving the hottest rank and returns the
// one with the highest gain per copy. It returns false if none exceeds lim.MinGain.
func (s *Layer) bestChange(excess float64, lim Limits) (change, bool) {
	var best change
	bestGain := lim.MinGain
	found := false
	hot := s.hottest()
	before := s.snapshot()
	for _, c := range s.changes(hot) {
		s.apply(c)
		s.Balance(trialSweeps)
		gain := (excess - s.excess(lim.Target)) / float64(c.moves())
		s.restore(before)
		if gain > bestGain {
			best, bestGain, found = c, gain, true
		}
	}
	return best, found
}

// changes returns the changes that move an expert from rank hot to one of the least
// loaded ranks.
func (s *Layer) changes(hot int) []change {
	var list []change
	for _, r := range s.coldest(hot) {
		for from := hot * s.slotsPerRank; from < (hot+1)*s.slotsPerRank; from++ {
			if s.expert[from] == placement.Empty || s.slotLoad[from] == 0 || s.holds(r, int(s.expert[from])) {
				continue
			}
			list = s.appendChanges(list, from, r, hot)
		}
	}
	return list
}

// appendChanges appends the changes that bring the expert of slot from to rank r.
func (s *Layer) appendChanges(list []change, from, r, hot int) []change {
	for to := r * s.slotsPerRank; to < (r+1)*s.slotsPerRank; to++ {
		f := s.expert[to]
		if f == placement.Empty || len(s.replicaSlots[f]) > 1 {
			list = append(list, change{from, to, false})
			continue
		}
		if !s.holds(hot, int(f)) && s.slotLoad[to] < s.slotLoad[from] {
			list = append(list, change{from, to, true})
		}
	}
	return list
}

// coldest returns up to coldRanks ranks with the shortest times, excluding hot.
func (s *Layer) coldest(hot int) []int {
	ranks := make([]int, 0, len(s.rankLoad))
	for r := range s.rankLoad {
		if r != hot {
			ranks = append(ranks, r)
		}
	}
	sort.Slice(ranks, func(i, j int) bool {
		a, b := s.rankTime(ranks[i]), s.rankTime(ranks[j])
		if a != b {
			return a < b
		}
		return ranks[i] < ranks[j]
	})
	return ranks[:min(coldRanks, len(ranks))]
}

// apply applies c. Only the experts concerned are split anew; the caller runs
// Balance.
func (s *Layer) apply(c change) {
	e, f := s.expert[c.from], s.expert[c.to]
	if f != placement.Empty {
		s.drop(c.to)
	}
	if c.swap {
		s.drop(c.from)
		s.put(c.from, int(f))
		s.resplit(int(f))
	} else if f != placement.Empty {
		s.resplit(int(f))
	}
	s.put(c.to, int(e))
	s.resplit(int(e))
	s.collectReplicated()
}

// drop removes the replica in slot together with its load.
func (s *Layer) drop(slot int) {
	e := s.expert[slot]
	s.addLoad(slot, -s.slotLoad[slot])
	s.slotLoad[slot] = 0
	s.expert[slot] = placement.Empty
	kept := make([]int, 0, len(s.replicaSlots[e]))
	for _, h := range s.replicaSlots[e] {
		if h != slot {
			kept = append(kept, h)
		}
	}
	s.replicaSlots[e] = kept
}

// resplit divides the load of expert e among its replicas, if it has any.
func (s *Layer) resplit(e int) {
	if len(s.replicaSlots[e]) > 0 {
		s.splitLoad(e)
	}
}

// snapshot is a copy of the fields of a Layer that a trial modifies.
type snapshot struct {
	expert       []uint16
	slotLoad     []float64
	rankLoad     []float64
	replicaSlots [][]int
	replicated   []int
}

func (s *Layer) snapshot() snapshot {
	slots := make([][]int, len(s.replicaSlots))
	for e, h := range s.replicaSlots {
		slots[e] = append([]int(nil), h...)
	}
	return snapshot{
		expert:       append([]uint16(nil), s.expert...),
		slotLoad:     append([]float64(nil), s.slotLoad...),
		rankLoad:     append([]float64(nil), s.rankLoad...),
		replicaSlots: slots,
		replicated:   append([]int(nil), s.replicated...),
	}
}

func (s *Layer) restore(v snapshot) {
	copy(s.expert, v.expert)
	copy(s.slotLoad, v.slotLoad)
	copy(s.rankLoad, v.rankLoad)
	for e, h := range v.replicaSlots {
		s.replicaSlots[e] = append(s.replicaSlots[e][:0], h...)
	}
	s.replicated = append(s.replicated[:0], v.replicated...)
}
