package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Timing and sizes of a connection.
const (
	HeartbeatInterval = 500 * time.Millisecond
	HeartbeatTimeout  = 3 * time.Second // a connection silent for this long is closed and never reused
	helloTimeout      = 2 * time.Second
	writeTimeout      = 3 * time.Second
	queueLen          = 4096 // messages
	bufferBytes       = 32 << 10
)

// Errors of a connection.
var (
	ErrClosed  = eris.New("wire: connection closed")
	ErrSlow    = eris.New("wire: peer does not read; send queue full")
	ErrVersion = eris.New("wire: no common protocol version")
	ErrSilent  = eris.New("wire: connection silent")
	ErrHello   = eris.New("wire: first message is not a hello")
)

// Handler receives what arrives on a connection. Handle is called by one
// goroutine per connection, in order; it must not block. Closed is called
// once, after the last Handle.
type Handler interface {
	Handle(c *Conn, m Message)
	Closed(c *Conn, err error)
}

// Beats fills the heartbeats that a connection sends. It must not block.
type Beats interface {
	Beat(c *Conn) Heartbeat
}

// Conn is one connection of the inner protocol. Send may be called by any
// goroutine. Lock order: none of its locks is held while a Handler runs.
type Conn struct {
	nc      net.Conn
	peer    Hello
	queue   chan Message
	done    chan struct{}
	once    sync.Once
	err     error // set before done is closed
	lastIn  atomic.Int64
	lastSeq atomic.Uint64 // highest heartbeat Seq received

	mu   sync.Mutex
	seq  uint64
	sent map[uint64]time.Time // when each unanswered heartbeat was sent
}

// Dial connects to address, exchanges hellos and starts the connection.
// Errors: those of the dial, ErrVersion, ErrHello.
func Dial(ctx context.Context, address string, hello Hello, h Handler, b Beats) (*Conn, error) {
	d := net.Dialer{Timeout: helloTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return start(nc, hello, h, b)
}

// Accept exchanges hellos on an accepted connection and starts it.
// Errors: those of the connection, ErrVersion, ErrHello.
func Accept(nc net.Conn, hello Hello, h Handler, b Beats) (*Conn, error) {
	return start(nc, hello, h, b)
}

func start(nc net.Conn, hello Hello, h Handler, b Beats) (*Conn, error) {
	r := bufio.NewReaderSize(nc, bufferBytes)
	peer, err := exchange(nc, r, hello)
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &Conn{
		nc:    nc,
		peer:  peer,
		queue: make(chan Message, queueLen),
		done:  make(chan struct{}),
		sent:  make(map[uint64]time.Time),
	}
	c.lastIn.Store(time.Now().UnixNano())
	go c.write()
	go c.beat(b)
	go c.read(r, h)
	return c, nil
}

// exchange sends our hello, reads the peer's and agrees on a version.
func exchange(nc net.Conn, r *bufio.Reader, hello Hello) (Hello, error) {
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
	m, _, err := ReadFrame(r, nil)
	if err != nil {
		return Hello{}, err
	}
	peer, ok := m.(*Hello)
	if !ok {
		return Hello{}, ErrHello
	}
	if peer.MaxVersion < MinVersion || peer.MinVersion > MaxVersion {
		return Hello{}, ErrVersion
	}
	return *peer, nc.SetDeadline(time.Time{})
}

// Peer returns the hello that the other end sent.
func (c *Conn) Peer() Hello { return c.peer }

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Send queues m. It never blocks. Errors: ErrClosed; ErrSlow, which also
// closes the connection, since a message was lost on it.
func (c *Conn) Send(m Message) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.queue <- m:
		return nil
	default:
		c.Close(ErrSlow)
		return ErrSlow
	}
}

// CloseAfterFlush closes the connection once every message queued so far is written.
func (c *Conn) CloseAfterFlush() {
	select {
	case c.queue <- nil:
	default:
		c.Close(nil)
	}
}

// Close closes the connection with the reason err. Later calls do nothing.
func (c *Conn) Close(err error) {
	c.once.Do(func() {
		if err == nil {
			err = ErrClosed
		}
		c.err = err
		close(c.done)
		c.nc.Close()
	})
}

// write sends queued messages, as many in one system call as are waiting.
func (c *Conn) write() {
	buf := make([]byte, 0, bufferBytes)
	last := false
	for {
		select {
		case <-c.done:
			return
		case m := <-c.queue:
			buf, last = c.gather(buf[:0], m)
		}
		if !c.flush(buf) {
			return
		}
		if last {
			c.Close(nil)
			return
		}
		if cap(buf) > MaxFrameBytes {
			buf = make([]byte, 0, bufferBytes)
		}
	}
}

// gather encodes m and what else is queued, up to about bufferBytes. last
// says that the connection is to be closed once buf is written.
func (c *Conn) gather(buf []byte, m Message) (out []byte, last bool) {
	for {
		if m == nil {
			return buf, true
		}
		next, err := AppendFrame(buf, m)
		if err != nil {
			c.Close(err)
			return buf, true
		}
		buf = next
		if len(buf) >= bufferBytes {
			return buf, false
		}
		select {
		case m = <-c.queue:
		default:
			return buf, false
		}
	}
}

func (c *Conn) flush(buf []byte) bool {
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		c.Close(err)
		return false
	}
	if _, err := c.nc.Write(buf); err != nil {
		c.Close(err)
		return false
	}
	return true
}

// beat sends heartbeats and closes the connection when the peer is silent.
func (c *Conn) beat(b Beats) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		hb := c.nextBeat(b)
		if err := c.Send(&hb); err != nil {
			return
		}
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		silent := time.Since(time.Unix(0, c.lastIn.Load()))
		if silent > HeartbeatTimeout {
			c.Close(ErrSilent)
			return
		}
	}
}

// BeatNow sends a heartbeat out of turn, so that what it carries arrives
// before the messages that are sent after it.
func (c *Conn) BeatNow(b Beats) {
	hb := c.nextBeat(b)
	c.Send(&hb)
}

func (c *Conn) nextBeat(b Beats) Heartbeat {
	hb := b.Beat(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	hb.Seq = c.seq
	hb.Echo = c.lastSeq.Load()
	c.sent[hb.Seq] = time.Now()
	return hb
}

// EchoAge returns how long ago the heartbeat that hb answers was sent: an
// upper bound on the age of hb itself. ok is false when hb answers none.
func (c *Conn) EchoAge(hb *Heartbeat) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sent[hb.Echo]
	for seq := range c.sent {
		if seq < hb.Echo {
			delete(c.sent, seq)
		}
	}
	return time.Since(at), ok
}

// read delivers messages until the connection fails.
func (c *Conn) read(r *bufio.Reader, h Handler) {
	var scratch []byte
	for {
		m, next, err := ReadFrame(r, scratch)
		if err != nil {
			c.Close(err)
			h.Closed(c, c.err)
			return
		}
		scratch = next
		c.lastIn.Store(time.Now().UnixNano())
		if hb, ok := m.(*Heartbeat); ok {
			c.lastSeq.Store(hb.Seq)
		}
		h.Handle(c, m)
	}
}
