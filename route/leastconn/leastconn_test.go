package leastconn_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/route"
	"marjorampitch/route/leastconn"
)

// picks returns how many of n requests, none of which ends, each server gets.
func picks(t *testing.T, n int, slowness ...float64) []int {
	p, err := route.Build(leastconn.Name, 1)
	require.NoError(t, err)
	list := make([]route.Candidate, len(slowness))
	counts := make([]int, len(slowness))
	for i := range list {
		list[i].Slowness = slowness[i]
	}
	for range n {
		i, ok := p.Pick(nil, list)
		require.True(t, ok)
		list[i].OwnInFlight++
		counts[i]++
	}
	return counts
}

func TestRequestsAreSpreadBySpeed(t *testing.T) {
	require.Equal(t, []int{10, 10, 10}, picks(t, 30, 0, 1, 0.5))
	require.Equal(t, []int{10, 10, 10}, picks(t, 30, 12, 12, 12), "slow alike")
	require.Equal(t, []int{10, 0, 10}, picks(t, 20, 1, 12, 1))
	require.Equal(t, []int{24, 2, 24}, picks(t, 50, 1, 12, 1))
	require.Equal(t, []int{5}, picks(t, 5, 12), "the only one")
}
