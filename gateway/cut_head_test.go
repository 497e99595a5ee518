package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A server stops anywhere in its answer, and closes or resets the connection. That is no whole
// answer: a request that may be repeated is, and others are told that they may have run.
func TestAnswerThatStopsAnywhereIsNoWholeAnswer(t *testing.T) {
	const fields = "X-Seal: seal\r\nKeep-Alive: timeout=5\r\n"
	for name, x := range map[string]struct{ head, body string }{
		"length":           {"HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + fields + "Content-Length: 12\r\n\r\n", "twelve bytes"},
		"length at first":  {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: ID\r\n" + fields + "\r\n", "twelve bytes"},
		"line feeds":       {"HTTP/1.1 200 OK\nContent-Length: 12\nX-Id: ID\n" + strings.ReplaceAll(fields, "\r", "") + "\n", "twelve bytes"},
		"chunks":           {"HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", "c\r\ntwelve bytes\r\n0\r\nX-A: a\r\n\r\n"},
		"end of channel":   {"HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + fields + "\r\n", ""},
		"empty":            {"HTTP/1.1 204 X\r\nX-Id: ID\r\n" + fields + "\r\n", ""},
		"interim head":     {"HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\n" + fields + "Content-Length: 12\r\n\r\n", "twelve bytes"},
		"error":            {"HTTP/1.1 404 X\r\nX-Id: ID\r\n" + fields + "Content-Length: 12\r\n\r\n", "twelve bytes"},
		"stream":           {"HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "9\r\ndata: x\n\n\r\n0\r\n\r\n"},
		"stream of length": {"HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + fields + "Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\n", "data: x\n\ndata: y\n\n"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				for path, repeats := range map[string]bool{"/once/": false, "/again/": true, "/stream/": true, "/fixed/": false} {
					tg := newTestGateway(t)
					tg.document(allowTime)
					tg.g.opts.Settings.Bounds.RetryBurst = 1 << 20
					var cut atomic.Int64
					faulty := tg.server(func(c *conn) {
						text := strings.Replace(x.head+x.body, "ID", c.request().Header.Get("X-Id"), 1)
						c.write(text[:min(int(cut.Load()), len(text)-1)])
						if reset {
							c.reset()
						}
					})
					other := tg.server(serve("other"))
					for ; int(cut.Load()) < len(x.head)+len(x.body); cut.Add(1) {
						tg.preferInOrder(faulty, other)
						tg.forgetFailures(faulty)
						status, body, _ := tg.call(fmt.Sprint(path, cut.Load()))
						what := fmt.Sprintf("%s, cut at %d: %q", path, cut.Load(), body)
						switch {
						case strings.HasSuffix(body, " CUT"): // a stream that has begun
							require.Contains(t, name, "stream", what)
						case repeats:
							require.Equal(t, http.StatusOK, status, what)
							require.Equal(t, "other", body, what)
						default:
							require.Equal(t, http.StatusBadGateway, status, what)
						}
					}
				}
			})
		}
	}
}

// forgetFailures has a server taken for sound again.
func (tg *testGateway) forgetFailures(id string) {
	s := tg.g.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(tg.cache.View().Members[id]).health = health{}
}
