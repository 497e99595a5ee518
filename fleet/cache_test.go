package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ready(id, address string, startedAt int64) *Server {
	return &Server{ID: id, Service: "s", Address: address, DataCentre: "z", StartedAt: startedAt}
}

func ids(cache *Cache) []string {
	list := []string{}
	for _, m := range cache.View().Services["s"] {
		list = append(list, m.ID)
	}
	return list
}

// A server is usable while its entry is valid and ready, its data centre is enabled,
// and no newer server has its address.
func TestUsableServers(t *testing.T) {
	for name, c := range map[string]struct {
		changes []Change
		want    []string
	}{
		"ready":                     {[]Change{ready("a", "1", 1), ready("b", "2", 1)}, []string{"a", "b"}},
		"draining":                  {[]Change{ready("a", "1", 1), &Server{ID: "a", Service: "s", Address: "1", State: Draining}}, []string{}},
		"removed after draining":    {[]Change{&Server{ID: "a", Service: "s", State: Draining}, &ServerGone{ID: "a"}}, []string{}},
		"invalid entry":             {[]Change{ready("a", "1", 1), &ServerGone{ID: "a", Invalid: true}}, []string{}},
		"valid after invalid entry": {[]Change{&ServerGone{ID: "a", Invalid: true}, ready("a", "1", 1)}, []string{"a"}},
		"unknown server removed":    {[]Change{&ServerGone{ID: "x"}}, []string{}},
		"address taken over":        {[]Change{ready("old", "1", 1), ready("new", "1", 2)}, []string{"new"}},
		"address taken over, late":  {[]Change{ready("new", "1", 2), ready("old", "1", 1)}, []string{"new"}},
		"centre disabled":           {[]Change{ready("a", "1", 1), &CentreDisabled{"z"}}, []string{}},
		"centre enabled again":      {[]Change{ready("a", "1", 1), &CentreDisabled{"z"}, &CentreEnabled{"z"}}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			cache := NewCache(time.Second)
			cache.Apply(c.changes, 1)
			require.Equal(t, c.want, ids(cache))
		})
	}
}

// A ready server whose entry disappears stays usable for a while, since entries
// also expire while the store is unavailable; after that it is removed.
func TestExpiredEntryIsKept(t *testing.T) {
	cache := NewCache(time.Second)
	cache.Apply([]Change{ready("a", "1", 1)}, 1)
	cache.Apply([]Change{&ServerGone{ID: "a"}}, time.Second)
	require.Equal(t, []string{"a"}, ids(cache))
	cache.Apply(nil, 1900*time.Millisecond)
	require.Equal(t, []string{"a"}, ids(cache))
	cache.Apply(nil, 2*time.Second)
	require.Empty(t, ids(cache))
	cache.Apply([]Change{ready("a", "1", 1)}, 3*time.Second)
	require.Equal(t, []string{"a"}, ids(cache))
}

// A snapshot removes what it lacks, but only of its own topic.
func TestReset(t *testing.T) {
	cache := NewCache(0)
	d := &Document{Version: 3}
	cache.Apply([]Change{d, &CentreDisabled{"y"}, ready("a", "1", 1), ready("b", "2", 1)}, 1)
	cache.Reset(false, false, []Change{ready("b", "2", 1)}, 2)
	require.Equal(t, []string{"b"}, ids(cache))
	require.True(t, cache.View().DisabledCentres["y"])
	cache.Reset(true, false, []Change{&Document{Version: 2}}, 3)
	require.False(t, cache.View().DisabledCentres["y"])
	require.Equal(t, []string{"b"}, ids(cache))
	require.Same(t, d, cache.View().Document, "an older document must not replace a newer one")
}

// Heartbeats that do not affect any decision publish no new View.
func TestUnchangedHeartbeats(t *testing.T) {
	cache := NewCache(0)
	cache.Apply([]Change{ready("a", "1", 1)}, 1)
	v := cache.View()
	again := ready("a", "1", 1)
	again.Seq = 9
	require.False(t, cache.Apply([]Change{again}, 2))
	require.Same(t, v, cache.View())
	cold := ready("a", "1", 1)
	cold.Seq = 10
	cold.ColdRemaining = time.Second
	require.True(t, cache.Apply([]Change{cold}, 3))
	require.Equal(t, time.Second+3, cache.View().Members["a"].ColdUntil)
}
