package callerconn

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// advance removes the first chunk if all of it has been written, done bytes. It returns
// the bytes that this frees, and whether nothing is held any more.
func (c *Conn) advance(done int) (freed int64, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if done < len(c.chunks[0]) {
		return 0, false
	}
	freed = int64(cap(c.chunks[0]))
	c.chunks[0] = nil
	if c.chunks = c.chunks[1:]; len(c.chunks) > 0 {
		return freed, false
	}
	c.chunks = nil
	c.wake()
	return freed, true
}

// wake ends the wait of awaitFlush. Callers hold mu.
func (c *Conn) wake() {
	if c.flushed != nil {
		close(c.flushed)
		c.flushed = nil
	}
}

// end does what was put off until all that was held has been written.
func (c *Conn) end() {
	c.mu.Lock()
	closed, halfClosed := c.closed, c.halfClosed
	c.mu.Unlock()
	switch {
	case closed:
		c.closeNow()
	case halfClosed:
		closeWrite(c.Conn) //nolint:errcheck // the connection is closed next
	}
}

// fail drops what is held after a write has failed.
func (c *Conn) fail(err error) {
	if c.evicted.Load() {
		err = ErrEvicted
	}
	c.mu.Lock()
	c.failure, c.chunks = err, nil
	closed := c.closed
	c.wake()
	c.mu.Unlock()
	c.all.failed(c, err)
	c.held.Store(0)
	if closed {
		c.closeNow()
	}
}

// closeNow closes the connection and returns what it takes to the budget.
func (c *Conn) closeNow() error {
	err := c.Conn.Close()
	c.all.closed(c)
	return err
}

// abort resets the connection and returns the bytes that were held for it.
func (c *Conn) abort() (held int64) {
	c.evicted.Store(true)
	held = c.held.Load()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // the connection is closed next
	}
	c.Conn.Close()
	return held
}

// Evicted reports whether the connection was ended because its peer did not read.
func (c *Conn) Evicted() bool { return c.evicted.Load() }

// Held returns the bytes that wait for the peer in this process.
func (c *Conn) Held() int64 { return c.held.Load() }

// Close implements net.Conn. What is held is written before the connection ends.
func (c *Conn) Close() error {
	c.mu.Lock()
	holding := c.chunks != nil
	c.closed = true
	c.mu.Unlock()
	if holding {
		return nil
	}
	return c.closeNow()
}

// CloseWrite ends the sending direction once what is held has been written.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	holding := c.chunks != nil
	c.halfClosed = true
	c.mu.Unlock()
	if holding {
		return nil
	}
	return closeWrite(c.Conn)
}

func closeWrite(c net.Conn) error {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// peerHasRead reports whether the socket holds less than at the last call. Callers hold
// Conns.mu.
func (c *Conn) peerHasRead() bool {
	unsent := 0
	var err error
	if c.raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }) != nil || err != nil {
		return false // only the room that the socket reports shows the progress
	}
	less := unsent < c.lastUnsent
	c.lastUnsent = unsent
	return less
}

// peerLeft reports whether a connection ended because its peer closed it.
func peerLeft(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF)
}
