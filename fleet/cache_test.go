package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ready(id, address string, startedAt int64) *Server {
	return &Server{ID: id, Service: "s", Address: address, DataCentre: "z", StartedAt: startedAt}
}

func ids(b *Cache) []string {
	list := []string{}
	for _, m := range b.View().Services["s"] {
		list = append(list, m.ID)
	}
	return list
}

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
			b := NewCache(time.Second)
			b.Apply(c.changes, 1)
			require.Equal(t, c.want, ids(b))
		})
	}
}

// A ready server whose entry disappears stays usable for a while, since entries
// also expire while the store is unavailable; after that it is removed.
func TestExpiredEntryIsKept(t *testing.T) {
	b := NewCache(time.Second)
	b.Apply([]Change{ready("a", "1", 1)}, 1)
	b.Apply([]Change{&ServerGone{ID: "a"}}, time.Second)
	require.Equal(t, []string{"a"}, ids(b))
	b.Apply(nil, 1900*time.Millisecond)
	require.Equal(t, []string{"a"}, ids(b))
	b.Apply(nil, 2*time.Second)
	require.Empty(t, ids(b))
	b.Apply([]Change{ready("a", "1", 1)}, 3*time.Second)
	require.Equal(t, []string{"a"}, ids(b))
}

// A snapshot removes what it lacks, but only of its own stream.
func TestReset(t *testing.T) {
	b := NewCache(0)
	d := &Document{Version: 3}
	b.Apply([]Change{d, &CentreDisabled{"y"}, ready("a", "1", 1), ready("b", "2", 1)}, 1)
	b.Reset(false, []Change{ready("b", "2", 1)}, 2)
	require.Equal(t, []string{"b"}, ids(b))
	require.True(t, b.View().DisabledCentres["y"])
	b.Reset(true, []Change{&Document{Version: 2}}, 3)
	require.False(t, b.View().DisabledCentres["y"])
	require.Equal(t, []string{"b"}, ids(b))
	require.Same(t, d, b.View().Document, "an older document must not replace a newer one")
}

// Heartbeats that do not affect any decision publish no new View.
func TestUnchangedHeartbeats(t *testing.T) {
	b := NewCache(0)
	b.Apply([]Change{ready("a", "1", 1)}, 1)
	v := b.View()
	again := ready("a", "1", 1)
	again.Seq = 9
	require.False(t, b.Apply([]Change{again}, 2))
	require.Same(t, v, b.View())
	cold := ready("a", "1", 1)
	cold.ColdRemaining = time.Second
	require.True(t, b.Apply([]Change{cold}, 3))
	require.Equal(t, time.Second+3, b.View().Members["a"].ColdUntil)
}
