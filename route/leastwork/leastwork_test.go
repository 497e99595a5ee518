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

// servers returns candidates with ten slots of which some are taken, of the given
// slowness.
func servers(taken int, slowness ...float64) []route.Candidate {
	list := make([]route.Candidate, len(slowness))
	for i := range list {
		list[i] = route.Candidate{Slowness: slowness[i], Limit: 10, Running: taken, Work: time.Duration(taken) * time.Millisecond}
	}
	return list
}

func TestSlowServersArePassedOver(t *testing.T) {
	req := &route.Request{Work: time.Millisecond}
	list := servers(5, 0, 1, 12, 1.1, 1.6)
	list[2].Running, list[2].Work = 0, 0
	list[3].Work = 4 * time.Millisecond // with the request and at its speed, 5.5 against 6
	n := picks(t, req, list)
	require.Zero(t, n[2])
	require.Zero(t, n[4])
	require.Positive(t, n[0])
	require.Positive(t, n[1])
	require.Greater(t, n[3], n[0])
}

// A slow server is used if the others are full, or left out for another reason.
func TestSlowServersAreUsedIfOthersAreFull(t *testing.T) {
	list := servers(10, 1, 12, 1)
	list[1].Running = 9
	require.Equal(t, []int{0, 1000, 0}, picks(t, &route.Request{}, list))
	list = servers(3, 1, 12, 1)
	list[0].Excluded, list[2].Leaving = true, true
	require.Equal(t, []int{0, 1000, 0}, picks(t, &route.Request{}, list))
	list = servers(3, 1, 12)
	list[0].MemoryTotal, list[0].MemoryHeld = 1000, 900
	require.Equal(t, []int{0, 1000}, picks(t, &route.Request{Memory: 100}, list))
	require.Equal(t, []int{1000, 0}, picks(t, &route.Request{}, servers(10, 1, 12)), "all are full: the faster one")
}

// If all servers are slow alike, they are picked as if none was.
func TestServersThatAreSlowAlike(t *testing.T) {
	usual, slow := make([]route.Candidate, 20), make([]route.Candidate, 20)
	for i := range usual {
		usual[i] = route.Candidate{Limit: 10, Running: i % 10, Work: time.Duration(i%10) * time.Millisecond}
		slow[i] = usual[i]
		slow[i].Slowness = 12
	}
	req := &route.Request{Work: time.Millisecond}
	require.Equal(t, picks(t, req, usual), picks(t, req, slow))
}

// One server that is faster than all others does not get all requests: front proxies
// that do not know of each other's newest requests would overfill it.
func TestFewFastServersAreNotOverfilled(t *testing.T) {
	slowness := make([]float64, 32)
	for i := range slowness {
		slowness[i] = 1.6
	}
	slowness[7] = 1
	n := picks(t, &route.Request{Work: time.Millisecond}, servers(2, slowness...))
	require.Less(t, n[7], 200, "less than a fifth")
	require.Greater(t, n[7], 1000/32, "more than an equal share")
}

// When the fast servers are nearly full, work counts times the slowness.
func TestWorkCountsTimesTheSlowness(t *testing.T) {
	list := servers(1, 4, 1, 4, 1)
	for i := range list {
		list[i].Limit, list[i].Running = 100, 99
	}
	list[0].Running, list[2].Running = 10, 10 // 2 of 400 slots are free at the others
	req := &route.Request{Work: 2 * time.Millisecond}
	list[0].Work, list[2].Work = time.Millisecond, time.Millisecond
	list[1].Work, list[3].Work = 9*time.Millisecond, 9*time.Millisecond // 11 ms with the request, against 12
	n := picks(t, req, list)
	require.Greater(t, n[1]+n[3], n[0]+n[2])
	list[1].Work, list[3].Work = 11*time.Millisecond, 11*time.Millisecond
	n = picks(t, req, list)
	require.Less(t, n[1]+n[3], n[0]+n[2])
}
