package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
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

// A stream that was sent to a rank that says nothing is sent to another one
// while its caller still waits, if the group goes on; else it waits.
func TestSilentRankBeforeTheFirstEvent(t *testing.T) {
	w := newWorld(t)
	w.document(func(d *fleet.Document) {
		d.Version = 2
		for i := range d.Routes {
			d.Routes[i].TargetLatency = 200 * time.Millisecond
		}
	})
	var silent atomic.Int64
	w.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			if silent.Add(1) == 1 {
				c.br.ReadByte() // until the gateway gives it up
				return
			}
			stream(c, r, "s", 1, 3, true)
		}
	})
	w.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			if silent.Add(1) == 1 {
				c.br.ReadByte()
				return
			}
			stream(c, r, "s", 1, 3, true)
		}
	})
	done := make(chan struct{})
	go func() { // the group goes on
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				w.g.service("s").event(w.g.now(), ungrouped, 20*time.Millisecond)
			}
		}
	}()
	defer close(done)
	status, body, _ := w.call("/stream/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, events(1, 3), body)
	require.EqualValues(t, 2, silent.Load())
}
