package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// chunk returns one chunk of a body.
func chunk(s string) string { return strconv.FormatInt(int64(len(s)), 16) + "\r\n" + s + "\r\n" }

// A server that sends bytes, but no whole event, is silent; so is one that sends
// comments only.
func TestStreamThatTricklesGoesOnAtAnotherServer(t *testing.T) {
	for name, bytes := range map[string]string{"parts of an event": "x", "comments": ": ping\n\n", "empty lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			first := tg.server(func(c *conn) {
				c.write(streamHead(c.request()) + event(1))
				for range 100 {
					time.Sleep(silenceTimeout / 10)
					if _, err := c.Write([]byte(chunk(bytes))); err != nil {
						return
					}
				}
			})
			next := tg.server(func(c *conn) {
				r := c.request()
				if r.Header.Get("Last-Event-Id") == "1" {
					c.write(streamHead(r) + event(2) + "0\r\n\r\n")
				}
			})
			tg.preferInOrder(first, next)
			tg.keepActive()
			status, body, _ := tg.call("/stream/")
			require.Equal(t, http.StatusOK, status)
			require.NotContains(t, body, "CUT")
			require.Contains(t, body, "id: 2\ndata: x\n\n")
		})
	}
}

// Whole events that come slowly, piece by piece, keep their stream where it is.
func TestSlowStreamOfWholeEventsIsNotCut(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	slow := tg.server(func(c *conn) {
		c.write(streamHead(c.request()) + event(0))
		for id := 1; id <= 4; id++ {
			for _, piece := range []string{"id: " + strconv.Itoa(id), "\nda", "ta: x\n", "\n"} {
				time.Sleep(silenceTimeout / 6)
				c.write(chunk(piece))
			}
		}
		c.write("0\r\n\r\n")
	})
	tg.preferInOrder(slow, tg.server(resetRequest))
	tg.keepActive()
	status, body, _ := tg.call("/stream/")
	require.Equal(t, http.StatusOK, status)
	require.NotContains(t, body, "CUT")
	require.Contains(t, body, "id: 4\ndata: x\n\n")
}

func TestHasEvent(t *testing.T) {
	for chunk, want := range map[string]bool{
		"data: x\n\n": true, ": c\n\n": false, ": c\r\n\r\n": false, "\n\n": false, ": c\n\nid: 1\n\n": true, ": c\ndata: x\n\n": true,
	} {
		require.Equal(t, want, hasEvent([]byte(chunk)), "%q", chunk)
	}
}
