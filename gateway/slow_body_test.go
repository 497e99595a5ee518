package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
	"marjorampitch/fleet"
	"marjorampitch/internal/callerconn"
)

// longBody is more than the sockets between the gateway and a server hold.
var longBody = strings.Repeat("0123456789abcdef", 4<<20/16)

// post sends a request with a body.
func (tg *testGateway) post(path, body string) (status int, answer string) {
	r, err := http.NewRequest(http.MethodPost, tg.front.URL+path, strings.NewReader(body))
	require.NoError(tg.t, err)
	r.Host = "h"
	r.Header.Set("X-Id", fmt.Sprintf("%x", nextID.Add(1)))
	r.Header.Set("X-Key", "key")
	resp, err := http.DefaultClient.Do(r)
	require.NoError(tg.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(tg.t, err)
	return resp.StatusCode, string(data)
}

// head reads the head of a request; its body is left on the connection.
func (c *conn) head() *http.Request {
	r, err := http.ReadRequest(c.br)
	if err != nil {
		return nil
	}
	return r
}

// The server reads nothing for longer than a connection whose sent bytes are not
// acknowledged stays open, and for longer than a stream's first event may take.
func TestServerThatReadsSlowlyGetsWholeBody(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			tg.document(func(d *fleet.Document) {
				allowTime(d)
				for i := range d.Routes {
					d.Routes[i].TargetLatency = 300 * time.Millisecond
				}
			})
			var arrivals, got atomic.Int64
			slow := tg.server(func(c *conn) {
				c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
				r := c.head()
				arrivals.Add(1)
				time.Sleep(2500 * time.Millisecond)
				n, _ := io.Copy(io.Discard, r.Body)
				got.Store(n)
				c.write(answer(r, http.StatusOK, "answer"))
			})
			tg.preferInOrder(slow, tg.server(serve("other")))
			tg.keepActive()
			status, body := tg.post(path, longBody)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "answer", body)
			require.EqualValues(t, 1, arrivals.Load())
			require.EqualValues(t, len(longBody), got.Load())
		})
	}
}

// The kernel takes the whole body at once, but the server has not got it while its window is
// shut: that is no silence of the server.
func TestServerThatReadsSlowlyGetsBodyThatKernelHolds(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.document(allowTime)
	tg.setRoutes(func(r *fleet.Route) { r.TargetLatency, r.MaxAttempts = 300*time.Millisecond, 3 })
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var got atomic.Int64
	slow := tg.serverOn(ln, func(c *conn) {
		r := c.head()
		time.Sleep(2500 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r.Body)
		got.Store(n)
		c.write(answer(r, http.StatusOK, "answer"))
	})
	var others atomic.Int64
	other := tg.server(func(c *conn) { others.Add(1); serve("other")(c) })
	tg.preferInOrder(slow, other)
	tg.keepActive()
	body := longBody[:256<<10]
	status, answer := tg.post("/stream/", body)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "answer", answer)
	require.EqualValues(t, len(body), got.Load())
	require.Zero(t, others.Load(), "the request was sent to another server")
}

// The server answers before it has read the body, and reads on once its answer has been
// delivered. What it gets where the rest of the body is due is that, or nothing.
func TestServerThatAnswersBeforeItHasReadBody(t *testing.T) {
	tg := newTestGateway(t)
	delivered, rest := make(chan struct{}), make(chan string, 1)
	var conns atomic.Int64
	tg.server(func(c *conn) {
		if conns.Add(1) > 1 {
			serve("second")(c)
			return
		}
		r := c.head()
		c.write(answer(r, http.StatusOK, "first"))
		<-delivered
		data, _ := io.ReadAll(c.br)
		rest <- string(data)
	})
	status, body := tg.post("/again/", longBody)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "first", body)
	status, body = tg.post("/again/", "short")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "second", body)
	close(delivered)
	require.True(t, strings.HasPrefix(longBody, <-rest), "other bytes than the body's")
}

// A caller sends its body byte by byte. Its request ends at its time, and has not run.
func TestTrickledBodyEndsAtDeadline(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.document(func(d *fleet.Document) {
		d.Version = 2
		for i := range d.Routes {
			d.Routes[i].Timeout = 500 * time.Millisecond
		}
	})
	var arrivals atomic.Int64
	tg.server(func(c *conn) { arrivals.Add(1); serve("answer")(c) })
	caller, err := net.Dial("tcp", strings.TrimPrefix(tg.front.URL, "http://"))
	require.NoError(t, err)
	defer caller.Close()
	fmt.Fprintf(caller, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: ff\r\nX-Key: key\r\nContent-Length: 1000\r\n\r\n")
	go func() {
		for range 200 {
			if _, err := caller.Write([]byte{'x'}); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Zero(t, arrivals.Load())
	require.Eventually(t, func() bool { used, _ := tg.g.callers.Used(); return used == 0 }, 10*time.Second, time.Millisecond)
}

// A body that is sent slowly, but within the request's time, arrives whole.
func TestSlowBodyWithinDeadlineIsServed(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.document(allowTime)
	tg.server(serve("answer"))
	caller, err := net.Dial("tcp", strings.TrimPrefix(tg.front.URL, "http://"))
	require.NoError(t, err)
	defer caller.Close()
	br := bufio.NewReader(caller)
	for range 2 { // the connection stays usable
		fmt.Fprintf(caller, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: %x\r\nX-Key: key\r\nContent-Length: 20\r\n\r\n", nextID.Add(1))
		for range 20 {
			caller.Write([]byte{'x'})
			time.Sleep(20 * time.Millisecond)
		}
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
	}
}

// A request that cannot be held is refused, and says when to return.
func TestBodyBeyondBuffersIsRefused(t *testing.T) {
	tg := newUnservedGateway(t)
	tg.limitBuffers(64<<10, 64<<10)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tg.serveOn(ln)
	tg.front = &httptest.Server{URL: "http://" + ln.Addr().String()}
	var arrivals atomic.Int64
	tg.server(func(c *conn) { arrivals.Add(1); serve("answer")(c) })
	for _, chunked := range []bool{false, true} {
		var body io.Reader = strings.NewReader(longBody[:100<<10])
		if chunked {
			body = io.MultiReader(body)
		}
		r, err := http.NewRequest(http.MethodPost, tg.front.URL+"/once/", body)
		require.NoError(t, err)
		r.Host = "h"
		r.Header.Set("X-Id", fmt.Sprintf("%x", nextID.Add(1)))
		r.Header.Set("X-Key", "key")
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get(retryAfterHeader))
	}
	require.Zero(t, arrivals.Load())
	status, _ := tg.post("/once/", longBody[:40<<10])
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { used, _ := tg.g.callers.Used(); return used == 0 }, 10*time.Second, time.Millisecond)
}

// An answer waits for room in the buffers; without any its outcome is unknown, not
// "not run".
func TestAnswerBeyondBuffers(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.document(allowTime)
	tg.limitBuffers(256<<10, 256<<10)
	tg.server(serve(longBody[:100<<10]))
	require.True(t, tg.g.callers.Reserve(200<<10))
	time.AfterFunc(responseBufferWait/4, func() { tg.g.callers.Release(200 << 10) })
	status, body := tg.post("/once/", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, longBody[:100<<10], body)
	// The request returns its part after its caller has the answer.
	require.Eventually(t, func() bool { return tg.g.callers.Reserve(200 << 10) }, 10*time.Second, time.Millisecond)
	status, _ = tg.post("/once/", "")
	require.Equal(t, http.StatusBadGateway, status)
}

// Slow callers that make progress keep nobody's request out.
func TestSlowCallersLeaveRoomForBodies(t *testing.T) {
	g := newUnservedGateway(t).g
	g.callers = newCallerConns(g, 10<<20, 0)
	limits := admit.NewConnLimits(10<<20, 0, callerconn.ConnBytes)
	limit := limits.Bytes
	ln := listenSmall(t)
	defer ln.Close()
	for range 2 * limits.Bytes / limits.UnreadPerConn {
		dialSlow(t, ln, "/fixed/")
		conn, err := g.callers.Listener(ln).Accept()
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		go func() {
			for err == nil { // until the connection ends
				_, err = io.WriteString(conn, longBody[:smallSocket])
			}
		}()
	}
	var used int64
	require.Eventually(t, func() bool { // until they hold what they may
		before := used
		used, _ = g.callers.Used()
		return used > limit/4 && used == before
	}, 10*time.Second, 100*time.Millisecond)
	require.True(t, g.callers.Reserve(limit/4), "%d of %d bytes in use", used, limit)
}

// A server is not at fault if there is no room for its answer.
func TestAnswerBeyondBuffersIsNoFailureOfServer(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	tg.document(allowTime)
	tg.limitBuffers(256<<10, 256<<10)
	id := tg.server(serve(longBody[:100<<10]))
	require.True(t, tg.g.callers.Reserve(200<<10))
	status, _ := tg.post("/once/", "")
	require.Equal(t, http.StatusBadGateway, status)
	s := tg.g.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.stateOf(tg.cache.View().Members[id]).failedAt)
}
