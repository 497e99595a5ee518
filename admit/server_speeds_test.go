package admit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// speedRun plays answers of servers to one gateway.
type speedRun struct {
	*ServerSpeeds
	rng     *rand.Rand
	now     time.Duration
	servers []ServerIncarnation
	factors []float64
	changes int
}

func newSpeedRun(seed uint64, servers int) *speedRun {
	r := &speedRun{rng: rand.New(rand.NewPCG(seed, 1)), ServerSpeeds: NewServerSpeeds(rand.New(rand.NewPCG(seed, 2)))}
	for i := range servers {
		r.servers = append(r.servers, ServerIncarnation{ID: fmt.Sprint("s", i), StartedAt: 1})
		r.factors = append(r.factors, 1)
	}
	return r
}

// answer lets a server answer a request of one of two routes, of which one takes ten times
// as long. One answer in a hundred takes five times as long.
func (r *speedRun) answer(i int) {
	route, mean := "quick", 15*time.Millisecond
	if r.rng.IntN(3) == 0 {
		route, mean = "long", 150*time.Millisecond
	}
	d := float64(mean) * r.factors[i] * math.Exp(0.5*r.rng.NormFloat64())
	if r.rng.IntN(100) == 0 {
		d *= 5
	}
	if r.Answered(r.servers[i], route, time.Duration(d), r.now) {
		r.changes++
	}
}

// play lets random servers answer, 20 times a second.
func (r *speedRun) play(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += 50 * time.Millisecond {
		r.answer(r.rng.IntN(len(r.servers)))
	}
}

func (r *speedRun) slow(i int) bool { return r.ServerSpeeds.servers[r.servers[i]].slow }

// While servers are as fast as each other, none is found slow, whatever requests they get.
func TestServersOfTheSameSpeed(t *testing.T) {
	for _, factor := range []float64{1, 12} {
		changes := 0
		for seed := range uint64(50) {
			r := newSpeedRun(seed, 3)
			for i := range r.factors {
				r.factors[i] = factor
			}
			r.play(time.Minute)
			changes += r.changes
		}
		require.LessOrEqual(t, changes, 4, "in 50 minutes, times: %v", factor)
	}
}

func TestSlowServerIsFoundAndItsRecovery(t *testing.T) {
	for seed := range uint64(50) {
		r := newSpeedRun(seed, 3)
		r.play(10 * time.Second)
		r.factors[1] = 12
		r.play(3 * time.Second)
		require.True(t, r.slow(1), "seed %d", seed)
		require.False(t, r.slow(0))
		require.False(t, r.slow(2))
		require.InDelta(t, 12, r.Estimate(r.servers[1], r.now), 8)
		r.factors[1] = 1
		r.play(3 * time.Second)
		require.False(t, r.slow(1), "seed %d", seed)
	}
}

// All servers become slow alike.
func TestAllServersSlowAlike(t *testing.T) {
	found := 0
	for seed := range uint64(20) {
		r := newSpeedRun(seed, 4)
		r.play(10 * time.Second)
		for i := range r.factors {
			r.factors[i] = 8
		}
		r.play(10 * time.Second)
		found += r.Slow()
	}
	require.Zero(t, found)
}

// A slow server is passed over but for single requests that show whether it still is.
func TestSlowServerIsTried(t *testing.T) {
	r := newSpeedRun(1, 3)
	r.play(5 * time.Second)
	r.factors[1] = 12
	r.play(3 * time.Second)
	require.True(t, r.slow(1))
	tried := 0
	for end := r.now + 10*time.Second; r.now < end; r.now += 10 * time.Millisecond {
		r.answer([]int{0, 2}[r.rng.IntN(2)])
		if r.Factor(r.servers[1], r.now) == 1 {
			r.Sent(r.servers[1], r.now)
			require.Greater(t, r.Factor(r.servers[1], r.now), 1.0, "one at a time")
			r.answer(1)
			tried++
		}
	}
	require.InDelta(t, 5, tried, 2, "at intervals that become longer")
	require.True(t, r.slow(1))
	require.Equal(t, 1.0, r.Factor(ServerIncarnation{ID: "s1", StartedAt: 2}, r.now), "another incarnation")
	require.Equal(t, 1.0, r.Factor(r.servers[1], r.now+time.Minute), "old")
	require.Equal(t, []ServerIncarnation{r.servers[1]}, r.Prune(r.now+time.Minute, func(ServerIncarnation) bool { return false }))
	require.Zero(t, r.Slow())
}

// A server alone, few answers, and a single late one say nothing.
func TestTooFewAnswers(t *testing.T) {
	r := newSpeedRun(1, 1)
	r.factors[0] = 50
	r.play(10 * time.Second)
	require.Zero(t, r.changes)
	r = newSpeedRun(1, 3)
	r.play(10 * time.Second)
	require.False(t, r.Answered(r.servers[0], "quick", 5*time.Second, r.now))
	require.Equal(t, 1.0, r.Factor(r.servers[0], r.now))
}

func TestSpeedsAreBounded(t *testing.T) {
	x := NewServerSpeeds(rand.New(rand.NewPCG(1, 1)))
	for i := range 2 * maxSpeedServers {
		x.Answered(ServerIncarnation{ID: fmt.Sprint(i)}, fmt.Sprint("r", i), 0, 0)
	}
	require.LessOrEqual(t, len(x.servers), maxSpeedServers)
	require.LessOrEqual(t, len(x.routes), maxSpeedRoutes)
	require.Empty(t, x.Prune(0, func(ServerIncarnation) bool { return true }))
	require.Empty(t, x.servers)
}

// Each answer is compared with the others' without memory of its own.
func TestAnswersAllocateNothing(t *testing.T) {
	r := newSpeedRun(1, 64)
	r.play(time.Minute)
	require.Zero(t, testing.AllocsPerRun(100, func() { r.Answered(r.servers[0], "quick", 15*time.Millisecond, r.now) }))
}
