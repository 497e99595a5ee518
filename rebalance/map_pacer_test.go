package rebalance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// link is a link of a fixed rate that queues what is sent.
type link struct {
	rate   float64 // bytes per second
	freeAt time.Duration
}

// send returns when a message that is sent at now has passed the link.
func (l *link) send(now time.Duration, bytes int) time.Duration {
	l.freeAt = max(l.freeAt, now) + time.Duration(float64(bytes)/l.rate*float64(time.Second))
	return l.freeAt
}

// switchStart plays the start of a switch: a coordinator sends a map to the other ranks
// of a large group over a narrow link. It returns how long a rank waited for a message at
// most, when all had the map, and how many maps were sent.
func switchStart(l *link, pacer *mapPacer, again time.Duration) (longest, all time.Duration, sent int) {
	lastHeard := make([]time.Duration, groupRanks)
	arrivesAt := make(map[int]time.Duration) // of the first copy
	beat := -prepareGoalInterval
	hear := func(r int, at time.Duration) {
		longest = max(longest, at-lastHeard[r])
		lastHeard[r] = at
	}
	for now := time.Duration(0); now < time.Second; now += activePollInterval {
		knows := func(r int) bool { at, ok := arrivesAt[r]; return ok && at <= now }
		if now-beat >= prepareGoalInterval {
			beat = now
			for r := range groupRanks {
				if knows(r) {
					hear(r, l.send(now, heartbeatBytes))
				}
			}
		}
		for r := range groupRanks {
			if knows(r) || !pacer.take(1, r, mapBytes, again, now) {
				continue
			}
			sent++
			at := l.send(now, mapBytes)
			if _, ok := arrivesAt[r]; !ok {
				arrivesAt[r] = at
				lastHeard[r] = at
				all = max(all, at)
			}
		}
	}
	return longest, all, sent
}

// Sizes of the group and the messages of switchStart.
const (
	groupRanks     = 72
	mapBytes       = 3000
	heartbeatBytes = 60
)

// All ranks have the map soon and get it once, and none that has it waits for a
// heartbeat as long as the time after which it claims the group.
func TestMapsDoNotDelayHeartbeats(t *testing.T) {
	for _, mbps := range []float64{8, 20, 1000} {
		rate := mbps * 1e6 / 8
		pacer := newMapPacer(rate)
		longest, all, sent := switchStart(&link{rate: rate}, pacer, prepareGoalInterval+pacer.time(groupRanks*mapBytes))
		require.Equal(t, groupRanks, sent, "%v Mbit/s", mbps)
		require.Less(t, longest, activeCoordinatorTimeout, "%v Mbit/s", mbps)
		require.Less(t, all, time.Duration(2*groupRanks*mapBytes/rate*float64(time.Second))+2*activePollInterval, "%v Mbit/s", mbps)
	}
	paced, _, _ := switchStart(&link{rate: 1e6}, newMapPacer(1e6), time.Second)
	longest, _, sent := switchStart(&link{rate: 1e6}, newMapPacer(0), prepareGoalInterval)
	require.Greater(t, longest, paced*3/2, "without pacing")
	require.Greater(t, sent, groupRanks*4/3)
}

func TestMapIsSentAgainToRankThatDoesNotAnswer(t *testing.T) {
	p := newMapPacer(0)
	const again = 100 * time.Millisecond
	require.True(t, p.take(1, 3, 1000, again, 0))
	require.False(t, p.take(1, 3, 1000, again, again-1))
	require.True(t, p.take(1, 3, 1000, again, again))
	require.True(t, p.take(2, 3, 1000, again, again+1), "another goal")
}
