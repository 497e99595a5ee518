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
	require.Zero(t, m.pauses)
	m.tick(1400 * time.Millisecond)
	require.Zero(t, m.spent)
	require.Equal(t, 1, m.pauses)
	m.tick(step)
	require.Equal(t, step, m.spent)
	require.Equal(t, 1, m.pauses)
}

// On a machine where all timers end late, the time of a dial still ends.
func TestRunningTimeEndsOnBusyMachine(t *testing.T) {
	const step = 50 * time.Millisecond
	m := runningTime{step: step}
	for range maxPauses + int(dialTimeout/step) {
		require.Less(t, m.spent, dialTimeout)
		m.tick(3 * step)
	}
	require.Equal(t, dialTimeout, m.spent)
}
