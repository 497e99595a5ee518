package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
	"marjorampitch/fleet"
	"marjorampitch/internal/callerconn"
)

// smallSocket is the size of the socket buffers of callers and servers, in bytes.
const smallSocket = 4 << 10

// listenSmall listens for connections whose sockets hold little.
func listenSmall(t *testing.T) net.Listener {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, smallSocket)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallSocket)
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return ln
}

// slowCaller is a caller that reads only when the test does.
type slowCaller struct {
	*net.TCPConn
	t  *testing.T
	br *bufio.Reader
}

// dialSlow connects a caller that sends a request for path.
func dialSlow(t *testing.T, ln net.Listener, path string) *slowCaller {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallSocket)
		})
	}}
	conn, err := d.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %x\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n", path, nextID.Add(1))
	return &slowCaller{conn.(*net.TCPConn), t, bufio.NewReader(conn)}
}

// readAll reads the answer to its end.
func (c *slowCaller) readAll() (body string, err error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// bigEvents returns events with these ids in chunks, of about 1 KiB each.
func bigEvents(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 1<<10))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
	}
	return b.String()
}

// limitBuffers sets the bytes that the gateway may hold, in total and for one caller.
func (tg *testGateway) limitBuffers(limit, perHolder int64) {
	onCut := tg.g.callers.OnCut
	tg.g.callers = callerconn.New(admit.NewConnBudget(admit.ConnLimits{Bytes: limit, UnreadPerConn: perHolder}), tg.g.now)
	tg.g.callers.OnCut = onCut
}

// The caller reads only after the server has sent all of its stream, which is far more
// than the sockets on the way hold.
func TestSlowCallerDoesNotHoldUpServer(t *testing.T) {
	for _, path := range []string{"/stream/", "/fixed/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			const last = 4000
			tg := newUnservedGateway(t)
			tg.document(allowTime)
			sent := make(chan struct{})
			tg.server(func(c *conn) {
				r := c.request()
				c.write(streamHead(r) + bigEvents(1, last) + "0\r\n\r\n")
				close(sent)
			})
			ln := listenSmall(t)
			tg.serveOn(ln)
			caller := dialSlow(t, ln, path)
			<-sent
			body, err := caller.readAll()
			require.NoError(t, err)
			require.Equal(t, last, strings.Count(body, "id: "))
			require.Contains(t, body, fmt.Sprintf("id: %d\n", last))
		})
	}
}

// The budget is used up by callers that read nothing. Those that read, however slowly,
// get their whole streams; those that read nothing are cut off, and not as if at an end.
func TestStalledCallersGiveWayToSlowOnes(t *testing.T) {
	t.Parallel()
	const last, stalled, slow = 400, 4, 4
	tg := newUnservedGateway(t)
	tg.limitBuffers(1<<20, 512<<10)
	tg.document(func(d *fleet.Document) {
		d.Version = 2
		for i := range d.Routes {
			d.Routes[i].Timeout = time.Minute
		}
	})
	tg.server(func(c *conn) {
		c.Conn.(*net.TCPConn).SetWriteBuffer(smallSocket)
		r := c.request()
		c.write(streamHead(r) + bigEvents(1, last) + "0\r\n\r\n")
	})
	ln := listenSmall(t)
	tg.serveOn(ln)
	var idle []*slowCaller
	for range stalled {
		idle = append(idle, dialSlow(t, ln, "/fixed/"))
	}
	require.Eventually(t, func() bool { used, _ := tg.g.callers.Used(); return used > 900<<10 }, 10*time.Second, time.Millisecond)
	results := make(chan string, slow)
	for range slow {
		c := dialSlow(t, ln, "/fixed/")
		go func() {
			c.br = bufio.NewReaderSize(c, 16) // reads byte by byte, as far as the sockets show it
			body, err := c.readSlowly(admit.Stall + time.Second)
			results <- fmt.Sprint(strings.Count(body, "id: "), err)
		}()
	}
	for range slow {
		require.Equal(t, fmt.Sprint(last, nil), <-results)
	}
	cut := 0
	for _, c := range idle {
		if _, err := c.readAll(); err != nil {
			cut++
		}
	}
	require.Positive(t, cut, "no caller was cut off")
	used, _ := tg.g.callers.Used()
	require.LessOrEqual(t, used, int64(1<<20))
}

// readSlowly reads the answer to its end, over about the time given.
func (c *slowCaller) readSlowly(over time.Duration) (body string, err error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return "", err
	}
	const pieces = 200
	var b strings.Builder
	for {
		n, err := io.CopyN(&b, resp.Body, 420<<10/pieces)
		if err == io.EOF {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), fmt.Errorf("after %d more bytes: %w", n, err)
		}
		time.Sleep(over / pieces)
	}
}

// A caller that leaves ends the server's work, whether the gateway holds a part of the
// stream or waits for the caller.
func TestSlowCallerThatLeavesEndsServersWork(t *testing.T) {
	for name, limit := range map[string]int64{"held": 64 << 20, "waiting": 8 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tg := newUnservedGateway(t)
			tg.limitBuffers(limit, limit)
			written, left := make(chan struct{}), make(chan struct{})
			tg.server(func(c *conn) {
				r := c.request()
				c.write(streamHead(r) + bigEvents(1, 200)[:150<<10])
				close(written)
				for {
					if _, err := io.WriteString(c.Conn, event(1000)); err != nil {
						close(left)
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
			ln := listenSmall(t)
			tg.serveOn(ln)
			caller := dialSlow(t, ln, "/fixed/")
			<-written
			caller.Close()
			select {
			case <-left:
			case <-time.After(10 * time.Second):
				require.Fail(t, "the server still works")
			}
			require.Eventually(t, func() bool { used, n := tg.g.callers.Used(); return used == 0 && n == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

// The process stops while a caller has yet to read an answer that is complete.
func TestShutdownDeliversWhatIsHeld(t *testing.T) {
	t.Parallel()
	const last = 300
	tg := newUnservedGateway(t)
	sent := make(chan struct{})
	tg.server(func(c *conn) {
		c.write(streamHead(c.request()) + bigEvents(1, last) + "0\r\n\r\n")
		close(sent)
	})
	ln := listenSmall(t)
	stop, stopped := tg.serveOn(ln)
	caller := dialSlow(t, ln, "/fixed/")
	<-sent
	stop()
	require.Eventually(t, tg.g.inFlight.none, 10*time.Second, time.Millisecond)
	select {
	case <-stopped:
		require.Fail(t, "stopped with an answer undelivered")
	case <-time.After(deregistrationDelay + 10*stopPollInterval):
	}
	body, err := caller.readAll()
	require.NoError(t, err)
	require.Equal(t, last, strings.Count(body, "id: "))
	caller.Close()
	require.NoError(t, <-stopped)
}
