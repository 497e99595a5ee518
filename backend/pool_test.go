package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listen returns the address of a server that accepts connections.
func listen(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
		}
	}()
	return ln.Addr().String()
}

// A pool opens no more connections than it may. Idle ones, to whichever server, are closed
// first, the one that expires first before the others.
func TestPoolOpensNoMoreThanItMay(t *testing.T) {
	pool := NewPool(func() time.Duration { return 0 })
	pool.MaxOpen = 2
	first, second := listen(t), listen(t)
	get := func(address string) (*Conn, error) { return pool.Get(context.Background(), address, "id", false) }
	a, err := get(first)
	require.NoError(t, err)
	b, err := get(first)
	require.NoError(t, err)
	_, err = get(second)
	require.ErrorIs(t, err, ErrNoSocket)
	require.ErrorIs(t, err, ErrDial, "nothing was sent")
	pool.Put(a, 2*time.Second)
	pool.Put(b, time.Second)
	c, err := get(second)
	require.NoError(t, err)
	kept, err := get(first)
	require.NoError(t, err)
	require.Same(t, a, kept)
	_, err = get(first)
	require.ErrorIs(t, err, ErrNoSocket)
	c.Close()
	c.reset() // closed once
	_, err = get(second)
	require.NoError(t, err)
	_, err = get(second)
	require.ErrorIs(t, err, ErrNoSocket)
}

// A dial that fails takes nothing.
func TestFailedDialTakesNoSocket(t *testing.T) {
	pool := NewPool(func() time.Duration { return 0 })
	pool.MaxOpen = 1
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	for range 3 {
		_, err = pool.Get(context.Background(), ln.Addr().String(), "id", false)
		require.True(t, Refused(err))
	}
	_, err = pool.Get(context.Background(), listen(t), "id", false)
	require.NoError(t, err)
}
