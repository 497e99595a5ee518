package wire

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// errQueueFull reports that a message does not fit into the queue.
var errQueueFull = eris.New("wire: send queue full")

// Send queues m, which must not be changed afterwards. It never blocks. If it
// returns an error, m was not queued. Errors: ErrClosed, ErrFrameSize, and
// ErrSlowPeer, which also closes the connection, because its peer would otherwise
// wait for m indefinitely.
func (c *Conn) Send(m Message) error {
	err := c.enqueue(m, maxQueueMessages, maxQueueBytes)
	if errors.Is(err, errQueueFull) {
		c.Close(ErrSlowPeer)
		return ErrSlowPeer
	}
	return err
}

// SendWait queues m like Send, but uses only half of the queue and waits while
// that half is full; the other half is reserved for Send, which cannot wait.
// Errors: ErrClosed, ErrFrameSize, ctx.Err().
func (c *Conn) SendWait(ctx context.Context, m Message) error {
	for {
		err := c.enqueue(m, maxQueueMessages/2, maxQueueBytes/2)
		if err == nil {
			c.signalSpace() // wake the next waiting SendWait
			return nil
		}
		if !errors.Is(err, errQueueFull) {
			return err
		}
		select {
		case <-c.spaceFreed:
		case <-c.done:
			return ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// enqueue queues m unless the queue would then exceed maxMessages or maxBytes.
// Errors: ErrClosed, ErrFrameSize, errQueueFull.
func (c *Conn) enqueue(m Message, maxMessages int, maxBytes int64) error {
	size := int64(m.Msgsize())
	if size >= MaxFrameBytes {
		return ErrFrameSize
	}
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	if c.closing.Load() {
		return ErrClosed
	}
	if c.queued.Add(size) > maxBytes || len(c.queue) >= maxMessages {
		c.queued.Add(-size)
		return errQueueFull
	}
	select {
	case c.queue <- m:
		return nil
	default:
		c.queued.Add(-size)
		return errQueueFull
	}
}

// CloseAfterFlush refuses further messages, and closes the connection after all
// queued messages are written and the peer has closed its end. It closes the
// connection at once if the queue is full.
func (c *Conn) CloseAfterFlush() {
	if c.closing.Swap(true) {
		return
	}
	select {
	case c.queue <- nil:
	default:
		c.Close(nil)
	}
}

// write writes queued messages until the connection is closed. It batches waiting
// messages into one system call.
func (c *Conn) write() {
	buf := make([]byte, 0, bufferBytes)
	last := false
	for {
		select {
		case <-c.done:
			return
		case m := <-c.queue:
			buf, last = c.encodeBatch(buf[:0], m)
			c.signalSpace()
		}
		if !c.flush(buf) {
			return
		}
		if last {
			c.closeWrite()
			return
		}
		if cap(buf) > maxKeptScratch {
			buf = make([]byte, 0, bufferBytes)
		}
	}
}

// encodeBatch appends the frames of m and of further queued messages to buf, up to
// about bufferBytes. last reports that nothing is to be written after out.
func (c *Conn) encodeBatch(buf []byte, m Message) (out []byte, last bool) {
	for {
		if m == nil {
			return buf, true
		}
		c.queued.Add(-int64(m.Msgsize()))
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

// flush writes buf. It closes the connection and returns false on failure.
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

// signalSpace wakes one waiting SendWait, if there is one.
func (c *Conn) signalSpace() {
	select {
	case c.spaceFreed <- struct{}{}:
	default:
	}
}

// closeWrite closes the sending direction. The peer then closes its end, upon
// which read closes this end. Closing this end at once, with input unread, would
// make the operating system discard data that the peer has not received yet.
func (c *Conn) closeWrite() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.nc.SetReadDeadline(time.Now().Add(closeTimeout)) != nil {
		c.Close(nil)
	}
}

var _ interface{ CloseWrite() error } = (*net.TCPConn)(nil)
