package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// resting turns every request away with this Retry-After and counts them.
func resting(retryAfter string, arrived *atomic.Int64) func(c *conn) {
	return func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			arrived.Add(1)
			c.write("HTTP/1.1 503 X\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Not-Run: 1\r\nRetry-After: " + retryAfter +
				"\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func TestServerThatAsksForRestGetsNoRequests(t *testing.T) {
	tg := newTestGateway(t)
	var arrived atomic.Int64
	tg.server(resting("30", &arrived))
	tg.server(serve("ok"))
	for _, path := range []string{"/again/x", "/once/x", "/stream/x"} {
		for range 20 {
			status, _, _ := tg.call(path)
			assert.Equal(t, http.StatusOK, status)
		}
	}
	require.LessOrEqual(t, arrived.Load(), int64(1), "requests to a server that has asked for rest with its first answer")
}
