// Package pack implements the algorithms shared by the placement policies:
// packing the experts of one layer from scratch, balancing the traffic shares
// of replicas, and improving a placement with a limited number of expert copies.
package pack

import (
	"math"
	"sort"

	"marjorampitch/placement"
)

// Layer is the mutable placement of one layer. Loads are in expert assignments.
// The time of a rank is its load divided by its speed.
type Layer struct {
	slotsPerRank int
	expert       []uint16  // expert in each slot, or placement.Empty
	load         []float64 // load of each expert
	speed        []float64 // speed of each rank, relative to the median rank
	slotLoad     []float64 // load of each slot
	rankLoad     []float64 // load of each rank
	replicaSlots [][]int   // slots of each expert
	replicated   []int     // experts with more than one replica
	balancedTime float64   // rank time at perfect balance
}

// NewLayer returns layer l of m under the given loads by expert and speeds by
// rank.
func NewLayer(m *placement.Map, l int, load, speed []float64) *Layer {
	expert, share := m.Layer(l)
	s := newEmptyLayer(m.Shape, load, speed)
	for i, e := range expert {
		if e == placement.Empty {
			continue
		}
		s.put(i, int(e))
		s.addLoad(i, load[e]*float64(share[i])/placement.ShareUnit)
	}
	s.collectReplicated()
	return s
}

func newEmptyLayer(shape placement.Shape, load, speed []float64) *Layer {
	s := &Layer{
		slotsPerRank: shape.Slots,
		expert:       make([]uint16, shape.LayerSlots()),
		load:         load,
		speed:        speed,
		slotLoad:     make([]float64, shape.LayerSlots()),
		rankLoad:     make([]float64, shape.Ranks),
		replicaSlots: make([][]int, shape.Experts),
	}
	for i := range s.expert {
		s.expert[i] = placement.Empty
	}
	total, speeds := 0.0, 0.0
	for _, x := range load {
		total += x
	}
	for _, v := range speed {
		speeds += v
	}
	s.balancedTime = total / speeds
	return s
}

// put places a replica of expert e in slot and leaves its load at 0.
func (s *Layer) put(slot, e int) {
	s.expert[slot] = uint16(e)
	s.replicaSlots[e] = append(s.replicaSlots[e], slot)
}

// addLoad adds load to a slot and its rank.
func (s *Layer) addLoad(slot int, load float64) {
	s.slotLoad[slot] += load
	s.rankLoad[slot/s.slotsPerRank] += load
}

// collectReplicated rebuilds s.replicated after a change of the placement.
func (s *Layer) collectReplicated() {
	s.replicated = s.replicated[:0]
	for e, slots := range s.replicaSlots {
		if len(slots) > 1 {
			s.replicated = append(s.replicated, e)
		}
	}
}

func (s *Layer) rankTime(r int) float64 { return s.rankLoad[r] / s.speed[r] }

// hottest returns the rank with the longest time.
func (s *Layer) hottest() int {
	best := 0
	for r := range s.rankLoad {
		if s.rankTime(r) > s.rankTime(best) {
			best = r
		}
	}
	return best
}

// Skew returns the longest rank time divided by the rank time at perfect balance.
func (s *Layer) Skew() float64 {
	if s.balancedTime == 0 {
		return 1
	}
	return s.rankTime(s.hottest()) / s.balancedTime
}

// holds reports whether rank r has a replica of expert e.
func (s *Layer) holds(r, e int) bool {
	for _, slot := range s.replicaSlots[e] {
		if slot/s.slotsPerRank == r {
			return true
		}
	}
	return false
}

// Balance sets the shares of replicated experts by coordinate descent, in the
// given number of sweeps. It minimises the sum over the ranks of the squared load
// divided by the speed. That minimum also minimises the longest rank time of the
// placement.
func (s *Layer) Balance(sweeps int) {
	for range sweeps {
		for _, e := range s.replicated {
			s.splitLoad(e)
		}
	}
}

// splitLoad divides the load of expert e among its replicas by water-filling: the
// ranks that receive a part of it finish at the same time, and the ranks of the other
// replicas do not finish earlier.
func (s *Layer) splitLoad(e int) {
	slots := s.replicaSlots[e]
	for _, slot := range slots {
		s.addLoad(slot, -s.slotLoad[slot])
		s.slotLoad[slot] = 0
	}
	sort.Slice(slots, func(i, j int) bool {
		a, b := s.rankTime(slots[i]/s.slotsPerRank), s.rankTime(slots[j]/s.slotsPerRank)
		if a != b {
			return a < b
		}
		return slots[i] < slots[j]
	})
	level := s.fillLevel(slots, s.load[e])
	for _, slot := range slots {
		r := slot / s.slotsPerRank
		room := level*s.speed[r] - s.rankLoad[r]
		if room <= 0 {
			break
		}
		s.addLoad(slot, room)
	}
}

// fillLevel returns the common rank time up to which load fills the ranks of
// slots, which must be sorted by rank time.
func (s *Layer) fillLevel(slots []int, load float64) float64 {
	sum, speed, level := load, 0.0, 0.0
	for i, slot := range slots {
		r := slot / s.slotsPerRank
		sum += s.rankLoad[r]
		speed += s.speed[r]
		level = sum / speed
		last := i+1 == len(slots)
		if last || level <= s.rankTime(slots[i+1]/s.slotsPerRank) {
			break
		}
	}
	return level
}

// Store writes the placement and the shares into layer l of m.
func (s *Layer) Store(m *placement.Map, l int) {
	expert, share := m.Layer(l)
	copy(expert, s.expert)
	clear(share)
	for e, slots := range s.replicaSlots {
		s.storeShares(e, slots, share)
	}
}

// storeShares rounds the shares of expert e down to multiples of 1/ShareUnit and
// adds the remainder to the replica with the largest share.
func (s *Layer) storeShares(e int, slots []int, share []uint16) {
	left, largest := placement.ShareUnit, slots[0]
	for _, slot := range slots {
		if s.slotLoad[slot] > s.slotLoad[largest] {
			largest = slot
		}
		if s.load[e] > 0 {
			units := math.Floor(s.slotLoad[slot] / s.load[e] * placement.ShareUnit)
			share[slot] = uint16(min(max(units, 0), float64(left)))
		}
		left -= int(share[slot])
	}
	share[largest] += uint16(left)
}
