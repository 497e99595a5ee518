package wire

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// teardownTime is how long the goroutines of closed connections may take to end.
const teardownTime = 10 * time.Second

// link is a network between two ends with a buffer in each direction. While
// partitioned, it drops all data without an error at either end.
type link struct {
	a, b        net.Conn
	partitioned atomic.Bool
}

func newLink(buffer int) *link {
	a, near := net.Pipe()
	b, far := net.Pipe()
	l := &link{a: a, b: b}
	l.relay(near, far, buffer)
	l.relay(far, near, buffer)
	return l
}

func (l *link) relay(from, to net.Conn, buffer int) {
	packets := make(chan []byte, buffer)
	go func() {
		defer close(packets)
		for {
			p := make([]byte, 4096)
			n, err := from.Read(p)
			if err != nil {
				return
			}
			packets <- p[:n]
		}
	}()
	go func() {
		for p := range packets {
			if !l.partitioned.Load() {
				to.Write(p)
			}
		}
		if !l.partitioned.Load() {
			to.Close()
		}
	}()
}

// recorder is a Handler that records messages, and a HeartbeatSource.
type recorder struct {
	mu          sync.Mutex
	received    []Message
	closed      error
	onHeartbeat func(c *Conn) Heartbeat
	block       chan struct{} // Handle blocks until it is closed, if set
}

func (r *recorder) Handle(_ *Conn, m Message) {
	if r.block != nil {
		<-r.block
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, m)
}

func (r *recorder) Closed(_ *Conn, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = err
}

func (r *recorder) NextHeartbeat(c *Conn) Heartbeat {
	if r.onHeartbeat != nil {
		return r.onHeartbeat(c)
	}
	return Heartbeat{ConfigOffset: 5}
}

func (r *recorder) closeReason() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// chunks returns the Seq of each chunk received.
func (r *recorder) chunks() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []uint64
	for _, m := range r.received {
		if c, ok := m.(*Chunk); ok {
			out = append(out, c.Seq)
		}
	}
	return out
}

// connect starts a Conn on each of a and b.
func connect(t *testing.T, a, b net.Conn, ra, rb *recorder) (ca, cb *Conn) {
	accepted := make(chan *Conn, 1)
	go func() {
		c, _ := Accept(b, Hello{Instance: "b"}, rb, rb)
		accepted <- c
	}()
	ca, err := Accept(a, Hello{Instance: "a"}, ra, ra)
	require.NoError(t, err)
	cb = <-accepted
	require.NotNil(t, cb)
	t.Cleanup(func() {
		ca.Close(nil)
		cb.Close(nil)
		time.Sleep(teardownTime)
	})
	require.Equal(t, "b", ca.Peer().Instance)
	require.Equal(t, MaxVersion, ca.Version())
	return ca, cb
}

func TestSilentConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(100)
		ra, rb := &recorder{}, &recorder{}
		ca, cb := connect(t, l.a, l.b, ra, rb)
		time.Sleep(time.Minute)
		require.NoError(t, ra.closeReason(), "heartbeats keep an idle connection open")

		l.partitioned.Store(true)
		partitionedAt := time.Now()
		<-ca.Done()
		<-cb.Done()
		require.LessOrEqual(t, time.Since(partitionedAt), HeartbeatTimeout+2*HeartbeatInterval)
		synctest.Wait()
		require.ErrorIs(t, ra.closeReason(), ErrHeartbeatTimeout)
		require.ErrorIs(t, ca.Send(&Cancel{}), ErrClosed)
	})
}

func TestBadFrameClosesOnlyItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := &recorder{}
		good := newLink(100)
		cGood, _ := connect(t, good.a, good.b, &recorder{}, shared)
		bad := newLink(100)
		cBad, _ := connect(t, bad.a, bad.b, &recorder{}, shared)

		_, err := cBad.nc.Write([]byte{0, 0, 0, 2, 200, 1})
		require.NoError(t, err)
		<-cBad.Done()
		synctest.Wait()
		require.ErrorIs(t, shared.closeReason(), ErrFrameKind)
		require.NoError(t, cGood.Send(&Chunk{Seq: 1}))
		synctest.Wait()
		require.Equal(t, []uint64{1}, shared.chunks())
	})
}

func TestVersionMismatchIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(100)
		go func() {
			frame, _ := AppendFrame(nil, &Hello{MinVersion: MaxVersion + 1, MaxVersion: MaxVersion + 3})
			l.b.Write(frame)
			io.Copy(io.Discard, l.b)
		}()
		_, err := Accept(l.a, Hello{}, &recorder{}, &recorder{})
		require.ErrorIs(t, err, ErrVersion)
	})
}

func TestFirstMessageMustBeHello(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(100)
		go func() {
			frame, _ := AppendFrame(nil, &Cancel{})
			l.b.Write(frame)
			io.Copy(io.Discard, l.b)
		}()
		_, err := Accept(l.a, Hello{}, &recorder{}, &recorder{})
		require.ErrorIs(t, err, ErrHello)
	})
}

func TestPeerWithoutHelloTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(100)
		_, err := Accept(l.a, Hello{}, &recorder{}, &recorder{})
		require.Error(t, err)
		l.b.Close()
	})
}

// Guards against unbounded memory use when a peer stops reading.
func TestSendToSlowPeerReturnsErrSlowPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(1)
		rb := &recorder{block: make(chan struct{})}
		ca, _ := connect(t, l.a, l.b, &recorder{}, rb)
		var err error
		sent := 0
		for err == nil {
			err = ca.Send(&Chunk{Seq: uint64(sent), Data: make([]byte, 1<<20)})
			sent++
		}
		require.ErrorIs(t, err, ErrSlowPeer)
		require.LessOrEqual(t, sent, maxQueueBytes>>20+4)
		<-ca.Done()
		close(rb.block)
	})
}

// SendWait waits for a slow peer and loses no message; it leaves enough of the
// queue free for heartbeats to be sent in the meantime.
func TestSendWaitWaitsForSlowPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(1)
		rb := &recorder{block: make(chan struct{})}
		ca, _ := connect(t, l.a, l.b, &recorder{}, rb)
		const senders, each = 4, 2000
		var wg sync.WaitGroup
		for s := range senders {
			wg.Go(func() {
				for i := range each {
					require.NoError(t, ca.SendWait(t.Context(), &Chunk{Seq: uint64(s*each + i)}))
				}
			})
		}
		time.Sleep(2 * HeartbeatInterval)
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		require.ErrorIs(t, ca.SendWait(short, &Chunk{}), context.DeadlineExceeded)
		close(rb.block)
		wg.Wait()
		synctest.Wait()
		require.Equal(t, senders*each, len(rb.chunks()))
	})
}

func TestSendRefusesLargeMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(100)
		ca, _ := connect(t, l.a, l.b, &recorder{}, &recorder{})
		require.ErrorIs(t, ca.Send(&Chunk{Data: make([]byte, MaxFrameBytes)}), ErrFrameSize)
		require.NoError(t, ca.Send(&Cancel{}), "the connection stays open")
	})
}

// EchoAge must be an upper bound on the age of a heartbeat's content. It would be
// too low if the sender read Echo after the content and was paused in between.
func TestEchoAgeCoversPausedSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 2 * time.Second
		l := newLink(100)
		var sampledAt atomic.Pointer[time.Time]
		ra, rb := &recorder{}, &recorder{}
		rb.onHeartbeat = func(*Conn) Heartbeat {
			now := time.Now()
			sampledAt.Store(&now)
			time.Sleep(pause)
			return Heartbeat{ConfigOffset: now.UnixNano()}
		}
		ca, _ := connect(t, l.a, l.b, ra, rb)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		checked := 0
		ra.mu.Lock()
		defer ra.mu.Unlock()
		for _, m := range ra.received {
			hb := m.(*Heartbeat)
			age, ok := ca.EchoAge(hb)
			if !ok {
				continue
			}
			checked++
			require.GreaterOrEqual(t, age, time.Since(time.Unix(0, hb.ConfigOffset)))
		}
		require.NotZero(t, checked)
	})
}

// Guards against losing the last messages before a close. With input unread, the
// operating system would discard data that the peer has not received.
func TestCloseAfterFlushDeliversEverything(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	rb := &recorder{}
	accepted := make(chan *Conn, 1)
	go func() {
		nc, _ := listener.Accept()
		c, _ := Accept(nc, Hello{}, rb, rb)
		accepted <- c
	}()
	ca, err := Dial(t.Context(), listener.Addr().String(), Hello{}, &recorder{}, &recorder{})
	require.NoError(t, err)
	cb := <-accepted
	go func() {
		for cb.SendWait(context.Background(), &Chunk{Data: make([]byte, 1000)}) == nil {
		}
	}()
	const count = 2000
	for i := range count {
		require.NoError(t, ca.SendWait(t.Context(), &Chunk{Seq: uint64(i), Data: make([]byte, 1000)}))
	}
	ca.CloseAfterFlush()
	require.ErrorIs(t, ca.Send(&Cancel{}), ErrClosed)
	<-cb.Done()
	<-ca.Done()
	require.Eventually(t, func() bool { return rb.closeReason() != nil }, time.Minute, time.Millisecond)
	require.Equal(t, count, len(rb.chunks()))
	require.ErrorIs(t, rb.closeReason(), io.EOF)
}

// An engine's map in an answer to a fetch order may be as large as in an order.
func TestOrderAckCarriesLargeMap(t *testing.T) {
	sent := &OrderAck{Group: "g", Map: make([]byte, 1<<20)}
	frame, err := AppendFrame(nil, sent)
	require.NoError(t, err)
	var got OrderAck
	_, err = got.UnmarshalMsg(mustMarshal(t, sent))
	require.NoError(t, err)
	require.Len(t, got.Map, len(sent.Map))
	require.Less(t, len(frame), MaxFrameBytes)
}

func mustMarshal(t *testing.T, m *OrderAck) []byte {
	data, err := m.MarshalMsg(nil)
	require.NoError(t, err)
	return data
}
