package entry

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/internal/node"
	"marjorampitch/wire"
)

// A connection's streams are told of its loss, also when a newer connection is
// already in use, and the newer one's streams are not.
func TestLinkTellsStreamsOfTheirConnectionsLoss(t *testing.T) {
	l := newLink("s1", "", "", node.New(wire.Hello{}, nil), log.New(io.Discard))
	older, newer := new(wire.Conn), new(wire.Conn)
	l.use(older)
	first, _ := l.register("")
	l.use(newer)
	second, _ := l.register("")

	l.deliver(newer, first.stream, &wire.Chunk{})
	l.deliver(newer, second.stream, &wire.Chunk{})
	l.Closed(older, io.EOF)

	got, lost := first.inbox.take()
	require.Empty(t, got, "a stream takes nothing from another connection")
	require.ErrorIs(t, lost, io.EOF)
	got, lost = second.inbox.take()
	require.Len(t, got, 1)
	require.NoError(t, lost)
	third, _ := l.register("")
	require.NotNil(t, third)
}
