package entry

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/internal/node"
	"marjorampitch/wire"
)

func testGroups(instance string) *groups {
	hello := wire.Hello{Instance: instance, Service: "s"}
	logger := log.New(io.Discard)
	return newGroups(&Options{Hello: hello, Log: logger}, newTable(instance, node.New(hello, nil), logger))
}

func entries(names ...string) []backing.Instance {
	var out []backing.Instance
	for _, name := range names {
		out = append(out, backing.Instance{Name: name, Role: listRoleEntry, State: backing.InstanceLive})
	}
	return out
}

// Entries with the same list agree on one leader, and another one follows it.
func TestOneEntryLeadsAGroup(t *testing.T) {
	names := []string{"n1", "n2", "n3", "n4"}
	for len(names) > 0 {
		leader := -1
		for i, name := range names {
			if testGroups(name).leads("g", entries(names...)) {
				require.Equal(t, -1, leader, "two leaders")
				leader = i
			}
		}
		require.NotEqual(t, -1, leader)
		names = append(names[:leader:leader], names[leader+1:]...)
	}
}

func TestLeavingEntryLeadsNoGroup(t *testing.T) {
	g := testGroups("n1")
	require.True(t, g.leads("g", nil))
	g.table.node.SetLeaving()
	require.False(t, g.leads("g", nil))
}

func TestOrdersWithAMapAreNotRepeatedAtOnce(t *testing.T) {
	c := newCoordinator(testGroups("n1"), &config.Group{Name: "g", Ranks: 2})
	order := wire.Order{Seq: 1, Map: []byte("m")}
	require.False(t, c.sentLately(&order))
	require.True(t, c.sentLately(&order))
	require.False(t, c.sentLately(&wire.Order{Seq: 2, Map: []byte("m")}))
	require.False(t, c.sentLately(&wire.Order{Seq: 2, Rank: 1, Map: []byte("m")}))
	c.maps[1].at = time.Now().Add(-mapResend)
	require.False(t, c.sentLately(&wire.Order{Seq: 2, Rank: 1, Map: []byte("m")}))
	require.False(t, c.sentLately(&wire.Order{Seq: 2}))
	require.False(t, c.sentLately(&wire.Order{Seq: 2}))
}

// The document names the backend server of each rank and the sizes of the map.
func TestCoordinatorFollowsTheDocument(t *testing.T) {
	section := config.Group{Name: "g", Ranks: 2, Experts: 4, Layers: 1, Slots: 2}
	doc := &config.Document{
		Groups:   []config.Group{section},
		Backends: []config.Backend{{Name: "b", Group: "g", Rank: 1}, {Name: "x"}, {Name: "a", Group: "g"}},
	}
	c := newCoordinator(testGroups("n1"), &section)
	c.follow(doc, &section)
	before := c.wanted()
	require.Equal(t, []string{"a", "b"}, before.sides)
	c.follow(doc, &section)
	require.Equal(t, before, c.wanted())
	section.Slots = 3
	c.follow(doc, &section)
	require.NotEqual(t, before.hash, c.wanted().hash)
}
