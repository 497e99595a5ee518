package callerconn

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"marjorampitch/admit"
)

// minChunk is the least size of a chunk of held bytes.
const minChunk = 4 << 10

// ErrEvicted means that a connection was ended in favour of others because its peer had
// not read for a while.
var ErrEvicted = eris.New("callerconn: peer does not read")

// Conn is a connection whose writes wait for the peer only if the budget is used up.
type Conn struct {
	net.Conn
	raw     syscall.RawConn
	all     *Conns
	id      uint64 // in the budget; set by Conns.open
	evicted atomic.Bool
	held    atomic.Int64    // bytes of answers not yet written
	stage   admit.ConnStage // guarded by Conns.mu, as refusing
	// refusing means that the connection has yielded, and is open until its request has been
	// refused.
	refusing bool

	writing    sync.Mutex // held by Write
	direct     []byte     // what tryWrite writes; guarded by writing
	written    int        // result of tryWrite
	err        error      // result of tryWrite
	tryOnce    func(fd uintptr) bool
	lastUnsent int // bytes in the socket at the last sample; guarded by Conns.mu

	deadlines sync.Mutex // guards readEnded
	readEnded bool       // reads end at once, whatever deadline is set

	mu         sync.Mutex // guards the fields below
	chunks     [][]byte   // not yet written; nil if nothing is held
	failure    error
	closed     bool          // Close was called
	halfClosed bool          // CloseWrite was called
	flushed    chan struct{} // closed when nothing is held any more; nil for no waiter
}

func newConn(c net.Conn, raw syscall.RawConn, b *Conns) *Conn {
	x := &Conn{Conn: c, raw: raw, all: b}
	x.tryOnce = func(fd uintptr) bool {
		x.written, x.err = write(fd, x.direct)
		return true
	}
	return x
}

// write writes to a socket without waiting; n is 0 while it accepts nothing.
func write(fd uintptr, p []byte) (n int, err error) {
	for {
		n, err = unix.Write(int(fd), p)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return 0, nil
		case err != nil:
			return 0, err
		}
		return n, nil
	}
}

// Write implements net.Conn. It returns once the socket or the buffer has taken p.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tryWrite(p)
	if err != nil || n == len(p) {
		return n, err
	}
	if c.keep(p[n:]) {
		return len(p), nil
	}
	if err := c.awaitFlush(); err != nil {
		return n, err
	}
	more, err := c.Conn.Write(p[n:])
	return n + more, err
}

// tryWrite passes to the socket what it accepts at once, unless something is held that
// precedes it.
func (c *Conn) tryWrite(p []byte) (int, error) {
	c.mu.Lock()
	failure, holding := c.failure, c.chunks != nil
	c.mu.Unlock()
	if failure != nil || holding {
		return 0, failure
	}
	c.direct = p
	err := c.raw.Write(c.tryOnce)
	c.direct = nil
	if err == nil {
		err = c.err
	}
	return c.written, err
}

// keep holds p to be written later and reports whether the budget has room for it.
func (c *Conn) keep(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return false
	}
	if last := len(c.chunks) - 1; last >= 0 && cap(c.chunks[last])-len(c.chunks[last]) >= len(p) {
		c.chunks[last] = append(c.chunks[last], p...)
		c.held.Add(int64(len(p)))
		return true
	}
	size := max(len(p), minChunk)
	if !c.all.hold(c, int64(size)) {
		return false
	}
	starts := c.chunks == nil
	c.chunks = append(c.chunks, append(make([]byte, 0, size), p...))
	c.held.Add(int64(len(p)))
	if starts {
		go c.flush()
	}
	return true
}

// awaitFlush waits until nothing is held.
func (c *Conn) awaitFlush() error {
	c.mu.Lock()
	if c.chunks != nil && c.flushed == nil {
		c.flushed = make(chan struct{})
	}
	flushed := c.flushed
	c.mu.Unlock()
	if flushed != nil {
		<-flushed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// flush writes what is held until nothing is left or the connection fails.
func (c *Conn) flush() {
	done := 0 // bytes of the first chunk that have been written
	for {
		c.mu.Lock()
		chunk := c.chunks[0]
		c.mu.Unlock()
		n, err := c.writeSome(chunk[done:])
		if err != nil {
			c.fail(err)
			return
		}
		done += n
		c.held.Add(int64(-n))
		freed, ended := c.advance(done)
		if freed > 0 {
			done = 0
		}
		c.all.progress(c, freed)
		if ended {
			c.end()
			return
		}
	}
}

// writeSome waits until the socket accepts a part of p.
func (c *Conn) writeSome(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waitErr := c.raw.Write(func(fd uintptr) bool {
		n, err = write(fd, p)
		return n > 0 || err != nil
	})
	if waitErr != nil {
		return n, waitErr
	}
	return n, err
}
