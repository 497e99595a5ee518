package pack

import "marjorampitch/placement"

// InitialMap returns the map that a group begins with, while nothing is known of
// its loads: every expert as popular as the others, every rank as fast.
// Error: placement.ErrShape.
func InitialMap(shape placement.Shape) (*placement.Map, error) {
	empty, err := placement.NewMap(shape)
	if err != nil {
		return nil, err
	}
	first, err := placement.NewMap(shape)
	if err != nil {
		return nil, err
	}
	load, speed := ones(shape.Experts), ones(shape.Ranks)
	for l := range shape.Layers {
		Repack(empty, first, l, load, speed)
	}
	return first, nil
}

func ones(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
	}
	return out
}
