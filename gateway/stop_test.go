package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
)

// stopBed is a gateway that is about to stop, with callers on connections of their own.
type stopBed struct {
	*testGateway
	ln      net.Listener
	stop    func()
	stopped <-chan error
}

// newStopBed returns a stopBed with a short grace period and routes without limits of time.
func newStopBed(t *testing.T) *stopBed {
	tg := newUnservedGateway(t)
	tg.g.opts.Settings.Bounds.GracePeriod = deregistrationDelay + 3*time.Second
	tg.document(allowTime)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stop, stopped := tg.serveOn(ln)
	return &stopBed{tg, ln, stop, stopped}
}

// send sends a request on a connection of its own. receive returns its answer; it fails the
// test unless that is complete.
func (b *stopBed) send(path, fields, body string) (receive func() (*http.Response, string)) {
	c, err := net.Dial("tcp", b.ln.Addr().String())
	require.NoError(b.t, err)
	b.t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %x\r\nX-Key: key\r\n%s\r\n%s", path, nextID.Add(1), fields, body)
	require.NoError(b.t, err)
	return func() (*http.Response, string) {
		br := bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil)
		require.NoError(b.t, err, "no answer")
		data, err := io.ReadAll(resp.Body)
		require.NoError(b.t, err)
		return resp, string(data)
	}
}

// A request is underway at a server as the stop ends. Its caller is told that it may have
// run.
func TestRequestUnderwayAsStopEndsIsAnswered(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/", "/fixed/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			b := newStopBed(t)
			arrived := make(chan struct{}, 1)
			b.server(func(c *conn) {
				if c.request() != nil {
					arrived <- struct{}{}
					c.request() // until the gateway closes the connection
				}
			})
			receive := b.send(path, "Content-Length: 0\r\n", "")
			<-arrived
			b.stop()
			resp, body := receive()
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, resp.StatusCode, body)
			require.Empty(t, resp.Header.Get("Retry-After"))
			require.NoError(t, <-b.stopped)
		})
	}
}

// A stream waits for its place as a stop begins, and gets one late in it. It is refused
// before it is passed on.
func TestRequestThatWaitsLateInStopIsRefused(t *testing.T) {
	t.Parallel()
	b := newStopBed(t)
	b.setRoutes(func(r *fleet.Route) { r.TargetLatency = time.Minute })
	var arrived atomic.Int64
	b.server(func(c *conn) {
		for c.request() != nil {
			arrived.Add(1)
		}
	})
	s, view := b.g.service("s"), b.cache.View()
	gate := b.g.gate(s, view, view.Document.Match("h", "/stream/"))
	fill(s, gate, b.g.now())
	receive := b.send("/stream/", "Content-Length: 0\r\n", "")
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.waiters) == 1
	}, time.Minute, time.Millisecond)
	b.stop()
	resp, body := receive()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, body)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
	require.Zero(t, arrived.Load())
	require.NoError(t, <-b.stopped)
}

// A request comes back from a server late in a stop. It is not passed on to another one: its
// caller is told at once, that it has not run only if the server has said so.
func TestRequestIsNotRepeatedLateInStop(t *testing.T) {
	for name, x := range map[string]struct {
		path, answer string
		status       int
	}{
		"broken off":             {"/again/", "", http.StatusBadGateway},
		"stream, broken off":     {"/stream/", "", http.StatusBadGateway},
		"error":                  {"/again/", "HTTP/1.1 500 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway},
		"not executed":           {"/again/", "HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: full\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
		"not executed, once":     {"/once/", "HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: full\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
		"not executed, stream":   {"/stream/", "HTTP/1.1 421 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
		"group of stream stalls": {"/stream/", "HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: x\r\nX-At: s\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStopBed(t)
			var arrived atomic.Int64
			answer := make(chan struct{})
			first := b.server(func(c *conn) {
				for r := c.request(); r != nil; r = c.request() {
					if arrived.Add(1) > 1 {
						return // the repeat
					}
					<-answer
					c.write(strings.Replace(x.answer, "ID", r.Header.Get("X-Id"), 1))
					if x.answer == "" {
						return
					}
				}
			})
			b.preferInOrder(first, b.server(func(c *conn) {
				for c.request() != nil {
					arrived.Add(1)
				}
			}))
			receive := b.send(x.path, "Content-Length: 0\r\n", "")
			require.Eventually(t, func() bool { return arrived.Load() > 0 }, time.Minute, time.Millisecond)
			b.stop()
			require.Eventually(t, func() bool { return b.g.stages.startsEnded.Load() }, time.Minute, time.Millisecond)
			close(answer)
			resp, body := receive()
			require.Equal(t, x.status, resp.StatusCode, body)
			require.Equal(t, x.status == http.StatusServiceUnavailable, resp.Header.Get("Retry-After") != "")
			require.EqualValues(t, 1, arrived.Load())
			require.NoError(t, <-b.stopped)
		})
	}
}

// The body of a request is still arriving as the gateway begins to refuse requests. It is
// refused without the rest.
func TestBodyThatArrivesAsStopRefusesIsRefused(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			b := newStopBed(t)
			var arrived atomic.Int64
			b.server(func(c *conn) {
				for c.request() != nil {
					arrived.Add(1)
				}
			})
			receive := b.send(path, "Content-Length: 10\r\n", "part")
			time.Sleep(50 * time.Millisecond) // the head is read
			b.stop()
			resp, body := receive()
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, body)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.NoError(t, <-b.stopped)
			require.Zero(t, arrived.Load())
		})
	}
}

// A stream that has begun goes on at another server also late in a stop: what its caller has
// got would be lost.
func TestStreamThatHasBegunGoesOnLateInStop(t *testing.T) {
	t.Parallel()
	b := newStopBed(t)
	breakOff, begun := make(chan struct{}), make(chan struct{}, 1)
	first := b.server(func(c *conn) {
		c.write(streamHead(c.request()) + event(1))
		begun <- struct{}{}
		<-breakOff
	})
	b.preferInOrder(first, b.server(func(c *conn) { c.write(streamHead(c.request()) + event(2) + "0\r\n\r\n") }))
	receive := b.send("/stream/", "Content-Length: 0\r\n", "")
	<-begun
	b.stop()
	require.Eventually(t, func() bool { return b.g.stages.startsEnded.Load() }, time.Minute, time.Millisecond)
	close(breakOff)
	_, body := receive()
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
	require.NoError(t, <-b.stopped)
}
