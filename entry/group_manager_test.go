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

func newTestGroupManager(instance string) *groupManager {
	hello := wire.Hello{Instance: instance, Service: "s"}
	logger := log.New(io.Discard)
	return newGroupManager(&Options{Hello: hello, Log: logger}, newLinkTable(instance, node.New(hello, nil), logger))
}

func liveEntries(names ...string) []backing.Instance {
	var out []backing.Instance
	for _, name := range names {
		out = append(out, backing.Instance{Name: name, Role: listRoleEntry, State: backing.InstanceLive})
	}
	return out
}

// Front proxies with the same instance list agree on exactly one leader, also after
// the leader has left the list.
func TestEntriesAgreeOnOneLeader(t *testing.T) {
	names := []string{"n1", "n2", "n3", "n4"}
	for len(names) > 0 {
		leader := -1
		for i, name := range names {
			if newTestGroupManager(name).isLeader("g", liveEntries(names...)) {
				require.Equal(t, -1, leader, "two leaders")
				leader = i
			}
		}
		require.NotEqual(t, -1, leader)
		names = append(names[:leader:leader], names[leader+1:]...)
	}
}

func TestLeavingEntryIsNotLeader(t *testing.T) {
	g := newTestGroupManager("n1")
	require.True(t, g.isLeader("g", nil))
	g.links.node.SetLeaving()
	require.False(t, g.isLeader("g", nil))
}

func TestMapOrdersAreNotResentBeforeInterval(t *testing.T) {
	c := newCoordinator(newTestGroupManager("n1"), &config.Group{Name: "g", Ranks: 2})
	order := wire.Order{Seq: 1, Map: []byte("m")}
	require.False(t, c.suppressResend(&order))
	require.True(t, c.suppressResend(&order))
	require.False(t, c.suppressResend(&wire.Order{Seq: 2, Map: []byte("m")}))
	require.False(t, c.suppressResend(&wire.Order{Seq: 2, Rank: 1, Map: []byte("m")}))
	c.sentMaps[1].at = time.Now().Add(-mapResendInterval)
	require.False(t, c.suppressResend(&wire.Order{Seq: 2, Rank: 1, Map: []byte("m")}))
	require.False(t, c.suppressResend(&wire.Order{Seq: 2}))
	require.False(t, c.suppressResend(&wire.Order{Seq: 2}))
}

// The spec of a group holds the backend server of each rank and a map of the configured size.
func TestCoordinatorSetDocument(t *testing.T) {
	section := config.Group{Name: "g", Ranks: 2, Experts: 4, Layers: 1, Slots: 2}
	doc := &config.Document{
		Groups:   []config.Group{section},
		Backends: []config.Backend{{Name: "b", Group: "g", Rank: 1}, {Name: "x"}, {Name: "a", Group: "g"}},
	}
	c := newCoordinator(newTestGroupManager("n1"), &section)
	c.setDocument(doc, &section)
	before := c.currentSpec()
	require.Equal(t, []string{"a", "b"}, before.sides)
	c.setDocument(doc, &section)
	require.Equal(t, before, c.currentSpec())
	section.Slots = 3
	c.setDocument(doc, &section)
	require.NotEqual(t, before.mapHash, c.currentSpec().mapHash)
}
