package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
)

// pipeListener is a listener whose connections are in-memory pipes, so that tests
// run in virtual time.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// slowConn is the gateway's end of a connection. Its process may stall after it has
// read data from the socket, before the data is handled.
type slowConn struct {
	net.Conn
	stall time.Duration
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.stall)
	}
	return n, err
}

// pipeCaller is a caller with one connection.
type pipeCaller struct {
	conn   net.Conn
	server *slowConn
	br     *bufio.Reader
	usedAt time.Time // end of the last exchange
}

func (l *pipeListener) dial() *pipeCaller {
	client, server := net.Pipe()
	c := &pipeCaller{conn: client, server: &slowConn{Conn: server}, br: bufio.NewReader(client)}
	l.conns <- c.server
	return c
}

// call sends a request and returns the status and Connection: close of its answer.
// The error means that the connection ended without a complete one.
func (c *pipeCaller) call() (status int, closed bool, err error) {
	if _, err := fmt.Fprintf(c.conn, "POST /again/ HTTP/1.1\r\nHost: h\r\nX-Id: %x\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n", nextID.Add(1)); err != nil {
		return 0, true, err
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, true, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, true, err
	}
	c.usedAt = time.Now()
	return resp.StatusCode, resp.Close, nil
}

const testIdleLimit = 20 * time.Second

// serveInBubble runs test in virtual time against a gateway with one backend server.
// stop begins the shutdown of the gateway; it returns at once.
func serveInBubble(t *testing.T, test func(t *testing.T, tg *testGateway, ln *pipeListener, stop func())) {
	tg := newUnservedGateway(t)
	tg.server(serve("answer"))
	synctest.Test(t, func(t *testing.T) {
		tg.g.start = time.Now()
		tg.setIdleLimit(2, testIdleLimit)
		ctx, cancel := context.WithCancel(context.Background())
		ln := newPipeListener()
		served := make(chan error, 1)
		go func() { served <- tg.g.serve(ctx, ln) }()
		defer func() {
			cancel()
			<-served
			time.Sleep(time.Minute) // goroutines of connections end
		}()
		test(t, tg, ln, cancel)
	})
}

func (tg *testGateway) setIdleLimit(version int64, limit time.Duration) {
	tg.document(func(d *fleet.Document) {
		d.Version = version
		d.Limits.IdleTimeout = limit
	})
}

func TestRequestReadAsIdleConnectionExpiresIsAnswered(t *testing.T) {
	serveInBubble(t, func(t *testing.T, _ *testGateway, ln *pipeListener, _ func()) {
		c := ln.dial()
		status, _, err := c.call()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		time.Sleep(testIdleLimit + callerIdleMargin - sweepInterval/2)
		c.server.stall = 3 * sweepInterval
		status, _, err = c.call()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})
}

func TestRequestReadAsShutdownEndsIsRefused(t *testing.T) {
	serveInBubble(t, func(t *testing.T, _ *testGateway, ln *pipeListener, stop func()) {
		c := ln.dial()
		_, _, err := c.call()
		require.NoError(t, err)
		stop()
		time.Sleep(deregistrationDelay - stopPollInterval)
		c.server.stall = 5 * stopPollInterval
		status, closed, err := c.call()
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.True(t, closed)
	})
}

func TestIdleConnectionExpires(t *testing.T) {
	serveInBubble(t, func(t *testing.T, _ *testGateway, ln *pipeListener, _ func()) {
		c := ln.dial()
		_, _, err := c.call()
		require.NoError(t, err)
		time.Sleep(testIdleLimit + callerIdleMargin + 2*sweepInterval)
		_, err = c.br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

// 200 callers reuse a connection that was idle for up to four fifths of the limit that
// they know. They learn of a lower one 3 s after the gateway.
func TestLoweredIdleLimitCutsNoCaller(t *testing.T) {
	const (
		callers   = 200
		reuse     = 0.8
		learn     = 3 * time.Second
		lowered   = 2 * time.Second
		loweredAt = 60 * time.Second
		end       = 100 * time.Second
	)
	serveInBubble(t, func(t *testing.T, tg *testGateway, ln *pipeListener, _ func()) {
		began := time.Now()
		known := func() time.Duration {
			if time.Since(began) >= loweredAt+learn {
				return lowered
			}
			return testIdleLimit
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		answered, cut := 0, 0
		for i := range callers {
			rnd := rand.New(rand.NewPCG(uint64(i), 24))
			wg.Go(func() {
				c := ln.dial()
				for time.Since(began) < end {
					if !c.usedAt.IsZero() && time.Since(c.usedAt) > time.Duration(reuse*float64(known())) {
						c.conn.Close()
						c = ln.dial()
					}
					status, _, err := c.call()
					mu.Lock()
					if err != nil || status != http.StatusOK {
						cut++
						c = nil
					} else {
						answered++
					}
					mu.Unlock()
					if c == nil {
						c = ln.dial()
					}
					time.Sleep(time.Duration(rnd.Float64() * reuse * float64(testIdleLimit)))
				}
				c.conn.Close()
			})
		}
		time.Sleep(loweredAt)
		tg.setIdleLimit(3, lowered)
		wg.Wait()
		require.Greater(t, answered, callers)
		require.Zero(t, cut, "requests on connections that the callers could use by the limit they knew")
	})
}
