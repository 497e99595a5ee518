package side

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// A load report that does not end, or that is none, does not verify a connection. Little of it
// is read.
func TestReportWithoutEndVerifiesNothing(t *testing.T) {
	const most = 8 << 20 // with what the sockets hold
	const maxCalls = 100
	const sound = `{"incarnation":"a"}`
	for name, x := range map[string]struct{ begin, repeat string }{
		"head":                     {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"text":                     {"HTTP/1.1 200 OK\r\n\r\n" + `{"incarnation":"`, "a"},
		"blanks":                   {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"blanks after the report":  {"HTTP/1.1 200 OK\r\n\r\n" + sound, " "},
		"largest length":           {"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n" + `{"incarnation":"`, "a"},
		"error":                    {"HTTP/1.1 500 X\r\nContent-Length: 19\r\n\r\n" + sound, ""},
		"second report behind it":  {"HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n" + sound + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", ""},
		"report without an answer": {sound, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			written := make(chan int, maxCalls)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, "/load", r.URL.Path)
				c, _, err := w.(http.Hijacker).Hijack()
				require.NoError(t, err)
				defer c.Close()
				written <- writeEndless(c, x.begin, strings.Repeat(x.repeat, 64<<10), 2*most)
			}))
			defer srv.Close()
			s := newTestServer(t, srv.URL)
			for reached := false; !reached; { // the time of the report may end before its request arrives
				ctx, cancel := context.WithCancelCause(t.Context())
				a := newAttempt(&wire.Request{Method: http.MethodPost, Path: "/chat", Idempotent: true}, cancel)
				a.ticket = &ticket{incarnation: "a"}
				e := s.backend.run(ctx, a, allowSend, func() {})
				cancel(nil)
				require.NotNil(t, e)
				require.Equal(t, api.NotRun, e.Ran)
				select {
				case n := <-written:
					require.Less(t, n, most)
					reached = true
				case <-time.After(time.Second):
				}
			}
		})
	}
}

// writeEndless writes begin, and then s again and again until its reader closes, but not more
// than most bytes. It returns the number of bytes written.
func writeEndless(c net.Conn, begin, s string, most int) (n int) {
	for n, next := 0, begin; ; next = s {
		m, err := c.Write([]byte(next))
		if n += m; err != nil || n >= most || s == "" {
			return n
		}
	}
}
