package side

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/internal/node"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// noopHandler is a wire.Handler and wire.HeartbeatSource that does nothing.
type noopHandler struct{}

func (noopHandler) Handle(*wire.Conn, wire.Message)             {}
func (noopHandler) Closed(*wire.Conn, error)                    {}
func (noopHandler) NextHeartbeat(*wire.Conn) (h wire.Heartbeat) { return h }

// closedConn returns a closed connection whose handler may not have been notified
// yet.
func closedConn(t *testing.T) *wire.Conn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		if nc, err := ln.Accept(); err == nil {
			wire.Accept(nc, wire.Hello{}, noopHandler{}, noopHandler{})
		}
	}()
	c, err := wire.Dial(t.Context(), ln.Addr().String(), wire.Hello{}, noopHandler{}, noopHandler{})
	require.NoError(t, err)
	c.Close(nil)
	return c
}

// An attempt is detached from its subscriber when sending finds the connection
// closed, even if that happens before the connection's handler is notified.
func TestAttemptIsDetachedWhenSendFindsConnectionClosed(t *testing.T) {
	s := &Server{streams: make(map[streamKey]*subscription)}
	a := newAttempt(&wire.Request{Idempotent: true, Streaming: true}, func(error) {})
	sub := &subscriber{conn: closedConn(t), stream: 1, window: newWindow(100), cancel: func() {}}
	require.True(t, a.attach(sub))
	key := streamKey{sub.conn, sub.stream}
	s.streams[key] = &subscription{attempt: a, sub: sub}
	require.NoError(t, a.addChunk(t.Context(), []byte("token")))

	s.deliver(context.Background(), key, a, sub)

	require.True(t, a.orphaned())
	require.Empty(t, s.streams)
}

// A response whose last message could not be sent is kept for a resume, also if all
// its chunks were sent before.
func TestResponseIsKeptWhenItsEndIsNotSent(t *testing.T) {
	for name, result := range map[string]*api.Error{"end": nil, "refusal": api.NewError(api.BackendFailed, "")} {
		t.Run(name, func(t *testing.T) {
			s := &Server{streams: make(map[streamKey]*subscription), node: node.New(wire.Hello{}, nil), opt: Options{Metrics: telemetry.NewSideMetrics(telemetry.NewRegistry())}}
			a := newAttempt(&wire.Request{Idempotent: true}, func(error) {})
			sub := &subscriber{conn: closedConn(t), stream: 1, window: newWindow(100), cancel: func() {}}
			require.True(t, a.attach(sub))
			key := streamKey{sub.conn, sub.stream}
			s.streams[key] = &subscription{attempt: a, sub: sub}
			a.finish(result)

			s.deliver(context.Background(), key, a, sub)

			require.True(t, a.orphaned(), "the attempt waits for a resume")
		})
	}
}
