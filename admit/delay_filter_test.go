package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDelayFilter checks which datagrams count as late.
func TestDelayFilter(t *testing.T) {
	const offset = time.Hour // between the clocks
	var f DelayFilter
	sent := func(incarnation int64, sentAt, delay time.Duration) bool {
		return f.Accept("peer", incarnation, sentAt+offset, sentAt+delay)
	}
	const s = time.Second
	require.True(t, sent(1, 0, s), "the first")
	require.True(t, sent(1, 0, time.Millisecond))
	require.True(t, sent(1, s, maxExtraDelay))
	require.False(t, sent(1, s, s), "repeated late")
	require.True(t, sent(1, 3*s, 0))
	require.True(t, sent(2, -offset, 5*s), "another clock after a restart")
	require.True(t, f.Accept("other", 1, 0, 10*s), "another sender")

	// The clocks drift apart by 100 ppm.
	for now := 10 * s; now < 10*time.Minute; now += s {
		require.True(t, f.Accept("drifting", 1, now-now/10000, now), "at %v", now)
	}
	require.True(t, f.Accept("drifting", 1, 20*time.Minute-2*s, 20*time.Minute), "after a pause")
}
