package pack

import "marjorampitch/placement"

// PredictSkew is the skew of a map under measured loads and speeds once its
// shares are balanced: the mean of the layers.
func PredictSkew(m *placement.Map, loads *placement.Loads, speed []float64) float64 {
	sum := 0.0
	for l := range m.Shape.Layers {
		layer := NewLayer(m, l, loads.Layer(l), speed)
		layer.Balance(fullSweeps)
		sum += layer.Skew()
	}
	return sum / float64(m.Shape.Layers)
}

// Rebalanced returns a map with the experts of m in their slots and shares
// balanced for the measured loads and speeds.
func Rebalanced(m *placement.Map, loads *placement.Loads, speed []float64) (*placement.Map, error) {
	next, err := placement.NewMap(m.Shape)
	if err != nil {
		return nil, err
	}
	for l := range m.Shape.Layers {
		layer := NewLayer(m, l, loads.Layer(l), speed)
		layer.Balance(fullSweeps)
		layer.Store(next, l)
	}
	return next, nil
}
