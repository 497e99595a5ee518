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
	"marjorampitch/internal/idleconn"
	"marjorampitch/internal/pipetest"
)

// pipeCaller is a caller with one connection.
type pipeCaller struct {
	conn   net.Conn
	server *pipetest.SlowConn
	br     *bufio.Reader
	usedAt time.Time // end of the last exchange
}

func dialPipe(l *pipetest.Listener) *pipeCaller {
	client, server := l.Dial()
	return &pipeCaller{conn: client, server: server, br: bufio.NewReader(client)}
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
func serveInBubble(t *testing.T, test func(t *testing.T, tg *testGateway, ln *pipetest.Listener, stop func())) {
	tg := newUnservedGateway(t)
	tg.server(serve("answer"))
	synctest.Test(t, func(t *testing.T) {
		tg.g.start = time.Now()
		tg.setIdleLimit(2, testIdleLimit)
		ctx, cancel := context.WithCancel(context.Background())
		ln := pipetest.NewListener()
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
	serveInBubble(t, func(t *testing.T, _ *testGateway, ln *pipetest.Listener, _ func()) {
		c := dialPipe(ln)
		status, _, err := c.call()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		time.Sleep(testIdleLimit + callerIdleMargin - sweepInterval/2)
		c.server.Stall = 3 * sweepInterval
		status, _, err = c.call()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})
}

func TestRequestReadAsShutdownEndsIsRefused(t *testing.T) {
	serveInBubble(t, func(t *testing.T, _ *testGateway, ln *pipetest.Listener, stop func()) {
		c := dialPipe(ln)
		_, _, err := c.call()
		require.NoError(t, err)
		stop()
		time.Sleep(deregistrationDelay - stopPollInterval)
		c.server.Stall = 5 * stopPollInterval
		status, closed, err := c.call()
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.True(t, closed)
	})
}

func TestIdleConnectionExpires(t *testing.T) {
	serveInBubble(t, func(t *testing.T, _ *testGateway, ln *pipetest.Listener, _ func()) {
		c := dialPipe(ln)
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
	serveInBubble(t, func(t *testing.T, tg *testGateway, ln *pipetest.Listener, _ func()) {
		began := time.Now()
		known := func() time.Duration {
			if time.Since(began) >= loweredAt+learn {
				return lowered
			}
			return testIdleLimit
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		answered, cut := 0, map[string]int{} // the latter by error or status
		for i := range callers {
			rnd := rand.New(rand.NewPCG(uint64(i), 24))
			wg.Go(func() {
				var c *pipeCaller
				for time.Since(began) < end {
					if c != nil && time.Since(c.usedAt) > time.Duration(reuse*float64(known())) {
						c.conn.Close()
						c = nil
					}
					if c == nil {
						c = dialPipe(ln)
					}
					status, _, err := c.call()
					mu.Lock()
					if err != nil || status != http.StatusOK {
						cut[fmt.Sprint(status, " ", err)]++
						c = nil
					} else {
						answered++
					}
					mu.Unlock()
					time.Sleep(time.Duration(rnd.Float64() * reuse * float64(testIdleLimit)))
				}
				if c != nil {
					c.conn.Close()
				}
			})
		}
		time.Sleep(loweredAt)
		tg.setIdleLimit(3, lowered)
		wg.Wait()
		require.Greater(t, answered, callers)
		require.Empty(t, cut, "requests on connections that the callers could use by the limit they knew")
	})
}

func TestFirstIdleLimitCutsNoCaller(t *testing.T) {
	serveInBubble(t, func(t *testing.T, tg *testGateway, ln *pipetest.Listener, _ func()) {
		tg.setIdleLimit(3, 0)
		time.Sleep(time.Minute)
		c := dialPipe(ln)
		_, _, err := c.call()
		require.NoError(t, err)
		time.Sleep(30 * time.Second)
		tg.setIdleLimit(4, 2*time.Second)
		time.Sleep(3 * sweepInterval / 2)
		_, _, err = c.call()
		require.NoError(t, err)
	})
}

// lateListener stalls after it has accepted a connection, as a process without
// processor time does.
type lateListener struct {
	net.Listener
	stall time.Duration
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.stall)
	}
	return c, err
}

func TestConnectionAcceptedAsShutdownEndsIsRefused(t *testing.T) {
	tg := newUnservedGateway(t)
	tg.server(serve("answer"))
	synctest.Test(t, func(t *testing.T) {
		tg.g.start = time.Now()
		tg.setIdleLimit(2, testIdleLimit)
		ctx, stop := context.WithCancel(context.Background())
		ln := pipetest.NewListener()
		served := make(chan error, 1)
		go func() { served <- tg.g.serve(ctx, &lateListener{ln, 10 * stopPollInterval}) }()
		time.Sleep(time.Second)
		stop()
		time.Sleep(deregistrationDelay - 2*stopPollInterval)
		c := dialPipe(ln)
		status, closed, err := c.call()
		<-served
		time.Sleep(time.Minute) // goroutines of connections end
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.True(t, closed)
	})
}

func TestShutdownDoesNotWaitForPartOfAHead(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, c *pipeCaller){
		"new":          func(*testing.T, *pipeCaller) {},
		"idle":         func(t *testing.T, c *pipeCaller) { _, _, err := c.call(); require.NoError(t, err) },
		"partial head": func(_ *testing.T, c *pipeCaller) { io.WriteString(c.conn, "POST /again/ HT") },
		"idle, then partial head": func(t *testing.T, c *pipeCaller) {
			_, _, err := c.call()
			require.NoError(t, err)
			io.WriteString(c.conn, "POST /again/ HT")
		},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newUnservedGateway(t)
			tg.server(serve("answer"))
			synctest.Test(t, func(t *testing.T) {
				tg.g.start = time.Now()
				tg.setIdleLimit(2, testIdleLimit)
				ctx, stop := context.WithCancel(context.Background())
				ln := pipetest.NewListener()
				served := make(chan error, 1)
				go func() { served <- tg.g.serve(ctx, ln) }()
				for range 20 {
					c := dialPipe(ln)
					prepare(t, c)
					go io.Copy(io.Discard, c.br)
				}
				time.Sleep(time.Second)
				began := time.Now()
				stop()
				require.NoError(t, <-served)
				took := time.Since(began)
				time.Sleep(time.Minute) // goroutines of connections end
				require.Less(t, took, deregistrationDelay+idleconn.HeadTimeout)
			})
		})
	}
}

func TestAnswerBeingWrittenAsShutdownEndsIsDelivered(t *testing.T) {
	serveInBubble(t, func(t *testing.T, _ *testGateway, ln *pipetest.Listener, stop func()) {
		c := dialPipe(ln)
		_, err := fmt.Fprintf(c.conn, "POST /again/ HTTP/1.1\r\nHost: h\r\nX-Id: %x\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n", nextID.Add(1))
		require.NoError(t, err)
		stop()
		time.Sleep(deregistrationDelay + 10*stopPollInterval)
		resp, err := http.ReadResponse(c.br, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "answer", string(body))
	})
}

// The document's time for the head of a request holds for callers that send it slowly.
func TestHeaderTimeoutIsTheDocuments(t *testing.T) {
	serveInBubble(t, func(t *testing.T, tg *testGateway, ln *pipetest.Listener, _ func()) {
		const limit = 15 * time.Second
		tg.document(func(d *fleet.Document) {
			d.Version = 3
			d.Limits.IdleTimeout = testIdleLimit
			d.Limits.HeaderTimeout = limit
		})
		send := func(c *pipeCaller, pause time.Duration) (int, error) {
			io.WriteString(c.conn, "POST /again/ HTTP/1.1\r\nHost: h\r\n")
			time.Sleep(pause)
			fmt.Fprintf(c.conn, "X-Id: %x\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n", nextID.Add(1))
			resp, err := http.ReadResponse(c.br, nil)
			if err != nil {
				return 0, err
			}
			return resp.StatusCode, nil
		}
		status, err := send(dialPipe(ln), limit-time.Millisecond)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		_, err = send(dialPipe(ln), limit+3*sweepInterval)
		require.Error(t, err)
	})
}
