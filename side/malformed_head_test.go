package side

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/internal/resphead/headtest"
	"marjorampitch/wire"
)

// The backend server answers with a head that is none, on a new connection or on one in use.
// The attempt has no head and may have run, it is not sent again without the caller's
// knowledge, and the next one is served.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for _, m := range headtest.Heads() {
		for kind, code := range map[string]int{"success": http.StatusOK, "error": http.StatusInternalServerError, "refusal": http.StatusServiceUnavailable} {
			t.Run(m.Name+", "+kind, func(t *testing.T) {
				t.Parallel()
				for _, idempotent := range []bool{true, false} {
					var broken atomic.Bool
					var reached atomic.Int64
					b := newBackendClient("http://"+headtest.Serve(t, func(*http.Request) (string, bool) {
						reached.Add(1)
						if broken.Load() {
							return m.Text(code, "Content-Type: text/plain\r\n", "malformed"), true
						}
						return headtest.Sound("own"), false
					}), nil)
					call := func() (*attempt, *api.Error) {
						ctx, cancel := context.WithCancelCause(t.Context())
						defer cancel(nil)
						a := newAttempt(&wire.Request{Method: http.MethodPost, Path: "/x", Body: []byte("body"), Idempotent: idempotent, Key: "key"}, cancel)
						return a, b.run(ctx, a, allowSend, func() {})
					}
					for _, inUse := range []bool{false, true} {
						if inUse {
							_, e := call()
							require.Nil(t, e)
						}
						broken.Store(true)
						before := reached.Load()
						a, e := call()
						require.NotNil(t, e, "idempotent %v, connection in use %v", idempotent, inUse)
						require.Equal(t, api.MayHaveRun, e.Ran)
						require.Nil(t, a.head)
						require.Empty(t, a.chunks)
						require.EqualValues(t, 1, reached.Load()-before)
						broken.Store(false)
						a, e = call()
						require.Nil(t, e)
						require.Equal(t, "own", string(a.chunks[0]))
					}
				}
			})
		}
	}
}

// A load report with a head that is none does not verify a connection.
func TestMalformedHeadOfReportVerifiesNothing(t *testing.T) {
	for _, m := range headtest.Heads() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			var reached atomic.Int64
			s := newTestServer(t, "http://"+headtest.Serve(t, func(r *http.Request) (string, bool) {
				if r.URL.Path == "/load" {
					return m.Text(http.StatusOK, "", `{"incarnation":"a"}`), true
				}
				reached.Add(1)
				return headtest.Sound("own"), false
			}))
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			a := newAttempt(&wire.Request{Method: http.MethodPost, Path: "/chat", Idempotent: true}, cancel)
			a.ticket = &ticket{incarnation: "a"}
			e := s.backend.run(ctx, a, allowSend, func() {})
			require.NotNil(t, e)
			require.Equal(t, api.NotRun, e.Ran)
			require.Zero(t, reached.Load())
		})
	}
}

// The backend server stops anywhere in its answer and closes the connection. That is no whole
// answer.
func TestAnswerThatStopsAnywhereIsNoWholeAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"length":         headtest.Sound("twelve bytes"),
		"largest length": "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\ntwelve bytes",
		"chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\nX-A: a\r\n\r\n",
		"interim head":   "HTTP/1.1 103 X\r\nLink: a\r\n\r\n" + headtest.Sound("twelve bytes"),
		"empty":          "HTTP/1.1 204 X\r\nX-A: a\r\n\r\n",
		"stream":         "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, idempotent := range []bool{true, false} {
				for cut := range len(text) {
					b := newBackendClient("http://"+headtest.Serve(t, func(*http.Request) (string, bool) { return text[:cut], true }), nil)
					ctx, cancel := context.WithCancelCause(t.Context())
					a := newAttempt(&wire.Request{Method: http.MethodPost, Path: "/x", Idempotent: idempotent, Key: "key"}, cancel)
					e := b.run(ctx, a, allowSend, func() {})
					require.NotNil(t, e, "cut at %d", cut)
					require.Equal(t, api.MayHaveRun, e.Ran)
					cancel(nil)
				}
			}
		})
	}
}
