package cost_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/cost"
)

var slowServer = cost.Server{ID: "i-1", StartedAt: 5}

func present(cost.Server) bool { return false }

func TestStatedSlowness(t *testing.T) {
	x := cost.NewSlowness()
	require.Equal(t, 1.0, x.Factor(slowServer, 0))
	c, ok := x.State(slowServer, 12, time.Second)
	require.True(t, ok)
	require.Equal(t, cost.SlownessChange{Server: slowServer, Slow: true, Factor: 12}, c)
	require.Equal(t, 12.0, x.Factor(slowServer, time.Second))
	_, ok = x.State(slowServer, 4, 2*time.Second)
	require.False(t, ok, "still slow")
	require.Equal(t, 4.0, x.Factor(slowServer, 2*time.Second))
	require.Equal(t, 1, x.Slow())
	c, ok = x.State(slowServer, 1.1, 3*time.Second)
	require.True(t, ok)
	require.False(t, c.Slow)
	require.Equal(t, 1.0, x.Factor(slowServer, 3*time.Second))
	require.Zero(t, x.Slow())
	_, ok = x.State(slowServer, 1, 4*time.Second)
	require.False(t, ok)
}

// What a frozen process has said last does not count for long, whether or not it is
// expired in time.
func TestOldSlownessIsNotKnown(t *testing.T) {
	x := cost.NewSlowness()
	x.State(slowServer, 12, time.Second)
	require.Empty(t, x.Expire(2*time.Second, present))
	require.Equal(t, 12.0, x.Factor(slowServer, 2*time.Second))
	require.Equal(t, 1.0, x.Factor(slowServer, 3*time.Second))
	changes := x.Expire(3*time.Second, present)
	require.Equal(t, []cost.SlownessChange{{Server: slowServer, Factor: 12, Age: 2 * time.Second}}, changes)
	require.Zero(t, x.Slow())
	require.Empty(t, x.Expire(time.Hour, present))
}

// What a server has stated does not concern its next incarnation.
func TestSlownessEndsWithTheIncarnation(t *testing.T) {
	x := cost.NewSlowness()
	x.State(slowServer, 12, time.Second)
	require.Equal(t, 1.0, x.Factor(cost.Server{ID: "i-1", StartedAt: 6}, time.Second))
	require.Len(t, x.Expire(time.Second, func(s cost.Server) bool { return s == slowServer }), 1)
	require.Equal(t, 1.0, x.Factor(slowServer, time.Second))
}

func TestImpossibleSlownessIsBounded(t *testing.T) {
	x := cost.NewSlowness()
	for _, factor := range []float64{0, -5, 0.3, math.NaN(), math.Inf(-1)} {
		_, ok := x.State(slowServer, factor, 0)
		require.False(t, ok)
		require.Equal(t, 1.0, x.Factor(slowServer, 0))
	}
	for _, factor := range []float64{1e300, math.Inf(1)} {
		x.State(slowServer, factor, 0)
		require.Equal(t, 100.0, x.Factor(slowServer, 0))
	}
}
