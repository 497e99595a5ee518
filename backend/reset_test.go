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
func awaitReset(t *testing.T, c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
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
		awaitReset(t, resp.conn.Conn)
		return true
	})
	body, err := io.ReadAll(resp.Body)
	require.Equal(t, "data: 1\n\n", string(body))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
