package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
	"marjorampitch/internal/resphead/headtest"
)

// malformedOnce answers one request with a malformed head, the first on the connection or,
// after a sound answer, the second. It serves all others. The connection stays open.
func malformedOnce(second bool, text func(r *http.Request) string) func(c *conn) {
	var sent atomic.Bool
	return func(c *conn) {
		for n := 0; ; n++ {
			r := c.request()
			switch {
			case r == nil:
				return
			case (n > 0 || !second) && !sent.Swap(true):
				c.write(text(r))
				return
			default:
				c.write(answer(r, http.StatusOK, "own"))
			}
		}
	}
}

// A server answers with a head that is none. No caller gets any of it, nor is told that its
// request has not run, and the server serves the next request.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for _, m := range headtest.Heads() {
		for kind, fields := range map[string]struct {
			status int
			header string
		}{
			"success": {http.StatusOK, "X-Seal: seal\r\n"},
			"stream":  {http.StatusOK, "X-Seal: seal\r\nContent-Type: text/event-stream\r\n"},
			"error":   {http.StatusNotFound, "X-Seal: seal\r\n"},
			"refusal": {http.StatusServiceUnavailable, "X-Not-Run: full\r\n"},
		} {
			t.Run(m.Name+", "+kind, func(t *testing.T) {
				t.Parallel()
				for path, repeats := range map[string]bool{"/once/": false, "/again/": true, "/stream/": true, "/fixed/": false, "/open/": true} {
					for _, second := range []bool{false, true} {
						tg := newTestGateway(t)
						tg.document(allowTime)
						faulty := tg.server(malformedOnce(second, func(r *http.Request) string {
							return m.Text(fields.status, "X-Id: "+r.Header.Get("X-Id")+"\r\n"+fields.header, "malformed")
						}))
						other := tg.server(serve("other"))
						what := fmt.Sprint(path, " second ", second)
						if second {
							tg.preferInOrder(faulty, other)
							status, body, _ := tg.call(path)
							require.Equal(t, http.StatusOK, status, what)
							require.Equal(t, "own", body, what)
						}
						tg.preferInOrder(faulty, other)
						status, body, h := tg.call(path)
						switch {
						case repeats:
							require.Equal(t, http.StatusOK, status, what)
							require.Equal(t, "other", body, what)
						case second: // on a connection of its own
							require.Equal(t, http.StatusOK, status, what)
							require.Equal(t, "own", body, what)
						default:
							require.Equal(t, http.StatusBadGateway, status, what)
							require.Empty(t, h.Get("X-Seal"), what)
						}
						for range 2 {
							tg.preferInOrder(faulty)
							status, body, _ = tg.call(path)
						}
						require.Equal(t, http.StatusOK, status, what)
						require.Contains(t, []string{"own", "other"}, body, what)
					}
				}
			})
		}
	}
}

// A stream has begun and breaks off. The server that it is sent on to answers with a head
// that is none: the next one goes on with it.
func TestMalformedHeadIsNotPartOfStream(t *testing.T) {
	for _, m := range headtest.Heads() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			tg.document(allowTime)
			tg.setRoutes(func(r *fleet.Route) { r.MaxAttempts = 3 })
			first := tg.server(func(c *conn) { c.write(streamHead(c.request()) + event(1)) })
			faulty := tg.server(func(c *conn) {
				r := c.request()
				c.write(m.Text(http.StatusOK, "X-Id: "+r.Header.Get("X-Id")+"\r\nX-Seal: seal\r\nContent-Type: text/event-stream\r\n", "data: malformed\n\n"))
			})
			sound := tg.server(func(c *conn) {
				r := c.request()
				require.Equal(t, "1", r.Header.Get("Last-Event-Id"))
				c.write(streamHead(r) + event(2) + "0\r\n\r\n")
			})
			tg.preferInOrder(first, faulty, sound)
			status, body, _ := tg.call("/stream/")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, strings.Repeat("id: N\ndata: x\n\n", 2), strings.NewReplacer("id: 1", "id: N", "id: 2", "id: N").Replace(body))
		})
	}
}

// A server states a length that no body has, and breaks off. No part of that is a whole
// answer.
func TestLengthBeyondBodyIsNoWholeAnswer(t *testing.T) {
	for _, length := range []string{"9223372036854775807", "9223372036854775806", "9223372036854775808", "99999999999999999999", "16777217", "6"} {
		for _, sent := range []string{"", "short"} {
			t.Run(length+" "+sent, func(t *testing.T) {
				t.Parallel()
				for path, repeats := range map[string]bool{"/once/": false, "/again/": true, "/stream/": true, "/fixed/": false, "/open/": true} {
					tg := newTestGateway(t)
					tg.document(allowTime)
					faulty := tg.server(malformedOnce(false, func(r *http.Request) string {
						return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Seal: seal\r\nContent-Length: " + length + "\r\n\r\n" + sent
					}))
					tg.preferInOrder(faulty, tg.server(serve("other")))
					status, body, _ := tg.call(path)
					if repeats {
						require.Equal(t, http.StatusOK, status, path)
						require.Equal(t, "other", body, path)
					} else {
						require.Equal(t, http.StatusBadGateway, status, path)
					}
				}
			})
		}
	}
}

// The answer to HEAD states the length of a body that it does not have. However long, the
// answer is whole.
func TestLengthOfAnswerToHeadIsThatOfNoBody(t *testing.T) {
	for _, length := range []string{"9223372036854775807", "16777217", "6"} {
		t.Run(length, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			tg.server(func(c *conn) {
				for r := c.request(); r != nil; r = c.request() {
					c.write("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Seal: seal\r\nContent-Length: " + length + "\r\n\r\n")
				}
			})
			for range 2 { // the second one on the same connection
				r, err := http.NewRequest(http.MethodHead, tg.front.URL+"/once/", nil)
				require.NoError(t, err)
				r.Host = "h"
				r.Header = http.Header{"X-Id": {strconv.FormatInt(nextID.Add(1), 16)}, "X-Key": {"key"}}
				resp, err := http.DefaultClient.Do(r)
				require.NoError(t, err)
				resp.Body.Close()
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Equal(t, "seal", resp.Header.Get("X-Seal"))
			}
		})
	}
}
