package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunningTimeBeginsAnewAfterPause(t *testing.T) {
	const step = 50 * time.Millisecond
	m := runningTime{step: step}
	for range 4 {
		m.tick(step + 10*time.Millisecond) // as on a busy machine
	}
	require.Equal(t, 240*time.Millisecond, m.spent)
	require.False(t, m.paused)
	m.tick(1400 * time.Millisecond)
	require.Zero(t, m.spent)
	require.True(t, m.paused)
	m.tick(step)
	require.Equal(t, step, m.spent)
	require.True(t, m.paused)
}
