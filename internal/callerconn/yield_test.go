package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
)

// accept opens n connections at b whose requests are served, and returns them.
func accept(t *testing.T, b *Conns, n int) (conns []*Conn) {
	ln, err := Listen(t.Context(), "127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	limited := b.Listener(ln)
	for range n {
		peer, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { peer.Close() })
		c, err := limited.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.True(t, c.(*Conn).BeginRequest(0))
		conns = append(conns, c.(*Conn))
	}
	return conns
}

// Connections whose bodies do not arrive yield to new ones. Their requests are still refused,
// but only as many as do not take the process beyond its descriptors; the others are closed.
func TestYieldingBodies(t *testing.T) {
	const limit = maxRefusing + 20
	clock := &testClock{}
	b := New(admit.NewConnBudget(admit.ConnLimits{Conns: limit, Bytes: 1 << 30, UnreadPerConn: 1 << 20}), func() time.Duration { return time.Duration(clock.now.Load()) })
	causes := make(map[YieldCause]int)
	b.OnYield = func(y Yield) { causes[y.Cause]++ }
	old := accept(t, b, limit)
	for _, c := range old {
		c.BeginBody()
	}
	clock.add(admit.Stall)
	fresh := accept(t, b, limit)
	require.Equal(t, map[YieldCause]int{YieldBody: limit}, causes)
	refused, closed := 0, 0
	for _, c := range old {
		c.SetReadDeadline(time.Time{}) //nolint:errcheck // as http.Server may do meanwhile, also on closed ones
		_, err := c.Read(make([]byte, 1))
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			refused++
			require.False(t, c.EndBody(), "a request of a connection that has yielded is not passed on")
		case errors.Is(err, net.ErrClosed):
			closed++
		}
		c.Close()
	}
	require.Equal(t, maxRefusing, refused)
	require.Equal(t, limit-maxRefusing, closed)
	for _, c := range fresh {
		c.BeginBody()
	}
	clock.add(admit.Stall)
	accept(t, b, 1)
	require.Equal(t, 1, b.refusing, "those that were refused are gone")
}

// A connection for which there is no room is closed, and the listener goes on.
func TestConnectionWithoutRoomIsClosed(t *testing.T) {
	b := New(admit.NewConnBudget(admit.ConnLimits{Conns: 1, Bytes: 1 << 20, UnreadPerConn: 1 << 20}), func() time.Duration { return 0 })
	causes := make(chan YieldCause, 1)
	b.OnYield = func(y Yield) { causes <- y.Cause }
	ln, err := Listen(t.Context(), "127.0.0.1:0", nil)
	require.NoError(t, err)
	defer ln.Close()
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := b.Listener(ln).Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	dial()
	first := (<-accepted).(*Conn)
	require.True(t, first.BeginRequest(0))
	_, err = dial().Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, YieldNotAccepted, <-causes)
	first.Close()
	dial()
	(<-accepted).Close()
}
