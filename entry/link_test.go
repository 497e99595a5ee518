package entry

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marjorampitch/internal/node"
	"marjorampitch/route"
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

// A sidecar that is connected and reports its backend server down is shown as such.
func TestStatusOfConnectedSideWithBackendDown(t *testing.T) {
	l := newLink("s1", "", "", node.New(wire.Hello{}, noConfig{}), log.New(io.Discard))
	require.False(t, l.status(time.Now(), route.Candidate{}).Connected)
	l.conn = connTo(t, "i1")
	st := l.status(time.Now(), route.Candidate{})
	require.True(t, st.Connected)
	require.False(t, st.BackendDown)
	l.report.Down, l.reportedAt = true, time.Now()
	st = l.status(time.Now(), route.Candidate{})
	require.True(t, st.Connected)
	require.True(t, st.BackendDown)
}

// Messages that are read from a lost connection after a newer one is active do not
// replace that connection or its reports.
func TestLinkIgnoresReportsOfLostConnection(t *testing.T) {
	l := newLink("s1", "", "", node.New(wire.Hello{}, noConfig{}), log.New(io.Discard))
	older, newer := connTo(t, "i1"), connTo(t, "i2")
	l.heartbeat(older, &wire.Heartbeat{Report: &wire.Report{Seq: 100}})
	older.Close(nil)
	l.heartbeat(newer, &wire.Heartbeat{Report: &wire.Report{Seq: 1, Running: 1}})

	l.Handle(older, &wire.End{Report: wire.Report{Seq: 101, Running: 101}})
	assert.Equal(t, 1, l.report.Running, "after the end of an answer on the lost connection")
	l.heartbeat(older, &wire.Heartbeat{Leaving: true, Report: &wire.Report{Seq: 102, Running: 102}})
	assert.Equal(t, 1, l.report.Running, "after a heartbeat on the lost connection")
	assert.False(t, l.leaving)
	assert.Equal(t, "i2", l.incarnation())
	l.heartbeat(newer, &wire.Heartbeat{Report: &wire.Report{Seq: 2, Running: 2}})
	assert.Equal(t, 2, l.report.Running)
}
