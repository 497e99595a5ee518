package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFits(t *testing.T) {
	for _, c := range []struct {
		name                string
		total, held, memory int
		fits                bool
	}{
		{"unknown memory", 0, 500, 1000, true},
		{"larger than the server", 1000, 0, 1001, false},
		{"alone", 1000, 0, 1000, true},
		{"beside others", 1000, 500, 300, true},
		{"into the reserve", 1000, 500, 301, false},
		{"large, beside little", 1000, 11, 810, true},
		{"large, beside too much", 1000, 200, 810, false},
	} {
		candidate := Candidate{MemoryTotal: c.total, MemoryHeld: c.held}
		require.Equal(t, c.fits, candidate.Fits(&Request{Memory: c.memory}), c.name)
	}
}
