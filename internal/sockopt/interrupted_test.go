package sockopt

import (
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A signal that is pending as a connection is looked at says nothing about it. The runtime
// sends itself many to take turns.
func TestSignalsDoNotMakeConnectionsUnusable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	peer, err := ln.Accept()
	require.NoError(t, err)
	defer peer.Close()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	thread := unix.Gettid()
	var done atomic.Bool
	var sent atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for !done.Load() {
			unix.Tgkill(os.Getpid(), thread, unix.SIGURG) //nolint:errcheck // the thread exists
			sent.Add(1)
		}
	}()
	const signals = 200_000
	looks, unusable := 0, 0
	for ; sent.Load() < signals; looks++ {
		if !CanReuse(c.(*net.TCPConn)) {
			unusable++
		}
	}
	done.Store(true)
	<-ended
	require.Zero(t, unusable, "of %d", looks)
}
