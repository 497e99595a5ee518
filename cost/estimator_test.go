package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/cost"
)

// requests draws requests whose outputs have the given median and a spread, and hints
// that are right in the median.
type requests struct {
	rnd           *rand.Rand
	median        float64
	spread, noise float64 // standard deviations of the logarithms
}

func (r *requests) next() (cost.Size, int) {
	output := max(int(r.median*math.Exp(r.spread*r.rnd.NormFloat64())), 1)
	hint := max(int(float64(output)*math.Exp(r.noise*r.rnd.NormFloat64())), 1)
	prompt := int(800 * math.Exp(0.8*r.rnd.NormFloat64()))
	return cost.Size{Prompt: prompt, MaxOutput: 4096, Hint: hint}, output
}

// teach lets the estimator observe n requests and returns the time after them.
func teach(e *cost.Estimator, r *requests, now time.Duration, n int) time.Duration {
	for range n {
		size, output := r.next()
		now += 100 * time.Millisecond
		e.Observe(now, "chat", size, output)
	}
	return now
}

// meanError returns the mean absolute deviation of the logarithms of estimates.
func meanError(r *requests, estimate func(cost.Size) float64) float64 {
	const n = 2000
	sum := 0.0
	for range n {
		size, output := r.next()
		sum += math.Abs(math.Log(estimate(size) / float64(output)))
	}
	return sum / n
}

func estimates(e *cost.Estimator) func(cost.Size) float64 {
	return func(s cost.Size) float64 { return e.Output("chat", s) }
}

// Learned estimates are better than the usual output and than the hint alone, whether
// hints are good, often far off or worthless.
func TestEstimatorLearns(t *testing.T) {
	for _, noise := range []float64{0.1, 0.5, 1, 3} {
		t.Run(fmt.Sprint(noise), func(t *testing.T) {
			r := &requests{rnd: rand.New(rand.NewPCG(1, 1)), median: 90, spread: 0.7, noise: noise}
			e := cost.NewEstimator(200)
			before := meanError(r, estimates(e))
			teach(e, r, 0, 400)
			got := meanError(r, estimates(e))
			require.Less(t, got, before)
			require.Less(t, got, 1.05*meanError(r, func(s cost.Size) float64 { return float64(s.Hint) }), "the hint alone")
			require.Less(t, got, 1.05*meanError(r, func(cost.Size) float64 { return r.median }), "the true median alone")
		})
	}
}

func TestEstimatorWithoutHints(t *testing.T) {
	r := &requests{rnd: rand.New(rand.NewPCG(1, 2)), median: 90, spread: 0.7}
	e := cost.NewEstimator(1000)
	for i := range 300 {
		size, output := r.next()
		size.Hint = 0
		e.Observe(time.Duration(i)*time.Second, "chat", size, output)
	}
	require.InEpsilon(t, 90, e.Output("chat", cost.Size{Prompt: 800}), 0.25)
	require.InEpsilon(t, 1000, e.Output("other", cost.Size{Prompt: 800}), 0.01, "a route of which nothing is known")
}

// Outputs become six times as long: a few hundred requests later the estimates have
// followed, also if the route was idle in between.
func TestEstimatorAdaptsToAShift(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Hour} {
		t.Run(pause.String(), func(t *testing.T) {
			r := &requests{rnd: rand.New(rand.NewPCG(1, 3)), median: 50, spread: 0.5, noise: 0.5}
			e := cost.NewEstimator(100)
			now := teach(e, r, 0, 2000)
			r.median = 300
			n := 600
			if pause > 0 {
				n = 60
			}
			teach(e, r, now+pause, n)
			fresh := cost.NewEstimator(100)
			teach(fresh, r, 0, 600)
			require.Less(t, meanError(r, estimates(e)), 1.25*meanError(r, estimates(fresh)))
		})
	}
}

func TestEstimatorIgnoresBadSizes(t *testing.T) {
	bad := []cost.Size{{}, {Prompt: -5, MaxOutput: -1, Hint: -7}, {Prompt: math.MaxInt, MaxOutput: math.MaxInt, Hint: math.MaxInt}}
	e := cost.NewEstimator(100)
	for _, s := range bad {
		require.InEpsilon(t, 100, e.Output("chat", s), 1e-9)
	}
	r := &requests{rnd: rand.New(rand.NewPCG(1, 4)), median: 90, spread: 0.5, noise: 0.5}
	teach(e, r, 0, 400)
	clean := meanError(r, estimates(e))
	for i := range 100 {
		e.Observe(time.Minute, "chat", bad[i%len(bad)], 90)
		e.Observe(time.Minute, "chat", cost.Size{Prompt: 800}, -i)
	}
	require.Less(t, meanError(r, estimates(e)), 1.2*clean)
	for _, s := range bad {
		out := e.Output("chat", s)
		require.False(t, math.IsNaN(out) || math.IsInf(out, 0))
		require.InEpsilon(t, 90, out, 0.4)
	}
}

// A few outputs of any size do not distort the estimates.
func TestEstimatorIsRobust(t *testing.T) {
	r := &requests{rnd: rand.New(rand.NewPCG(1, 5)), median: 90, spread: 0.5, noise: 0.5}
	e := cost.NewEstimator(100)
	now := teach(e, r, 0, 400)
	before := meanError(r, estimates(e))
	for range 10 {
		e.Observe(now, "chat", cost.Size{Prompt: 1, MaxOutput: 1 << 20, Hint: 1}, 1<<20)
	}
	require.Less(t, meanError(r, estimates(e)), 1.5*before)
}

func TestEstimateIsWithinTheDeclaredMaximum(t *testing.T) {
	e := cost.NewEstimator(100)
	require.InDelta(t, 20, e.Output("chat", cost.Size{MaxOutput: 20, Hint: 500}), 1e-9)
	require.GreaterOrEqual(t, e.Output("chat", cost.Size{MaxOutput: 20, Hint: 1}), 1.0)
}

// The number of routes with statistics is bounded; the one in use stays.
func TestEstimatorStateIsBounded(t *testing.T) {
	e := cost.NewEstimator(100)
	for i := range 2000 {
		now := time.Duration(i) * time.Millisecond
		e.Observe(now, "chat", cost.Size{}, 1000)
		e.Observe(now, fmt.Sprint("route-", i), cost.Size{}, 1000)
	}
	require.Greater(t, e.Output("chat", cost.Size{}), 800.0)
	require.InEpsilon(t, 100, e.Output("route-3", cost.Size{}), 1e-9)
	require.Greater(t, e.Output("route-1999", cost.Size{}), 100.0)
}

// An estimate far outside of what was observed is still a number of tokens that is
// believed.
func TestEstimateIsBounded(t *testing.T) {
	e := cost.NewEstimator(100)
	for i := range 3000 {
		n := 1 + i%100
		e.Observe(time.Duration(i)*time.Millisecond, "chat", cost.Size{Prompt: n, Hint: n}, n*n*n)
	}
	require.LessOrEqual(t, e.Output("chat", cost.Size{Prompt: 9_000_000, Hint: 9_000_000}), 1e7)
}
