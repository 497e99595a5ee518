package pack_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/placement"
	"marjorampitch/placement/pack"
)

// The initial map is valid, balanced under equal loads, and deterministic.
func TestInitialMapIsValidAndBalanced(t *testing.T) {
	shape := placement.Shape{Layers: 2, Ranks: 4, Experts: 8, Slots: 3}
	m, err := pack.InitialMap(shape)
	require.NoError(t, err)
	require.NoError(t, m.Check())
	loads := placement.NewLoads(shape)
	for i := range loads.Counts {
		loads.Counts[i] = 1
	}
	require.InDelta(t, 1, pack.PredictSkew(m, loads, []float64{1, 1, 1, 1}), 1e-3)
	again, err := pack.InitialMap(shape)
	require.NoError(t, err)
	require.Equal(t, m, again)
}

// InitialMap refuses a shape with fewer slots than experts.
func TestInitialMapRejectsInvalidShape(t *testing.T) {
	_, err := pack.InitialMap(placement.Shape{Layers: 1, Ranks: 1, Experts: 3, Slots: 2})
	require.ErrorIs(t, err, placement.ErrInvalidShape)
}
