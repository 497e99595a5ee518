package rebalance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/wire"
)

func openState(slowness float32) wire.GroupState {
	return wire.GroupState{Group: "g", Epoch: 1, Open: true, Engine: "10.0.0.1:1", Slowness: slowness}
}

// A group that makes passes at the usual speed is announced once.
func TestUsualStateIsAnnouncedOnce(t *testing.T) {
	var a stateAnnouncer
	require.True(t, a.due(openState(1), 0))
	for now := time.Duration(0); now < time.Minute; now += idleStateInterval {
		require.False(t, a.due(openState(1), now))
	}
}

// The beginning and the end of slowness, and larger changes of the factor, are announced
// at once; the factor is repeated at an interval.
func TestSlownessIsAnnounced(t *testing.T) {
	var a stateAnnouncer
	require.True(t, a.due(openState(1), 0))
	require.False(t, a.due(openState(1.04), 1))
	require.True(t, a.due(openState(1.06), 2))
	require.True(t, a.due(openState(12), 3))
	require.False(t, a.due(openState(11), 4))
	require.True(t, a.due(openState(6), 5))
	require.False(t, a.due(openState(6), 5+slowStateInterval-1))
	require.True(t, a.due(openState(6), 5+slowStateInterval))
	require.False(t, a.due(openState(6), 6+slowStateInterval))
	require.True(t, a.due(openState(1), 7+slowStateInterval))
	require.False(t, a.due(openState(1), time.Hour))
}

// A process that starts beside a slow engine announces it at once.
func TestFirstStateIsAnnounced(t *testing.T) {
	var a stateAnnouncer
	require.True(t, a.due(openState(12), 0))
}

// A factor that jumps with each read is announced once a read at most.
func TestJumpingSlownessIsAnnouncedOnceARead(t *testing.T) {
	var a stateAnnouncer
	sent, reads := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += idleStateInterval {
		reads++
		if a.due(openState([]float32{1, 12}[reads%2]), now) {
			sent++
		}
	}
	require.Equal(t, reads, sent)
}

// While the engine does not answer, its slowness is not repeated; the closed group is.
func TestSlownessOfLostEngineIsNotRepeated(t *testing.T) {
	var a stateAnnouncer
	require.True(t, a.due(openState(12), 0))
	lost := openState(0)
	require.False(t, a.due(lost, time.Hour))
	lost.Open = false
	require.True(t, a.due(lost, time.Hour+1))
	require.False(t, a.due(lost, time.Hour+closedStateInterval))
	require.True(t, a.due(lost, time.Hour+1+closedStateInterval))
}

// That an engine is slow does not say that its group is open: another rank may have
// announced since that it is closed.
func TestSlownessSaysNothingOfTheGroup(t *testing.T) {
	var a stateAnnouncer
	announced := func(s wire.GroupState, now time.Duration) wire.GroupState {
		message, ok := a.next(s, now)
		require.True(t, ok)
		require.Equal(t, s.Slowness, message.Slowness)
		require.Equal(t, s.Engine, message.Engine)
		return message
	}
	require.Equal(t, "g", announced(openState(12), 0).Group)
	require.Empty(t, announced(openState(12), slowStateInterval).Group, "repeated")
	require.Empty(t, announced(openState(1), slowStateInterval+1).Group, "no longer slow")
	closed := openState(12)
	closed.Open = false
	require.Equal(t, "g", announced(closed, time.Minute).Group)
	require.Equal(t, "g", announced(closed, time.Minute+closedStateInterval).Group, "closed is repeated")
	require.Equal(t, "g", announced(openState(12), 2*time.Minute).Group, "open again")
}
