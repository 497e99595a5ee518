package side

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/wire"
)

// idle is a wire.Handler and wire.HeartbeatSource that does nothing.
type idle struct{}

func (idle) Handle(*wire.Conn, wire.Message)             {}
func (idle) Closed(*wire.Conn, error)                    {}
func (idle) NextHeartbeat(*wire.Conn) (h wire.Heartbeat) { return h }

// closedConn returns a connection that is closed and whose handler may not have been told yet.
func closedConn(t *testing.T) *wire.Conn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		if nc, err := ln.Accept(); err == nil {
			wire.Accept(nc, wire.Hello{}, idle{}, idle{})
		}
	}()
	c, err := wire.Dial(t.Context(), ln.Addr().String(), wire.Hello{}, idle{}, idle{})
	require.NoError(t, err)
	c.Close(nil)
	return c
}

// An attempt whose answer meets a closed connection is abandoned, also when
// that is seen before the connection's handler is told.
func TestAttemptIsAbandonedWhenSendingFindsTheConnectionClosed(t *testing.T) {
	s := &Server{streams: make(map[streamKey]*subscription)}
	a := newAttempt(&wire.Request{Idempotent: true, Streaming: true}, func(error) {})
	sub := &subscriber{conn: closedConn(t), stream: 1, window: newWindow(100), cancel: func() {}}
	require.True(t, a.attach(sub))
	key := streamKey{sub.conn, sub.stream}
	s.streams[key] = &subscription{attempt: a, sub: sub}
	require.NoError(t, a.add(t.Context(), []byte("token")))

	s.deliver(context.Background(), key, a, sub)

	require.True(t, a.orphaned())
	require.Empty(t, s.streams)
}
