package sockopt

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestSending(t *testing.T) {
	for name, c := range map[string]struct {
		info unix.TCPInfo
		want bool
	}{
		"all acknowledged":            {unix.TCPInfo{Last_data_sent: 5, Last_ack_recv: 4}, false},
		"on its way":                  {unix.TCPInfo{Unacked: 1, Last_data_sent: 1, Last_ack_recv: 9}, true},
		"window shut":                 {unix.TCPInfo{Notsent_bytes: 1, Last_data_sent: 900, Last_ack_recv: 100}, true},
		"sent again, refused":         {unix.TCPInfo{Unacked: 1, Retransmits: 2, Last_data_sent: 200, Last_ack_recv: 200}, true},
		"sent again, not answered":    {unix.TCPInfo{Unacked: 1, Retransmits: 2, Last_data_sent: 200, Last_ack_recv: 800}, false},
		"rest held, no answer at all": {unix.TCPInfo{Unacked: 1, Notsent_bytes: 9, Retransmits: 1, Last_data_sent: 1, Last_ack_recv: 300}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, sending(&c.info)) })
	}
}

func TestSendingOfConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	peer, err := ln.Accept()
	require.NoError(t, err)
	defer peer.Close()
	conn := c.(*net.TCPConn)
	require.False(t, Sending(conn))
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20)) // more than both sockets hold
		written <- err
	}()
	require.Eventually(t, func() bool { // and keeps sending, as the peer reads nothing
		for range 5 {
			if !Sending(conn) {
				return false
			}
			time.Sleep(10 * time.Millisecond)
		}
		return true
	}, 10*time.Second, time.Millisecond)
	require.Empty(t, written)
	go func() { // reads all
		b := make([]byte, 1<<20)
		for err := error(nil); err == nil; {
			_, err = peer.Read(b)
		}
	}()
	require.NoError(t, <-written)
	require.Eventually(t, func() bool { return !Sending(conn) }, 10*time.Second, time.Millisecond)
}
