package sockopt

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// resetConnection returns a connection that its peer has reset after it sent data. The
// reset has arrived.
func resetConnection(t *testing.T, data string) *net.TCPConn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	peer, err := ln.Accept()
	require.NoError(t, err)
	_, err = peer.Write([]byte(data))
	require.NoError(t, err)
	require.NoError(t, peer.(*net.TCPConn).SetLinger(0))
	require.NoError(t, peer.Close())
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		var info *unix.TCPInfo
		var infoErr error
		err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		return err == nil && infoErr == nil && info.State == unix.BPF_TCP_CLOSE
	}, 10*time.Second, time.Millisecond)
	return c.(*net.TCPConn)
}

// A look at a connection that was reset leaves the reset to its reader, which otherwise
// takes a stream that was cut off for one that has ended.
func TestLookLeavesResetToReader(t *testing.T) {
	for name, look := range map[string]func(syscall.Conn) bool{"CanReuse": CanReuse, "HasUnread": HasUnread} {
		t.Run(name, func(t *testing.T) {
			c := resetConnection(t, "")
			require.False(t, look(c))
			n, err := c.Read(make([]byte, 8))
			require.Zero(t, n)
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// Bytes that arrived before a reset are seen, and left to the reader.
func TestLookAtBytesBeforeReset(t *testing.T) {
	c := resetConnection(t, "data")
	require.True(t, HasUnread(c))
	require.False(t, CanReuse(c))
	b := make([]byte, 8)
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "data", string(b[:n]))
	_, err = c.Read(b)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
