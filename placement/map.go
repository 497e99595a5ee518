// Package placement computes expert maps: which experts of a model each rank of
// an expert-parallel group holds, and which share of an expert's traffic each
// replica receives. It defines the common types, the load and speed
// measurements and the policy registry; each policy is a subpackage.
//
// The weight store is the storage from which the ranks load expert weights. A map is
// staged while the weights that it moves are copied from there to the ranks, before
// the group switches to it. A step is one forward pass.
//
// The package is deterministic and does no I/O and reads no clock.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

//go:generate go tool -modfile=../tools/go.mod msgp -file map.go -tests=false
//msgp:limit arrays:1048576

// ShareUnit is the sum of the shares of an expert's replicas. A share is a
// fraction of the expert's traffic in units of 1/ShareUnit.
const ShareUnit = 1 << 14

// Empty is the expert number of an unused slot.
const Empty uint16 = 1<<16 - 1

// Validation errors of shapes and maps.
var (
	ErrInvalidShape = eris.New("placement: invalid group shape")
	ErrInvalidMap   = eris.New("placement: invalid expert map")
)

// Shape gives the dimensions of a group's expert map.
type Shape struct {
	Layers  int `msg:"l"`
	Ranks   int `msg:"r"`
	Experts int `msg:"e"` // experts per layer
	Slots   int `msg:"s"` // expert slots per rank and layer
}

// Check returns ErrInvalidShape when a dimension is not positive, the expert
// numbers reach Empty, or a layer has fewer slots than experts.
func (s Shape) Check() error {
	positive := s.Layers > 0 && s.Ranks > 0 && s.Experts > 0 && s.Slots > 0
	if !positive || s.Experts >= int(Empty) || s.Ranks*s.Slots < s.Experts {
		return eris.Wrapf(ErrInvalidShape, "%d layers, %d ranks, %d experts, %d slots", s.Layers, s.Ranks, s.Experts, s.Slots)
	}
	return nil
}

// LayerSlots returns the number of slots of one layer across all ranks.
func (s Shape) LayerSlots() int { return s.Ranks * s.Slots }

// Map is the expert map of a group. Slot i of rank r in layer l has index
// (l*Ranks+r)*Slots+i. A Map is immutable once it has been built.
type Map struct {
	Shape  Shape    `msg:"shape"`
	Expert []uint16 `msg:"expert"` // expert of each slot, or Empty
	Share  []uint16 `msg:"share"`  // traffic share of each slot's replica, in 1/ShareUnit
}

// NewMap returns a map of the given shape with every slot empty. It fails with
// ErrInvalidShape.
func NewMap(shape Shape) (*Map, error) {
	if err := shape.Check(); err != nil {
		return nil, err
	}
	n := shape.Layers * shape.LayerSlots()
	m := &Map{Shape: shape, Expert: make([]uint16, n), Share: make([]uint16, n)}
	for i := range m.Expert {
		m.Expert[i] = Empty
	}
	return m, nil
}

// Layer returns the experts and shares of layer l; slot i of rank r has index r*Slots+i.
func (m *Map) Layer(l int) (expert, share []uint16) {
	n := m.Shape.LayerSlots()
	return m.Expert[l*n : (l+1)*n], m.Share[l*n : (l+1)*n]
}

// Check validates the map. In each layer every expert must have a replica, no
// rank may hold an expert twice and the shares of each expert must add up to
// ShareUnit. It fails with ErrInvalidShape or ErrInvalidMap.
func (m *Map) Check() error {
	if err := m.Shape.Check(); err != nil {
		return err
	}
	n := m.Shape.Layers * m.Shape.LayerSlots()
	if len(m.Expert) != n || len(m.Share) != n {
		return eris.Wrapf(ErrInvalidMap, "%d experts and %d shares for %d slots", len(m.Expert), len(m.Share), n)
	}
	for l := range m.Shape.Layers {
		if err := m.checkLayer(l); err != nil {
			return err
		}
	}
	return nil
}

func (m *Map) checkLayer(l int) error {
	expert, share := m.Layer(l)
	total := make([]int, m.Shape.Experts)
	lastRank := make([]int, m.Shape.Experts) // 1 + the last rank found to hold the expert
	for i, e := range expert {
		if e == Empty {
			continue
		}
		if int(e) >= m.Shape.Experts {
			return eris.Wrapf(ErrInvalidMap, "layer %d: expert %d out of range [0, %d)", l, e, m.Shape.Experts)
		}
		rank := i/m.Shape.Slots + 1
		if lastRank[e] == rank {
			return eris.Wrapf(ErrInvalidMap, "layer %d: rank %d holds expert %d twice", l, rank-1, e)
		}
		lastRank[e] = rank
		total[e] += int(share[i])
	}
	for e, sum := range total {
		if sum != ShareUnit {
			return eris.Wrapf(ErrInvalidMap, "layer %d: shares of expert %d add up to %d, want %d", l, e, sum, ShareUnit)
		}
	}
	return nil
}

// Hash returns the xxHash64 of the encoded map.
func (m *Map) Hash() (uint64, error) {
	data, err := m.MarshalMsg(nil)
	if err != nil {
		return 0, eris.Wrap(err, "placement: encode map")
	}
	return xxhash.Sum64(data), nil
}

// Moves returns for each rank the number of experts that it holds in next but
// not in m, that is, the number of expert weight copies it has to load.
func (m *Map) Moves(next *Map) []int {
	moves := make([]int, m.Shape.Ranks)
	slots := m.Shape.Slots
	for base := 0; base < len(m.Expert); base += slots {
		rank := base / slots % m.Shape.Ranks
		current := m.Expert[base : base+slots]
		for _, e := range next.Expert[base : base+slots] {
			if e != Empty && !slices.Contains(current, e) {
				moves[rank]++
			}
		}
	}
	return moves
}
