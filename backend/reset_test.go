package backend

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// awaitReset waits until the kernel has closed a connection because of a reset.
func awaitReset(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		var info *unix.TCPInfo
		var infoErr error
		err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		return err == nil && infoErr == nil && info.State == unix.BPF_TCP_CLOSE
	}, 10*time.Second, time.Millisecond)
}

// serveOnce passes the first connection to serve and returns the address to dial.
func serveOnce(t *testing.T, serve func(c *net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		if c, err := ln.Accept(); err == nil {
			serve(c.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	c.SetLinger(0) //nolint:errcheck // the connection is closed next
	c.Close()
}

// unframedHead is the head of an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"

// An answer without a length whose connection is reset while the silence of the server is
// judged, as after a pause of this process, is broken off and not complete.
func TestResetDuringJudgementOfSilenceIsNoRegularEnd(t *testing.T) {
	cut := make(chan struct{})
	address := serveOnce(t, func(c *net.TCPConn) {
		c.Read(make([]byte, 4096))
		io.WriteString(c, unframedHead+"data: 1\n\n")
		<-cut
		reset(c)
	})
	start := time.Now()
	pool := NewPool(func() time.Duration { return time.Since(start) })
	resp, err := pool.Do(t.Context(), address, &Request{Method: http.MethodGet, URI: "/", Host: "h", IDHeader: "X-Id", ID: "1"})
	require.NoError(t, err)
	defer resp.Abort()
	resp.WatchSilence(time.Millisecond, func(func()) bool {
		close(cut)
		awaitReset(t, resp.conn.TCP())
		return true
	})
	body, err := io.ReadAll(resp.Body)
	require.Equal(t, "data: 1\n\n", string(body))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// longRequest is a request that is still being sent as its answer arrives.
func longRequest() *Request {
	return &Request{Method: http.MethodPost, URI: "/", Host: "h", IDHeader: "X-Id", ID: "1", Body: make([]byte, 32<<20)}
}

// An answer without a length that is reset while the rest of a long request is being sent
// is broken off and not complete, although the kernel reports the reset to the sending.
func TestResetDuringSendingIsNoRegularEnd(t *testing.T) {
	for range 20 {
		cut := make(chan struct{})
		address := serveOnce(t, func(c *net.TCPConn) {
			c.Read(make([]byte, 4096))
			io.WriteString(c, unframedHead+"half")
			<-cut
			reset(c)
		})
		pool := NewPool(func() time.Duration { return 0 })
		resp, err := pool.Do(t.Context(), address, longRequest())
		require.NoError(t, err)
		close(cut)
		<-resp.reader.body.done
		body, err := io.ReadAll(resp.Body)
		require.Equal(t, "half", string(body))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		resp.Abort()
	}
}

// A server that has closed the connection after its answer has answered completely, also if
// it resets the connection afterwards because it does not read the rest of the request.
func TestResetAfterRegularEndLeavesAnswerWhole(t *testing.T) {
	for range 20 {
		address := serveOnce(t, func(c *net.TCPConn) {
			c.Read(make([]byte, 4096))
			io.WriteString(c, unframedHead+"whole")
			c.CloseWrite()
			time.Sleep(time.Millisecond)
			reset(c)
		})
		pool := NewPool(func() time.Duration { return 0 })
		resp, err := pool.Do(t.Context(), address, longRequest())
		require.NoError(t, err)
		<-resp.reader.body.done
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
		resp.Abort()
	}
}
