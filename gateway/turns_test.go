package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server whose health answers are good and that fails all work is left alone
// after a few requests, and nobody asks for its health: what counts is the
// results of requests.
func TestHealthIsJudgedByResults(t *testing.T) {
	w := newWorld(t)
	var failed, asked atomic.Int64
	w.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			if strings.HasPrefix(r.URL.Path, "/health") {
				asked.Add(1)
				c.write(answer(r, http.StatusOK, "well"))
				continue
			}
			failed.Add(1)
			c.write(answer(r, http.StatusInternalServerError, "failed"))
		}
	})
	w.server(serve("ok"))
	w.server(serve("ok"))
	for i := range 60 {
		status, body, _ := w.call(fmt.Sprint("/again/", i))
		require.Equal(t, http.StatusOK, status, body)
	}
	require.Zero(t, asked.Load())
	const requests, servers = 60, 3
	require.Less(t, failed.Load(), int64(requests/servers/2), "half of its share at most")
}

// A server that goes down and up by turns costs no caller an answer, also where
// a request may not repeat: a connection that does not open has carried none.
func TestServerDownAndUpByTurns(t *testing.T) {
	w := newWorld(t)
	var down atomic.Bool
	var arrivals atomic.Int64
	w.server(func(c *conn) {
		if down.Load() {
			c.reset()
			return
		}
		for r := c.request(); r != nil; r = c.request() {
			arrivals.Add(1)
			c.write(answer(r, http.StatusOK, "flapping"))
		}
	})
	w.server(serve("steady"))
	for turn := range 4 {
		down.Store(turn%2 == 1)
		before := arrivals.Load()
		for i := range 10 {
			status, body, _ := w.call(fmt.Sprint("/again/", turn, "/", i))
			require.Equal(t, http.StatusOK, status, body)
		}
		if turn == 2 { // it is tried again once its ejection is over
			require.Eventually(t, func() bool {
				w.call("/again/more")
				return arrivals.Load() > before
			}, 2*ejectLongest, 50*time.Millisecond)
		}
	}
}

// Where every server fails part of its work, callers get what the servers say
// and are not refused.
func TestAllServersAil(t *testing.T) {
	w := newWorld(t)
	for range 2 {
		var n atomic.Int64
		w.server(func(c *conn) {
			for r := c.request(); r != nil; r = c.request() {
				if n.Add(1)%16 != 0 {
					c.write(answer(r, http.StatusInternalServerError, "failed"))
					continue
				}
				c.write(answer(r, http.StatusOK, "ok"))
			}
		})
	}
	for i := range 80 {
		status, _, _ := w.call(fmt.Sprint("/again/", i))
		require.Contains(t, []int{http.StatusOK, http.StatusInternalServerError}, status)
	}
}
