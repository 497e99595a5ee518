package callerconn

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
)

// smallSocket is the size of the sockets' buffers in bytes.
const smallSocket = 16 << 10

// connPair returns a buffered connection and its peer.
func connPair(t *testing.T, b *Conns) (*Conn, *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	require.NoError(t, peer.(*net.TCPConn).SetReadBuffer(smallSocket))
	c, err := b.Listener(ln).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.(*Conn).Conn.(*net.TCPConn).SetWriteBuffer(smallSocket))
	return c.(*Conn), peer.(*net.TCPConn)
}

// testClock is a clock that the test advances.
type testClock struct{ now atomic.Int64 }

func (c *testClock) add(d time.Duration) { c.now.Add(int64(d)) }

func newTestConns(limit, perHolder int64) (*Conns, *testClock) {
	clock := &testClock{}
	return New(admit.NewConnBudget(admit.ConnLimits{Bytes: limit, UnreadPerConn: perHolder}), func() time.Duration { return time.Duration(clock.now.Load()) }), clock
}

// Writes of any size arrive complete and in order at peers of any pace, also where the
// budget is too small to hold them, and Close does not cut them short.
func TestBytesArriveCompleteAndInOrder(t *testing.T) {
	for name, limit := range map[string]int64{"held": 1 << 22, "partly held": 16 << 10, "not held": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				rng := rand.New(rand.NewPCG(seed, 0))
				b, _ := newTestConns(limit, limit)
				c, peer := connPair(t, b)
				var want bytes.Buffer
				var sizes []int
				for want.Len() < 300<<10 {
					n := 1 + rng.IntN(6<<10)
					sizes = append(sizes, n)
					for range n {
						want.WriteByte(byte(rng.Uint32()))
					}
				}
				go func() {
					at := 0
					for _, n := range sizes {
						c.Write(want.Bytes()[at : at+n])
						at += n
					}
					c.Close()
				}()
				var got bytes.Buffer
				buf := make([]byte, 8<<10)
				for {
					if rng.IntN(20) == 0 {
						time.Sleep(time.Millisecond)
					}
					n, err := peer.Read(buf[:1+rng.IntN(len(buf))])
					got.Write(buf[:n])
					if err == io.EOF {
						break
					}
					require.NoError(t, err)
				}
				require.True(t, bytes.Equal(want.Bytes(), got.Bytes()), "seed %d: %d bytes of %d", seed, got.Len(), want.Len())
				used, conns := b.Used()
				require.Zero(t, used)
				require.Zero(t, conns)
			}
		})
	}
}

// fill writes until at least n bytes are held and the sockets take no more.
func fill(t *testing.T, b *Conns, c *Conn, n int64) {
	for settled := 0; settled < 10; {
		if used, _ := b.Used(); used >= n {
			settled++
			time.Sleep(10 * time.Millisecond)
			continue
		}
		settled = 0
		_, err := c.Write(make([]byte, 1<<10))
		require.NoError(t, err)
	}
}

// The answer of a peer that does not read ends with a reset, not like a complete one.
func TestEvictedConnectionIsReset(t *testing.T) {
	b, clock := newTestConns(64<<10, 64<<10)
	cuts := make(chan Cut, 1)
	b.OnCut = func(c Cut) { cuts <- c }
	c, peer := connPair(t, b)
	fill(t, b, c, 60<<10)
	require.False(t, b.Reserve(32<<10), "not stalled for long enough")
	clock.add(admit.Stall)
	require.True(t, b.Reserve(32<<10))
	require.True(t, c.Evicted())
	require.ErrorIs(t, (<-cuts).Reason, ErrEvicted)
	_, err := io.Copy(io.Discard, peer)
	require.Error(t, err)
	require.Eventually(t, func() bool { _, err := c.Write(make([]byte, 1)); return err != nil }, 10*time.Second, time.Millisecond)
	b.Release(32 << 10)
	used, conns := b.Used()
	require.Zero(t, used)
	require.Zero(t, conns)
}

// The socket itself has no room yet for what is held.
func TestPeerThatReadsLittleIsNotStalled(t *testing.T) {
	b, clock := newTestConns(1<<20, 1<<20)
	c, peer := connPair(t, b)
	fill(t, b, c, 700<<10)
	buf := make([]byte, 16<<10)
	for range 16 {
		_, err := io.ReadFull(peer, buf)
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond) // for the acknowledgement
		clock.add(admit.Stall / 4)
		b.Sample()
		require.False(t, b.Reserve(1<<20) || c.Evicted())
	}
	clock.add(admit.Stall)
	require.True(t, b.Reserve(1<<20))
	require.True(t, c.Evicted())
}
