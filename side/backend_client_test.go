package side

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// The backend server crashes while it runs a request on a reused connection.
// net/http retries on a new connection, which is refused. The request ran, so the
// error must not be NotRun.
func TestReusedConnectionThenRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var ran atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ran.Add(1) == 1 {
			w.Write([]byte("first"))
			return
		}
		ln.Close()
		nc, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			nc.Close()
		}
	})}
	go server.Serve(ln)
	defer server.Close()
	b := newBackendClient("http://"+ln.Addr().String(), nil)
	call := func() *api.Error {
		req := &wire.Request{Method: http.MethodGet, Path: "/availability", Idempotent: true}
		ctx, cancel := context.WithCancelCause(context.Background())
		return b.run(ctx, newAttempt(req, cancel), allowSend, func() {})
	}
	require.Nil(t, call())
	e := call()
	require.EqualValues(t, 2, ran.Load())
	require.Equal(t, api.MayHaveRun, e.Ran, e.Error())
	e = call()
	require.Equal(t, api.NotRun, e.Ran, "connection refused: not run")
}

// Requests admitted under two incarnations in turn, around a restart of the engine,
// keep the pooled connections of both.
func TestClientsOfAlternatingIncarnations(t *testing.T) {
	b := newBackendClient("http://127.0.0.1:1", nil)
	first, second := b.clientsFor("a"), b.clientsFor("b")
	require.Same(t, first, b.clientsFor("a"))
	require.Same(t, second, b.clientsFor("b"))
	require.NotSame(t, first, second)
	b.clientsFor("c")
	require.Same(t, second, b.clientsFor("b"), "the two last requested are kept")
	require.NotSame(t, first, b.clientsFor("a"))
}

// allowSend lets every request be sent.
func allowSend() *api.Error { return nil }
