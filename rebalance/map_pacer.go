package rebalance

import "time"

// Parameters of a mapPacer.
const (
	// mapLinkShare is the share of the instance's link that goals with a map may take;
	// reports and heartbeats share the link.
	mapLinkShare = 0.7
	// maxMapBacklog is the time that the goals sent last may need on the link, so that
	// heartbeats do not queue behind them.
	maxMapBacklog = 20 * time.Millisecond
)

// mapPacer decides when a coordinator sends a goal with its map to a rank. Sent to all
// ranks of a large group at once, and again before the first ones have arrived, the
// maps delay heartbeats on a narrow link for so long that other processes claim the
// group in the middle of each switch.
type mapPacer struct {
	rate   float64 // bytes per second; 0 for no limit
	freeAt time.Duration
	seq    uint64                // of the goal that sentAt is about
	sentAt map[int]time.Duration // last time, by rank
}

// newMapPacer returns a pacer for a link of this many bytes per second; 0 if the
// bandwidth is not known.
func newMapPacer(link float64) *mapPacer {
	return &mapPacer{rate: mapLinkShare * link, sentAt: make(map[int]time.Duration)}
}

// time returns how long the link needs for this many bytes.
func (m *mapPacer) time(bytes int) time.Duration {
	if m.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / m.rate * float64(time.Second))
}

// take reports whether to send goal seq, of this many bytes, to a rank now. A rank gets it
// again after a while.
func (m *mapPacer) take(seq uint64, rank, bytes int, again, now time.Duration) bool {
	if seq != m.seq {
		m.seq = seq
		clear(m.sentAt)
	}
	if at, sent := m.sentAt[rank]; sent && now-at < again {
		return false
	}
	if m.freeAt > now+maxMapBacklog {
		return false
	}
	m.freeAt = max(m.freeAt, now) + m.time(bytes)
	m.sentAt[rank] = now
	return true
}
