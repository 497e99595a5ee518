package pack

import "marjorampitch/placement"

// InitialMap returns the map with which a group starts, before any load is
// measured: it assumes equal loads of all experts and equal speeds of all ranks.
// It fails with placement.ErrInvalidShape.
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
