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

// Of many servers not always the same one is picked, but none with much work.
func TestPicksAreSpread(t *testing.T) {
	candidates := make([]route.Candidate, 20)
	for i := range candidates {
		candidates[i].Work, candidates[i].Running = time.Duration(i)*time.Millisecond, 1
	}
	n := picks(t, &route.Request{}, candidates)
	require.Less(t, n[0], 300)
	require.Greater(t, n[0], n[5])
	require.Equal(t, []int{0, 0, 0}, n[17:])
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

// loads are those on which leastwork is compared with leastconn: 16 gateways and 64
// servers, whose reports to each other are 85 ms apart.
var loads = map[string]load{
	"rank groups":         {groups: 2, perSecond: 290, prompt: 850, spread: 0.65},
	"rank groups, unlike": {groups: 2, perSecond: 120, prompt: 6000, spread: 1},
	"servers alone":       {groups: 64, perSecond: 300, prompt: 850, spread: 0.65},
	"long prompts":        {groups: 64, perSecond: 95, prompt: 12_000, spread: 1},
}

func (l load) with(policy string) load {
	l.policy, l.seed, l.gateways, l.servers, l.exchange = policy, 1, 16, 64, 85*time.Millisecond
	l.output, l.noise, l.duration = 97, 0.5, 30*time.Second
	return l
}

// Callers get their first event earlier than if each gateway counts its own requests,
// and no server has a longer queue.
func TestUnequalRequests(t *testing.T) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, after := l.with("leastconn").play(), l.with(leastwork.Name).play()
			t.Log("leastconn:", before)
			t.Log("leastwork:", after)
			require.Less(t, quantile(after.first, .95), quantile(before.first, .95)*95/100)
			require.Less(t, quantile(after.total, .95), quantile(before.total, .95))
			require.Less(t, after.longest, before.longest)
			require.LessOrEqual(t, after.waited, before.waited)
		})
	}
}

// Servers have memory for a few requests only. With leastwork none holds more than its
// memory, and long requests are served like the others.
func TestMemoryIsNotExceeded(t *testing.T) {
	l := loads["long prompts"]
	l.memory, l.perSecond = 150_000, 95
	before, after := l.with("leastconn").play(), l.with(leastwork.Name).play()
	t.Log("leastconn:", before)
	t.Log("leastwork:", after)
	require.Positive(t, before.overMemory)
	require.Zero(t, after.overMemory)
	require.LessOrEqual(t, after.refused, len(after.first)/50)
	require.LessOrEqual(t, after.longRefused, after.longStreams/10)
}

// Without reports from peers the policy is about as good as leastconn.
func TestWithoutReports(t *testing.T) {
	l := loads["rank groups"].with("leastconn")
	l.exchange = 0
	before := l.play()
	l.policy = leastwork.Name
	after := l.play()
	t.Log("leastconn:", before)
	t.Log("leastwork:", after)
	require.Less(t, quantile(after.first, .95), quantile(before.first, .95)*12/10)
}
