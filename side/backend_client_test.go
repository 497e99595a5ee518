package side

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

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

// An answer without a length whose connection is reset while the rest of a long request is
// being sent is broken off and not complete.
func TestResetDuringSendingIsNoRegularEnd(t *testing.T) {
	for range 20 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 4096))
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond) // so that the answer is being read
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}()
		b := newBackendClient("http://"+ln.Addr().String(), nil)
		req := &wire.Request{Method: http.MethodPost, Path: "/", Body: make([]byte, 32<<20)}
		ctx, cancel := context.WithCancelCause(t.Context())
		e := b.run(ctx, newAttempt(req, cancel), allowSend, func() {})
		require.NotNil(t, e, "half of the answer counts as whole")
		require.Equal(t, api.StreamBroken, e.Code)
		cancel(nil)
		ln.Close()
	}
}
