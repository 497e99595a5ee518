package entry

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/internal/node"
	"marjorampitch/wire"
)

// The loss of a connection fails its own streams, even if a newer connection is
// already active, and leaves the streams of the newer one alone.
func TestLinkNotifiesStreamsOfLostConnection(t *testing.T) {
	l := newLink("s1", "", "", node.New(wire.Hello{}, nil), log.New(io.Discard))
	older, newer := new(wire.Conn), new(wire.Conn)
	l.activate(older)
	first, _ := l.addStream("")
	l.activate(newer)
	second, _ := l.addStream("")

	l.deliver(newer, first.stream, &wire.Chunk{})
	l.deliver(newer, second.stream, &wire.Chunk{})
	l.Closed(older, io.EOF)

	got, connErr := first.inbox.take()
	require.Empty(t, got, "stream received a message of another connection")
	require.ErrorIs(t, connErr, io.EOF)
	got, connErr = second.inbox.take()
	require.Len(t, got, 1)
	require.NoError(t, connErr)
	third, _ := l.addStream("")
	require.NotNil(t, third)
}
