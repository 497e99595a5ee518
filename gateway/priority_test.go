package gateway

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
	"marjorampitch/pace"
)

// prioritize gives the streams of the test document two priorities.
func prioritize(d *fleet.Document) {
	d.Organisations[0].Priority = -1
	for i := range d.Routes {
		if d.Routes[i].Name == "fixed" {
			d.Routes[i].Priority = 1
		}
	}
}

// Servers get the priority of streams of a service that has several, never a caller's.
func TestServersGetPriority(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.g.opts.Headers.Priority = "X-Priority"
	tg.g.opts.Headers.Reserved = append([]string{"X-Priority"}, tg.g.opts.Headers.Reserved...)
	got := make(chan string, 1)
	tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			got <- r.Header.Get("X-Priority")
			if r.URL.Path == "/once/" {
				c.write(answer(r, http.StatusOK, "done"))
			} else {
				c.write(streamHead(r) + event(1) + "0\r\n\r\n")
			}
		}
	})
	sent := func(path string) string {
		status, _, _ := tg.call(path, "X-Priority", "7")
		require.Equal(t, http.StatusOK, status)
		return <-got
	}
	require.Empty(t, sent("/stream/"), "all streams have one priority")
	tg.document(func(d *fleet.Document) { d.Version = 2; prioritize(d) })
	require.Equal(t, "0", sent("/stream/"))
	require.Equal(t, "1", sent("/fixed/"))
	require.Empty(t, sent("/once/"), "not a stream")
}

// A waiting request that is displaced is refused at once, to return later, and is not
// sent to a server.
func TestDisplacedRequestIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.server(serve("unused"))
	tg.document(func(d *fleet.Document) {
		d.Version = 2
		prioritize(d)
		for i := range d.Routes {
			d.Routes[i].TargetLatency = 20 * time.Second // a request may wait for half of it
			d.Routes[i].Timeout = time.Minute
		}
	})
	s, view := tg.g.service("s"), tg.cache.View()
	gate := tg.g.gate(s, view, view.Document.Match("h", "/stream/"))
	fill(s, gate, tg.g.now())
	type refusal struct {
		status int
		body   string
		header http.Header
	}
	refused := make(chan refusal, 1)
	go func() {
		status, body, h := tg.call("/fixed/")
		refused <- refusal{status, body, h}
	}()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return gate.Waiting() == 1 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var r refusal
	require.Eventually(t, func() bool {
		go sendUrgent(ctx, tg)
		select {
		case r = <-refused:
			return true
		default:
			return false
		}
	}, 8*time.Second, 5*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Contains(t, r.body, "displaced", "refused before its wait has ended")
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, after)
}

// sendUrgent sends a stream of the highest priority, which ends with ctx at the latest.
func sendUrgent(ctx context.Context, tg *testGateway) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, tg.front.URL+"/stream/", nil)
	if err != nil {
		return
	}
	r.Host = "h"
	r.Header.Set("X-Key", "key")
	if resp, err := http.DefaultClient.Do(r); err == nil {
		resp.Body.Close()
	}
}

// fill admits streams until the gate has no capacity left.
func fill(s *service, gate *pace.Gate, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate.SetPrioritized(true)
	for {
		t := &pace.Ticket{Objective: 20 * time.Second, Priority: 1}
		if gate.AdmitOrQueue(now, t); !t.Admitted() {
			gate.Cancel(t)
			return
		}
	}
}
