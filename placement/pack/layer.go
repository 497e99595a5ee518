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
	slots  int       // per rank
	expert []uint16  // expert in each slot, or placement.Empty
	load   []float64 // load of each expert
	speed  []float64 // speed of each rank, relative to the median rank
	part   []float64 // load of each slot
	rank   []float64 // load of each rank
	homes  [][]int   // slots of each expert
	shared []int     // experts with more than one replica
	mean   float64   // rank time at perfect balance
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
		s.add(i, load[e]*float64(share[i])/placement.ShareUnit)
	}
	s.collectShared()
	return s
}

func newEmptyLayer(shape placement.Shape, load, speed []float64) *Layer {
	s := &Layer{
		slots:  shape.Slots,
		expert: make([]uint16, shape.LayerSlots()),
		load:   load,
		speed:  speed,
		part:   make([]float64, shape.LayerSlots()),
		rank:   make([]float64, shape.Ranks),
		homes:  make([][]int, shape.Experts),
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
	s.mean = total / speeds
	return s
}

// put places a replica of expert e in slot and leaves its load at 0.
func (s *Layer) put(slot, e int) {
	s.expert[slot] = uint16(e)
	s.homes[e] = append(s.homes[e], slot)
}

// add adds load to a slot and its rank.
func (s *Layer) add(slot int, load float64) {
	s.part[slot] += load
	s.rank[slot/s.slots] += load
}

func (s *Layer) collectShared() {
	s.shared = s.shared[:0]
	for e, homes := range s.homes {
		if len(homes) > 1 {
			s.shared = append(s.shared, e)
		}
	}
}

func (s *Layer) time(r int) float64 { return s.rank[r] / s.speed[r] }

// hottest returns the rank with the longest time.
func (s *Layer) hottest() int {
	best := 0
	for r := range s.rank {
		if s.time(r) > s.time(best) {
			best = r
		}
	}
	return best
}

// Skew returns the longest rank time divided by the rank time at perfect balance.
func (s *Layer) Skew() float64 {
	if s.mean == 0 {
		return 1
	}
	return s.time(s.hottest()) / s.mean
}

// holds reports whether rank r has a replica of expert e.
func (s *Layer) holds(r, e int) bool {
	for _, slot := range s.homes[e] {
		if slot/s.slots == r {
			return true
		}
	}
	return false
}

// Balance sets the shares of replicated experts by coordinate descent, in the
// given number of sweeps. It minimises the sum over the ranks of the squared load
// divided by the speed. That minimum also has the shortest longest rank time that
// this placement allows.
func (s *Layer) Balance(sweeps int) {
	for range sweeps {
		for _, e := range s.shared {
			s.splitLoad(e)
		}
	}
}

// splitLoad divides the load of expert e among its replicas by water-filling: the
// ranks that receive a part of it end at the same time, and the ranks of the other
// replicas do not end earlier.
func (s *Layer) splitLoad(e int) {
	homes := s.homes[e]
	for _, slot := range homes {
		s.add(slot, -s.part[slot])
		s.part[slot] = 0
	}
	sort.Slice(homes, func(i, j int) bool {
		a, b := s.time(homes[i]/s.slots), s.time(homes[j]/s.slots)
		if a != b {
			return a < b
		}
		return homes[i] < homes[j]
	})
	level := s.fillLevel(homes, s.load[e])
	for _, slot := range homes {
		r := slot / s.slots
		room := level*s.speed[r] - s.rank[r]
		if room <= 0 {
			break
		}
		s.add(slot, room)
	}
}

// fillLevel returns the common rank time up to which load fills the ranks of
// homes, which must be sorted by rank time.
func (s *Layer) fillLevel(homes []int, load float64) float64 {
	sum, speed, level := load, 0.0, 0.0
	for i, slot := range homes {
		r := slot / s.slots
		sum += s.rank[r]
		speed += s.speed[r]
		level = sum / speed
		last := i+1 == len(homes)
		if last || level <= s.time(homes[i+1]/s.slots) {
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
	for e, homes := range s.homes {
		s.storeShares(e, homes, share)
	}
}

// storeShares rounds the shares of expert e down to multiples of 1/ShareUnit and
// adds the remainder to the replica with the largest share.
func (s *Layer) storeShares(e int, homes []int, share []uint16) {
	left, largest := placement.ShareUnit, homes[0]
	for _, slot := range homes {
		if s.part[slot] > s.part[largest] {
			largest = slot
		}
		if s.load[e] > 0 {
			units := math.Floor(s.part[slot] / s.load[e] * placement.ShareUnit)
			share[slot] = uint16(min(max(units, 0), float64(left)))
		}
		left -= int(share[slot])
	}
	share[largest] += uint16(left)
}
