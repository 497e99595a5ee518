package pack

import (
	"sort"

	"marjorampitch/placement"
)

// Numbers of sweeps of Balance.
const (
	fullSweeps  = 40 // for a final result
	trialSweeps = 2  // for the comparison of candidates
)

// replica is one replica of an expert to be placed.
type replica struct {
	expert int
	load   float64
}

// Repack packs layer l from scratch, stores the result into next and returns it.
// Spare slots go to the experts with the highest load per replica. The replicas
// are then placed in descending order of load, each on the rank that finishes
// earliest with it. m is the current map: an expert that stays on its rank keeps
// its slot.
func Repack(m, next *placement.Map, l int, load, speed []float64) *Layer {
	s := newEmptyLayer(m.Shape, load, speed)
	for _, rep := range replicate(m.Shape, load) {
		s.place(rep)
	}
	s.collectReplicated()
	s.Balance(fullSweeps)
	s.Improve(Limits{Moves: len(s.rankLoad), Target: 1.002, MinGain: 0.0005})
	old, _ := m.Layer(l)
	s.align(old)
	s.Store(next, l)
	return s
}

// replicate returns the replicas of a layer in descending order of load.
func replicate(shape placement.Shape, load []float64) []replica {
	count := make([]int, len(load))
	for e := range count {
		count[e] = 1
	}
	for range shape.LayerSlots() - shape.Experts {
		best := -1
		for e, n := range count {
			if n < shape.Ranks && (best < 0 || load[e]*float64(count[best]) > load[best]*float64(n)) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		count[best]++
	}
	var reps []replica
	for e, n := range count {
		for range n {
			reps = append(reps, replica{e, load[e] / float64(n)})
		}
	}
	sort.SliceStable(reps, func(i, j int) bool { return reps[i].load > reps[j].load })
	return reps
}

// place puts rep on the rank that finishes earliest with it. A replica that fits on
// no rank is left out; the first replica of an expert always fits.
func (s *Layer) place(rep replica) {
	best, bestTime, bestSlot := -1, 0.0, 0
	for r := range s.rankLoad {
		slot := s.freeSlot(r)
		if slot < 0 || s.holds(r, rep.expert) {
			continue
		}
		t := (s.rankLoad[r] + rep.load) / s.speed[r]
		if best < 0 || t < bestTime {
			best, bestTime, bestSlot = r, t, slot
		}
	}
	if best < 0 {
		return
	}
	s.put(bestSlot, rep.expert)
	s.addLoad(bestSlot, rep.load)
}

// freeSlot returns the first empty slot of rank r, or -1.
func (s *Layer) freeSlot(r int) int {
	for i := r * s.slotsPerRank; i < (r+1)*s.slotsPerRank; i++ {
		if s.expert[i] == placement.Empty {
			return i
		}
	}
	return -1
}

// align reorders the slots within each rank so that the experts which the rank
// already holds in old keep their slot.
func (s *Layer) align(old []uint16) {
	for r := range s.rankLoad {
		for i := r * s.slotsPerRank; i < (r+1)*s.slotsPerRank; i++ {
			if old[i] == placement.Empty || s.expert[i] == old[i] {
				continue
			}
			for j := r * s.slotsPerRank; j < (r+1)*s.slotsPerRank; j++ {
				if s.expert[j] == old[i] {
					s.swapSlots(i, j)
				}
			}
		}
	}
}

// swapSlots swaps the contents of two slots of one rank.
func (s *Layer) swapSlots(i, j int) {
	s.expert[i], s.expert[j] = s.expert[j], s.expert[i]
	s.slotLoad[i], s.slotLoad[j] = s.slotLoad[j], s.slotLoad[i]
	s.replaceSlot(s.expert[i], j, i)
	s.replaceSlot(s.expert[j], i, j)
}

// replaceSlot replaces slot from with slot to in the slot list of expert e.
func (s *Layer) replaceSlot(e uint16, from, to int) {
	if e == placement.Empty {
		return
	}
	for k, slot := range s.replicaSlots[e] {
		if slot == from {
			s.replicaSlots[e][k] = to
			return
		}
	}
}
