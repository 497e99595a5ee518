package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A server sends a second answer to a request, without an id, once it has read the next
// request on that connection. The next caller gets an answer of its own, and is not told
// that its request has not run.
func TestLateCopyIsNotTheNextCallersAnswer(t *testing.T) {
	for name, late := range map[string]string{
		"failure":    "HTTP/1.1 404 X\r\nContent-Length: 4\r\n\r\nlate",
		"error":      "HTTP/1.1 500 X\r\nX-Seal: seal\r\nContent-Length: 4\r\n\r\nlate",
		"not run":    "HTTP/1.1 503 X\r\nX-Not-Run: full\r\nContent-Length: 4\r\n\r\nlate",
		"stream":     "HTTP/1.1 200 OK\r\nX-Seal: seal\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 9\ndata: y\n\n\n",
		"whole copy": "HTTP/1.1 200 OK\r\nX-Seal: seal\r\nContent-Length: 4\r\n\r\nlate",
	} {
		for _, path := range []string{"/again/", "/stream/", "/once/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				tg := newTestGateway(t)
				var ran atomic.Int64
				faulty := tg.server(func(c *conn) {
					for n := 0; ; n++ {
						r := c.request()
						if r == nil {
							return
						}
						ran.Add(1)
						if n > 0 {
							c.write(late)
						}
						c.write(answer(r, http.StatusOK, "own"))
					}
				})
				tg.preferInOrder(faulty, tg.server(serve("own")))
				for range 2 {
					tg.preferInOrder(faulty)
					status, body, _ := tg.call(path)
					require.Equal(t, http.StatusOK, status, body)
					require.Equal(t, "own", body)
				}
				require.EqualValues(t, 2, ran.Load())
			})
		}
	}
}

// Answers to requests without an id cannot be told apart, so each has a connection of
// its own.
func TestRequestWithoutIDGetsItsOwnAnswer(t *testing.T) {
	tg := newTestGateway(t)
	tg.server(func(c *conn) {
		for n := 0; c.request() != nil; n++ {
			if n > 0 {
				c.write("HTTP/1.1 200 OK\r\nX-Seal: seal\r\nContent-Length: 4\r\n\r\nlate")
			}
			c.write("HTTP/1.1 200 OK\r\nX-Seal: seal\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\nown")
		}
	})
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, tg.front.URL+"/again/", strings.NewReader("body"))
		require.NoError(t, err)
		r.Host = "h"
		r.Header.Set("X-Key", "key")
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		body := make([]byte, 8)
		n, _ := resp.Body.Read(body)
		resp.Body.Close()
		require.Equal(t, "own", string(body[:n]))
	}
}

// A server writes an earlier refusal once more on a kept connection, to the same request as
// its caller returns with it. The caller is not told that what the server runs has not run.
func TestRepeatedRefusalIsNoAnswerToReturningRequest(t *testing.T) {
	for _, path := range []string{"/again/", "/stream/"} {
		for name, repeated := range map[string]int{"once": 1, "three times": 3} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				tg := newTestGateway(t)
				var ran, refused atomic.Int64
				tg.server(func(c *conn) {
					refusal := ""
					for r := c.request(); r != nil; r = c.request() {
						if refused.Add(1) == 1 {
							refusal = "HTTP/1.1 503 X\r\nX-Not-Run: full\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nContent-Length: 0\r\n\r\n"
							c.write(refusal)
							continue
						}
						ran.Add(1)
						c.write(strings.Repeat(refusal, repeated))
						c.write(answer(r, http.StatusOK, "own"))
					}
				})
				status := func() int {
					r, err := http.NewRequest(http.MethodPost, tg.front.URL+path, strings.NewReader("x"))
					require.NoError(t, err)
					r.Host = "h"
					r.Header.Set("X-Id", "returns")
					r.Header.Set("X-Key", "key")
					resp, err := http.DefaultClient.Do(r)
					require.NoError(t, err)
					resp.Body.Close()
					return resp.StatusCode
				}
				require.Equal(t, http.StatusServiceUnavailable, status())
				require.Equal(t, http.StatusOK, status())
				require.EqualValues(t, 1, ran.Load())
			})
		}
	}
}
