package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
)

// brokenResumptions are the answers of a server to which a stream that has begun is sent
// on, and which does not go on with it.
func brokenResumptions() map[string]func(r *http.Request) string {
	plain := func(status int, header, body string) func(r *http.Request) string {
		return func(r *http.Request) string {
			return "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + header +
				"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		}
	}
	const seal, events = "X-Seal: seal\r\n", "Content-Type: text/event-stream\r\n"
	unframed := func(head, body string) func(r *http.Request) string {
		return func(r *http.Request) string {
			return "HTTP/1.1 " + head + "\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n\r\n" + body
		}
	}
	return map[string]func(r *http.Request) string{
		"error":                          plain(500, seal, "oops"),
		"error with events":              plain(500, seal+events, "data: oops\n\n"),
		"error without a seal":           plain(502, "", "oops"),
		"refusal":                        plain(503, "X-Not-Run: full\r\n", "oops"),
		"refusal of the group":           plain(503, "X-Not-Run: stalled\r\nX-At: s\r\n", "oops"),
		"busy":                           plain(429, seal, "oops"),
		"not this server":                plain(421, "", "oops"),
		"not found":                      plain(404, seal, "oops"),
		"bad request with events":        plain(400, seal+events, "data: oops\n\n"),
		"redirect":                       plain(302, seal+"Location: /oops\r\n", "oops"),
		"no content":                     plain(204, seal, ""),
		"part":                           plain(206, seal+events, "data: oops\n\n"),
		"success that is no stream":      plain(200, seal+"Content-Type: text/plain\r\n", "oops"),
		"stream without a seal":          plain(200, events, "data: oops\n\n"),
		"encoded stream":                 plain(200, seal+events+"Content-Encoding: gzip\r\n", "data: oops\n\n"),
		"stream that ends in an event":   plain(200, seal+events, "data: oops\n"),
		"head as the body of a stream":   plain(200, seal+events, "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops"[:20]),
		"stream that breaks off":         func(r *http.Request) string { return streamHead(r) + "9\r\ndata: oo" },
		"error without a length":         unframed("500 X\r\n"+strings.TrimSuffix(seal, "\r\n"), "oops"),
		"empty stream without a length":  unframed("200 OK\r\nX-Seal: seal\r\nContent-Type: text/event-stream", ""),
		"stream cut without a length":    unframed("200 OK\r\nX-Seal: seal\r\nContent-Type: text/event-stream", "data: oops"),
		"bytes that are no answer":       func(*http.Request) string { return "oops\r\n\r\noops\n\n" },
		"head that breaks off":           func(*http.Request) string { return "HTTP/1.1 500 X\r\nX-Id: " },
		"nothing":                        func(*http.Request) string { return "" },
		"answer to another request":      func(*http.Request) string { return "HTTP/1.1 500 X\r\nX-Id: other\r\nContent-Length: 4\r\n\r\noops" },
		"error, then more on the stream": func(r *http.Request) string { return plain(500, seal, "oops")(r) + event(2) },
	}
}

// A stream has begun and breaks off, or falls silent. Whatever the next server answers, its caller gets the
// next events or a broken stream: no text of an error, no head, and no regular end.
func TestStreamGoesOnOrBreaksWhateverNextServerAnswers(t *testing.T) {
	const begun, rest = "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	for name, broken := range brokenResumptions() {
		for end, setUp := range map[string]struct{ silent, sound bool }{
			"broken off, no other server":        {false, false},
			"broken off, a third server goes on": {false, true},
			"silent, no other server":            {true, false},
			"silent, a third server goes on":     {true, true},
		} {
			sound := setUp.sound
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				tg := newTestGateway(t)
				tg.setRoutes(func(r *fleet.Route) { r.MaxAttempts, r.Timeout = 3, pauseTestTimeout })
				first := tg.server(func(c *conn) {
					c.write(streamHead(c.request()) + event(1))
					if setUp.silent {
						time.Sleep(3 * silenceTimeout)
					}
					c.reset()
				})
				if setUp.silent {
					tg.keepActive()
				}
				second := tg.server(func(c *conn) {
					r := c.request()
					if r == nil {
						return
					}
					c.write(broken(r))
				})
				order := []string{first, second}
				if sound {
					order = append(order, tg.server(func(c *conn) {
						if r := c.request(); r != nil {
							require.Equal(t, "1", r.Header.Get("Last-Event-Id"))
							c.write(streamHead(r) + event(2) + event(3) + "0\r\n\r\n")
						}
					}))
				}
				tg.preferInOrder(order...)
				status, body, _ := tg.call("/stream/")
				require.Equal(t, http.StatusOK, status)
				switch {
				case strings.HasSuffix(body, " CUT"):
					require.Equal(t, begun+" CUT", body)
					require.False(t, sound, "the third server was not asked")
				default:
					require.True(t, sound, "a broken stream ended as complete: %q", body)
					require.Equal(t, begun+rest, body)
				}
			})
		}
	}
}
