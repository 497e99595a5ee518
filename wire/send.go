package wire

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// errFull says that a message did not fit into the queue.
var errFull = eris.New("wire: send queue full")

// Send queues m, which must not be changed afterwards. It never blocks.
// Errors, after which m was not queued: ErrClosed; ErrFrameSize; ErrSlowPeer,
// which also closes the connection, since its peer waits for m in vain.
func (c *Conn) Send(m Message) error {
	err := c.offer(m, queueLen, maxQueueBytes)
	if errors.Is(err, errFull) {
		c.Close(ErrSlowPeer)
		return ErrSlowPeer
	}
	return err
}

// SendWait queues m like Send, but waits while half of the queue is taken; the
// other half is left to Send, whose messages can't wait.
// Errors: ErrClosed, ErrFrameSize, that of ctx.
func (c *Conn) SendWait(ctx context.Context, m Message) error {
	for {
		err := c.offer(m, queueLen/2, maxQueueBytes/2)
		if err == nil {
			c.signalRoom() // for the next one that waits
			return nil
		}
		if !errors.Is(err, errFull) {
			return err
		}
		select {
		case <-c.room:
		case <-c.done:
			return ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// offer queues m if the queue then holds no more than the bounds.
func (c *Conn) offer(m Message, messages int, bytes int64) error {
	size := int64(m.Msgsize())
	if size >= MaxFrameBytes {
		return ErrFrameSize
	}
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	if c.leaving.Load() {
		return ErrClosed
	}
	if c.queued.Add(size) > bytes || len(c.queue) >= messages {
		c.queued.Add(-size)
		return errFull
	}
	select {
	case c.queue <- m:
		return nil
	default:
		c.queued.Add(-size)
		return errFull
	}
}

// CloseAfterFlush refuses further messages, and closes the connection once
// every message queued so far is written and the peer has closed its end.
func (c *Conn) CloseAfterFlush() {
	if c.leaving.Swap(true) {
		return
	}
	select {
	case c.queue <- nil:
	default:
		c.Close(nil)
	}
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
			c.signalRoom()
		}
		if !c.flush(buf) {
			return
		}
		if last {
			c.closeWrite()
			return
		}
		if cap(buf) > keptScratch {
			buf = make([]byte, 0, bufferBytes)
		}
	}
}

// gather encodes m and what else is queued, up to about bufferBytes. last
// says that nothing is to be written after buf.
func (c *Conn) gather(buf []byte, m Message) (out []byte, last bool) {
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

// signalRoom wakes one SendWait, if one waits.
func (c *Conn) signalRoom() {
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// closeWrite tells the peer that nothing follows. The peer closes its end on
// that, and read then closes ours: closing at once, with input unread, would
// make the operating system drop what the peer has not received yet.
func (c *Conn) closeWrite() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.nc.SetReadDeadline(time.Now().Add(closeTimeout)) != nil {
		c.Close(nil)
	}
}

var _ interface{ CloseWrite() error } = (*net.TCPConn)(nil)
