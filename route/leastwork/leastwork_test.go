package leastwork_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/route"
	"marjorampitch/route/leastwork"
)

func build(t *testing.T, seed uint64) route.Picker {
	p, err := route.Build(leastwork.Name, seed)
	require.NoError(t, err)
	return p
}

// picks returns how often each candidate is picked.
func picks(t *testing.T, req *route.Request, candidates []route.Candidate) []int {
	p := build(t, 1)
	n := make([]int, len(candidates))
	for range 1000 {
		i, ok := p.Pick(req, candidates)
		require.True(t, ok)
		n[i]++
	}
	return n
}

func TestPicksTheLeastWork(t *testing.T) {
	n := picks(t, &route.Request{}, []route.Candidate{{Work: 30 * time.Millisecond}, {Work: 10 * time.Millisecond}, {Work: 20 * time.Millisecond}})
	require.Equal(t, []int{0, 1000, 0}, n)
}

func TestTiesAreBrokenAtRandom(t *testing.T) {
	for _, n := range picks(t, &route.Request{}, make([]route.Candidate, 5)) {
		require.InDelta(t, 200, n, 60)
	}
	n := picks(t, &route.Request{}, []route.Candidate{{Running: 2}, {Running: 1}})
	require.Equal(t, []int{0, 1000}, n, "of equal work, the fewer requests")
}

// Of many servers not always the same one is picked, those with less work more often, and
// the one with the most work never.
func TestPicksAreSpread(t *testing.T) {
	candidates := make([]route.Candidate, 20)
	for i := range candidates {
		candidates[i].Work, candidates[i].Running = time.Duration(i)*time.Millisecond, 1
	}
	n := picks(t, &route.Request{}, candidates)
	require.Less(t, n[0], 300)
	require.Greater(t, n[0], n[10])
	require.Greater(t, n[10], n[18])
	require.Zero(t, n[19])
	for i := range candidates {
		candidates[i].OwnInFlight = 1
	}
	require.Equal(t, 1000, picks(t, &route.Request{}, candidates)[0], "there are no requests but its own")
}

func TestFullServersAreTheLastChoice(t *testing.T) {
	n := picks(t, &route.Request{}, []route.Candidate{
		{Work: 0, Limit: 2, Running: 2}, {Work: time.Second, Limit: 2, Running: 1}, {Work: 0, Limit: 2, Running: 3},
	})
	require.Equal(t, []int{0, 1000, 0}, n)
	n = picks(t, &route.Request{}, []route.Candidate{{Work: 2, Limit: 2, Running: 2}, {Work: 1, Limit: 2, Running: 2}})
	require.Equal(t, []int{0, 1000}, n, "all are full")
}

func TestServersWithoutMemoryAreSkipped(t *testing.T) {
	candidates := []route.Candidate{
		{MemoryTotal: 1000, MemoryHeld: 750}, {Work: time.Second, MemoryTotal: 1000, MemoryHeld: 700}, {Excluded: true}, {Leaving: true},
	}
	require.Equal(t, []int{0, 1000, 0, 0}, picks(t, &route.Request{Memory: 100}, candidates), "a part of the memory is left free")
	_, ok := build(t, 1).Pick(&route.Request{Memory: 101}, candidates)
	require.False(t, ok)
	candidates[1].MemoryHeld = 0
	require.Equal(t, []int{0, 1000, 0, 0}, picks(t, &route.Request{Memory: 1000}, candidates), "a request alone may take all of it")
	candidates[0].MemoryTotal = 0 // unknown
	require.Equal(t, []int{1000, 0, 0, 0}, picks(t, &route.Request{Memory: 101}, candidates))
	_, ok = build(t, 1).Pick(&route.Request{}, nil)
	require.False(t, ok)
}
