package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
)

// A server that passes health checks but fails every request is ejected after a
// few requests. The gateway makes no health checks; only the results of requests count.
func TestEjectionByResultsOnly(t *testing.T) {
	tg := newTestGateway(t)
	var failed, asked atomic.Int64
	tg.server(func(c *conn) {
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
	tg.server(serve("ok"))
	tg.server(serve("ok"))
	for i := range 60 {
		status, body, _ := tg.call(fmt.Sprint("/again/", i))
		require.Equal(t, http.StatusOK, status, body)
	}
	require.Zero(t, asked.Load())
	const requests, servers = 60, 3
	require.Less(t, failed.Load(), int64(requests/servers/2), "at most half of its share of the requests")
}

// Every caller gets a response while a server alternates between down and up. A
// server that goes down also resets the connections that are kept to it.
func TestFlappingServer(t *testing.T) {
	tg := newTestGateway(t)
	var down atomic.Bool
	var arrivals, resets atomic.Int64
	tg.server(func(c *conn) {
		if down.Load() {
			resets.Add(1)
			c.reset()
			return
		}
		for r := c.request(); r != nil; r = c.request() {
			if down.Load() {
				resets.Add(1)
				c.reset()
				return
			}
			arrivals.Add(1)
			c.write(answer(r, http.StatusOK, "flapping"))
		}
	})
	tg.server(serve("steady"))
	for turn := range 4 {
		down.Store(turn%2 == 1)
		before := arrivals.Load()
		// Servers are chosen at random, so that some requests may all miss the one that is down.
		for i := 0; i < 10 || down.Load() && resets.Load() == 0 && i < 200; i++ {
			status, body, _ := tg.call(fmt.Sprint("/again/", turn, "/", i))
			require.Equal(t, http.StatusOK, status, body)
		}
		if turn == 2 { // it is probed once its ejection is over
			require.Eventually(t, func() bool {
				tg.call("/again/more")
				return arrivals.Load() > before
			}, 2*maxEjection, 50*time.Millisecond)
		}
		if down.Load() {
			require.Positive(t, resets.Swap(0), "turn %d: no request met the server while it was down", turn)
		}
	}
}

// If every server fails part of its requests, callers get the servers' responses
// instead of a refusal.
func TestAllServersFailing(t *testing.T) {
	tg := newTestGateway(t)
	for range 2 {
		var n atomic.Int64
		tg.server(func(c *conn) {
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
		status, _, _ := tg.call(fmt.Sprint("/again/", i))
		require.Contains(t, []int{http.StatusOK, http.StatusInternalServerError}, status)
	}
}

// A stream whose rank sends no response is sent to another rank before the caller
// disconnects, provided that the group is active.
func TestSilentRankBeforeFirstEvent(t *testing.T) {
	tg := newTestGateway(t)
	tg.document(func(d *fleet.Document) {
		d.Version = 2
		for i := range d.Routes {
			d.Routes[i].TargetLatency = 200 * time.Millisecond
		}
	})
	var requests atomic.Int64
	tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			if requests.Add(1) == 1 {
				c.br.ReadByte() // until the gateway resets the connection
				return
			}
			stream(c, r, "s", 1, 3, true)
		}
	})
	tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			if requests.Add(1) == 1 {
				c.br.ReadByte()
				return
			}
			stream(c, r, "s", 1, 3, true)
		}
	})
	tg.keepActive()
	status, body, _ := tg.call("/stream/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, events(1, 3), body)
	require.EqualValues(t, 2, requests.Load())
}

func TestExpiredRequestEjectsNoServer(t *testing.T) {
	tg := newTestGateway(t)
	tg.server(serve("ok"))
	view := tg.cache.View()
	c := &call{
		id: "r", w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/once/x", nil),
		route: &view.Document.Routes[0], view: view, service: tg.g.service("s"), lastEventID: -1,
	}
	c.deadline = tg.g.now() - time.Millisecond
	members := view.Services["s"]
	m := c.service.pick(members, "", nil, tg.g.now(), tg.g.coldPolicy(c))
	require.NotNil(t, m)
	done, _ := tg.g.attempt(context.Background(), c, m)
	require.False(t, done)
	require.NotNil(t, c.service.pick(members, "", nil, tg.g.now(), tg.g.coldPolicy(c)), "the server is ejected")
}
