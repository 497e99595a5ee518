package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Timeouts and sizes of a connection.
const (
	HeartbeatInterval = time.Second
	HeartbeatTimeout  = 3 * time.Second // a connection on which nothing is received for this long is closed and never reused
	helloTimeout      = 2 * time.Second
	writeTimeout      = 3 * time.Second
	closeTimeout      = 1 * time.Second // from the last message sent until the peer closes its end
	maxQueueMessages  = 4096
	maxQueueBytes     = 32 << 20 // total size of the queued messages
	maxHelloBytes     = 16 << 10
	bufferBytes       = 32 << 10
	// receiveBufferBytes is the size of a socket's buffer for what is not read yet. The
	// kernel's own choice grows to several megabytes.
	receiveBufferBytes = 512 << 10
	maxSentTimes       = 64 // heartbeats whose send times are kept
)

// Errors of a connection. A front proxy passes their texts on to its callers.
var (
	ErrClosed           = eris.New("wire: connection closed")
	ErrSlowPeer         = eris.New("wire: peer does not read; send queue full")
	ErrVersion          = eris.New("wire: no common protocol version")
	ErrHeartbeatTimeout = eris.New("wire: connection silent")
	ErrHello            = eris.New("wire: first message is not a hello")
)

// Handler receives the messages of a connection. Handle is called by one
// goroutine per connection, in order of arrival; it must not block. Closed is
// called once, after the last call of Handle, with the reason for which the
// connection was closed. Both may be called before Dial or Accept has returned
// the connection.
type Handler interface {
	Handle(c *Conn, m Message)
	Closed(c *Conn, err error)
}

// HeartbeatSource supplies the content of the heartbeats that a connection sends.
// NextHeartbeat must not block; the connection sets Seq and Echo.
type HeartbeatSource interface {
	NextHeartbeat(c *Conn) Heartbeat
}

// Conn is a connection of the internal protocol. Its methods may be called by any
// goroutine. No lock of a Conn is held while a Handler runs.
type Conn struct {
	nc           net.Conn
	peer         Hello
	opened       time.Time // base of lastReceived, on the monotonic clock
	queue        chan Message
	queued       atomic.Int64  // total size in bytes of the messages in queue
	spaceFreed   chan struct{} // receives a value when messages leave the queue
	closing      atomic.Bool   // CloseAfterFlush was called
	done         chan struct{}
	closeOnce    sync.Once
	err          error         // set before done is closed
	lastReceived atomic.Int64  // time of the last message received, in nanoseconds since opened
	peerSeq      atomic.Uint64 // Seq of the last heartbeat received

	mu           sync.Mutex // guards the fields below
	heartbeatSeq uint64
	sentAt       map[uint64]time.Time // send times of the last maxSentTimes heartbeats, by Seq
}

// Dial connects to address, exchanges hellos and starts the connection.
// Errors: those of the dial and of the connection, ErrVersion, ErrHello, and
// those of Reader.Next for the peer's hello.
func Dial(ctx context.Context, address string, hello Hello, h Handler, b HeartbeatSource) (*Conn, error) {
	d := net.Dialer{Timeout: helloTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return start(nc, hello, h, b)
}

// Accept exchanges hellos on an accepted connection and starts it.
// Errors: those of the connection, ErrVersion, ErrHello, and those of Reader.Next
// for the peer's hello.
func Accept(nc net.Conn, hello Hello, h Handler, b HeartbeatSource) (*Conn, error) {
	return start(nc, hello, h, b)
}

func start(nc net.Conn, hello Hello, h Handler, b HeartbeatSource) (*Conn, error) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetReadBuffer(receiveBufferBytes) //nolint:errcheck // without it the kernel's own limits hold
	}
	r := NewReader(nc)
	peer, err := handshake(nc, r, hello)
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &Conn{
		nc:         nc,
		peer:       peer,
		opened:     time.Now(),
		queue:      make(chan Message, maxQueueMessages),
		spaceFreed: make(chan struct{}, 1),
		done:       make(chan struct{}),
		sentAt:     make(map[uint64]time.Time),
	}
	go c.write()
	go c.heartbeatLoop(b)
	go c.read(r, h)
	return c, nil
}

// handshake sends hello, reads the peer's hello and checks that both ends have a
// protocol version in common.
func handshake(nc net.Conn, r *Reader, hello Hello) (Hello, error) {
	hello.MinVersion = MinVersion
	hello.MaxVersion = MaxVersion
	if err := nc.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Hello{}, err
	}
	frame, err := AppendFrame(nil, &hello)
	if err != nil {
		return Hello{}, err
	}
	if _, err := nc.Write(frame); err != nil {
		return Hello{}, err
	}
	m, err := r.next(maxHelloBytes)
	if err != nil {
		return Hello{}, err
	}
	peer, ok := m.(*Hello)
	if !ok {
		return Hello{}, ErrHello
	}
	if peer.MaxVersion < MinVersion || peer.MinVersion > MaxVersion {
		return Hello{}, eris.Wrapf(ErrVersion, "peer %q supports versions %d to %d, this process supports %d to %d",
			peer.Instance, peer.MinVersion, peer.MaxVersion, MinVersion, MaxVersion)
	}
	return *peer, nc.SetDeadline(time.Time{})
}

// Peer returns the hello of the peer.
func (c *Conn) Peer() Hello { return c.peer }

// Version returns the highest protocol version that both ends support.
func (c *Conn) Version() uint16 { return min(c.peer.MaxVersion, MaxVersion) }

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection and passes err, or ErrClosed if err is nil or
// CloseAfterFlush was called, to Handler.Closed. Later calls have no effect.
func (c *Conn) Close(err error) {
	c.closeOnce.Do(func() {
		if err == nil || c.closing.Load() {
			err = ErrClosed
		}
		c.err = err
		close(c.done)
		c.nc.Close()
	})
}

// read passes received messages to h until the connection is closed.
func (c *Conn) read(r *Reader, h Handler) {
	for {
		m, err := r.Next()
		if err != nil {
			c.Close(err)
			h.Closed(c, c.err)
			return
		}
		c.lastReceived.Store(int64(time.Since(c.opened)))
		if hb, ok := m.(*Heartbeat); ok {
			c.peerSeq.Store(hb.Seq)
		}
		h.Handle(c, m)
	}
}
