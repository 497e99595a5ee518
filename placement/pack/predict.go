package pack

import "marjorampitch/placement"

// PredictSkew returns the skew of m under the measured loads and speeds after its
// shares have been balanced, averaged over the layers.
func PredictSkew(m *placement.Map, loads *placement.Loads, speed []float64) float64 {
	sum := 0.0
	for l := range m.Shape.Layers {
		layer := NewLayer(m, l, loads.Layer(l), speed)
		layer.Balance(fullSweeps)
		sum += layer.Skew()
	}
	return sum / float64(m.Shape.Layers)
}
