package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Timing and sizes of a connection.
const (
	HeartbeatInterval = time.Second
	HeartbeatTimeout  = 3 * time.Second // a connection silent for this long is closed and never reused
	helloTimeout      = 2 * time.Second
	writeTimeout      = 3 * time.Second
	closeTimeout      = 1 * time.Second // from the last message sent until the peer closes its end
	queueLen          = 4096            // messages
	maxQueueBytes     = 32 << 20        // of messages queued
	maxHelloBytes     = 16 << 10
	bufferBytes       = 32 << 10
	keptEchoes        = 64 // heartbeats whose time of sending is kept
)

// Errors of a connection.
var (
	ErrClosed           = eris.New("wire: connection closed")
	ErrSlowPeer         = eris.New("wire: peer does not read; send queue full")
	ErrVersion          = eris.New("wire: no common protocol version")
	ErrHeartbeatTimeout = eris.New("wire: connection silent")
	ErrHello            = eris.New("wire: first message is not a hello")
)

// Handler receives what arrives on a connection. Handle is called by one
// goroutine per connection, in order; it must not block. Closed is called
// once, after the last Handle. Both may be called before Dial or Accept has
// returned the connection.
type Handler interface {
	Handle(c *Conn, m Message)
	Closed(c *Conn, err error)
}

// HeartbeatSource fills the heartbeats that a connection sends. It must not block.
type HeartbeatSource interface {
	NextHeartbeat(c *Conn) Heartbeat
}

// Conn is one connection of the inner protocol. Send may be called by any
// goroutine. Lock order: none of its locks is held while a Handler runs.
type Conn struct {
	nc      net.Conn
	peer    Hello
	opened  time.Time // times below count from it, on the monotonic clock
	queue   chan Message
	queued  atomic.Int64  // bytes of the messages in queue
	room    chan struct{} // has a value after the queue has shrunk
	leaving atomic.Bool   // CloseAfterFlush was called
	done    chan struct{}
	once    sync.Once
	err     error         // set before done is closed
	lastIn  atomic.Int64  // nanoseconds from opened to the last message received
	lastSeq atomic.Uint64 // highest heartbeat Seq received

	mu   sync.Mutex // guards what follows
	seq  uint64
	sent map[uint64]time.Time // when each of the last heartbeats was sent
}

// Dial connects to address, exchanges hellos and starts the connection.
// Errors: those of the dial, ErrVersion, ErrHello.
func Dial(ctx context.Context, address string, hello Hello, h Handler, b HeartbeatSource) (*Conn, error) {
	d := net.Dialer{Timeout: helloTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return start(nc, hello, h, b)
}

// Accept exchanges hellos on an accepted connection and starts it.
// Errors: those of the connection, ErrVersion, ErrHello.
func Accept(nc net.Conn, hello Hello, h Handler, b HeartbeatSource) (*Conn, error) {
	return start(nc, hello, h, b)
}

func start(nc net.Conn, hello Hello, h Handler, b HeartbeatSource) (*Conn, error) {
	r := NewReader(nc)
	peer, err := exchange(nc, r, hello)
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &Conn{
		nc:     nc,
		peer:   peer,
		opened: time.Now(),
		queue:  make(chan Message, queueLen),
		room:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		sent:   make(map[uint64]time.Time),
	}
	go c.write()
	go c.beat(b)
	go c.read(r, h)
	return c, nil
}

// exchange sends our hello, reads the peer's and agrees on a version.
func exchange(nc net.Conn, r *Reader, hello Hello) (Hello, error) {
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
		return Hello{}, eris.Wrapf(ErrVersion, "peer %q speaks %d to %d, we speak %d to %d",
			peer.Instance, peer.MinVersion, peer.MaxVersion, MinVersion, MaxVersion)
	}
	return *peer, nc.SetDeadline(time.Time{})
}

// Peer returns the hello that the other end sent.
func (c *Conn) Peer() Hello { return c.peer }

// Version returns the highest version that both ends speak.
func (c *Conn) Version() uint16 { return min(c.peer.MaxVersion, MaxVersion) }

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection with the reason err. Later calls do nothing.
func (c *Conn) Close(err error) {
	c.once.Do(func() {
		if err == nil || c.leaving.Load() {
			err = ErrClosed
		}
		c.err = err
		close(c.done)
		c.nc.Close()
	})
}

// read delivers messages until the connection fails.
func (c *Conn) read(r *Reader, h Handler) {
	for {
		m, err := r.Next()
		if err != nil {
			c.Close(err)
			h.Closed(c, c.err)
			return
		}
		c.lastIn.Store(int64(time.Since(c.opened)))
		if hb, ok := m.(*Heartbeat); ok {
			c.lastSeq.Store(hb.Seq)
		}
		h.Handle(c, m)
	}
}
