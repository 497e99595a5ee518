package fleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// entry returns an entry of server a.
func entry(startedAt, seq int64, state State) *Server {
	return &Server{ID: "a", Service: "s", Address: "1", DataCentre: "z", StartedAt: startedAt, Seq: seq, State: state}
}

// An older entry of a server that the store writes late, or has again after it came back
// from a copy, does not bring back a server that leaves or has left.
func TestOlderEntryIsIgnored(t *testing.T) {
	gone := &ServerGone{ID: "a"}
	for name, c := range map[string]struct {
		changes []Change
		usable  bool
	}{
		"late ready entry":                      {[]Change{entry(5, 1, Ready), entry(5, 3, Draining), entry(5, 2, Ready)}, false},
		"late ready entry after its removal":    {[]Change{entry(5, 3, Draining), gone, entry(5, 2, Ready)}, false},
		"late draining entry":                   {[]Change{entry(5, 3, Ready), entry(5, 2, Draining)}, true},
		"heartbeats without a change between":   {[]Change{entry(5, 1, Ready), entry(5, 2, Ready), entry(5, 8, Ready), gone, entry(5, 7, Ready)}, true}, // still used for missingTTL
		"later entry":                           {[]Change{entry(5, 3, Draining), entry(5, 4, Ready)}, true},
		"another incarnation":                   {[]Change{entry(5, 30, Draining), entry(6, 1, Ready)}, true},
		"another incarnation, the clock behind": {[]Change{entry(5, 30, Draining), entry(4, 1, Ready)}, true},
		"incarnation not stated":                {[]Change{entry(0, 30, Draining), entry(0, 1, Ready)}, true},
		"after a number of another writer":      {[]Change{entry(5, math.MaxInt64, Draining), entry(5, 1, Ready)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			cache := NewCache(time.Second)
			for _, change := range c.changes {
				cache.Apply([]Change{change}, 1)
			}
			require.Equal(t, c.usable, len(ids(cache)) == 1)
		})
	}
}

// A copy of the store with older entries changes nothing; a server that it lacks is missing.
func TestOlderEntriesOfRestoredStore(t *testing.T) {
	cache := NewCache(time.Second)
	other := entry(5, 9, Ready)
	other.ID, other.Address = "b", "2"
	cache.Apply([]Change{entry(5, 7, Draining), other}, 1)
	cache.Reset(false, true, []Change{entry(5, 5, Ready)}, 2)
	require.Equal(t, []string{"b"}, ids(cache))
	require.EqualValues(t, 2, cache.View().Members["b"].MissingSince)
	cache.Apply(nil, 2*time.Second)
	require.Empty(t, ids(cache))
	cache.Apply([]Change{entry(5, 5, Ready)}, 3*time.Second)
	require.Empty(t, ids(cache), "the entry of before")
	older := *other
	older.Seq = 8
	cache.Apply([]Change{&older}, 3*time.Second)
	require.Empty(t, ids(cache), "of a server that had its entry removed")
}

func TestRemovedEntriesAreForgotten(t *testing.T) {
	var o EntryOrder
	for i := range 3 * maxRemovedEntries {
		s := entry(1, 1, Ready)
		s.ID = fmt.Sprint(i)
		require.False(t, o.Outdated(s))
		o.Removed(s.ID)
		o.Removed(s.ID)
		o.Removed("unknown")
	}
	require.Len(t, o.newest, maxRemovedEntries)
	require.Len(t, o.removed, maxRemovedEntries)
}
