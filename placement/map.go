// Package placement decides which experts of a model each rank of a group
// holds, and which share of an expert's traffic each replica takes. It holds
// the types, the measurements that decisions rest on and the registry of
// policies; each policy is a package below it.
//
// Everything here is pure: no I/O, no clock, the same result for the same input.
package placement

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

//go:generate go tool -modfile=../tools/go.mod msgp -file map.go -tests=false
//msgp:limit arrays:1048576

// ShareUnit is the whole traffic of one expert; shares are fractions of it.
const ShareUnit = 1 << 14

// Empty marks a slot that holds no expert.
const Empty uint16 = 1<<16 - 1

// Errors of a map.
var (
	ErrInvalidShape = eris.New("placement: shape out of bounds")
	ErrInvalidMap   = eris.New("placement: map is not valid")
)

// Shape is the size of a group.
type Shape struct {
	Layers  int `msg:"l"`
	Ranks   int `msg:"r"`
	Experts int `msg:"e"` // experts a layer
	Slots   int `msg:"s"` // expert slots a rank and layer
}

// Check returns ErrShape when the shape has no room for every expert.
func (s Shape) Check() error {
	positive := s.Layers > 0 && s.Ranks > 0 && s.Experts > 0 && s.Slots > 0
	if !positive || s.Experts >= int(Empty) || s.Ranks*s.Slots < s.Experts {
		return ErrInvalidShape
	}
	return nil
}

// LayerSlots is the number of slots of one layer over all ranks.
func (s Shape) LayerSlots() int { return s.Ranks * s.Slots }

// Map is the expert map of a group. Slot i of rank r in layer l has index
// (l*Ranks+r)*Slots+i. A Map is a value: once built it is never changed.
type Map struct {
	Shape  Shape    `msg:"shape"`
	Expert []uint16 `msg:"expert"` // expert in each slot, or Empty
	Share  []uint16 `msg:"share"`  // share of the expert's traffic, in 1/ShareUnit
}

// NewMap returns a map of the shape with every slot empty. Error: ErrShape.
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

// Check returns ErrMap unless, in each layer, every expert has a replica, no
// rank holds an expert twice and the shares of each expert add up to ShareUnit.
func (m *Map) Check() error {
	if err := m.Shape.Check(); err != nil {
		return err
	}
	n := m.Shape.Layers * m.Shape.LayerSlots()
	if len(m.Expert) != n || len(m.Share) != n {
		return eris.Wrap(ErrInvalidMap, "wrong number of slots")
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
	last := make([]int, m.Shape.Experts) // 1 + the last rank seen holding the expert
	for i, e := range expert {
		if e == Empty {
			continue
		}
		if int(e) >= m.Shape.Experts {
			return eris.Wrapf(ErrInvalidMap, "layer %d: expert %d does not exist", l, e)
		}
		rank := i/m.Shape.Slots + 1
		if last[e] == rank {
			return eris.Wrapf(ErrInvalidMap, "layer %d: rank %d holds expert %d twice", l, rank-1, e)
		}
		last[e] = rank
		total[e] += int(share[i])
	}
	for e, sum := range total {
		if sum != ShareUnit {
			return eris.Wrapf(ErrInvalidMap, "layer %d: shares of expert %d add up to %d", l, e, sum)
		}
	}
	return nil
}

// Hash identifies the content of the map.
func (m *Map) Hash() (uint64, error) {
	data, err := m.MarshalMsg(nil)
	if err != nil {
		return 0, eris.Wrap(err, "placement: encode map")
	}
	return xxhash.Sum64(data), nil
}

// Moves counts, for each rank, the experts that it holds under next and not
// under m: each is one copy of an expert's weights.
func (m *Map) Moves(next *Map) []int {
	moves := make([]int, m.Shape.Ranks)
	slots := m.Shape.Slots
	for base := 0; base < len(m.Expert); base += slots {
		rank := base / slots % m.Shape.Ranks
		have := m.Expert[base : base+slots]
		for _, e := range next.Expert[base : base+slots] {
			if e != Empty && !contains(have, e) {
				moves[rank]++
			}
		}
	}
	return moves
}

func contains(experts []uint16, e uint16) bool {
	for _, x := range experts {
		if x == e {
			return true
		}
	}
	return false
}
