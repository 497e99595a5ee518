package callerconn

import (
	"time"

	"marjorampitch/admit"
)

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// BeginHead records that a part of the head of a request has been read.
func (c *Conn) BeginHead() { c.all.setStage(c, admit.StageHead) }

// Head records that the head of a request takes n bytes so far, and reports whether there is
// room for them.
func (c *Conn) Head(n int64) bool { return n <= headBytes || c.setRequest(n-headBytes) }

// AddRequest takes n more bytes for the request that is read, and reports whether there is
// room for them.
func (c *Conn) AddRequest(n int64) bool {
	return c.all.take(c, func(now time.Duration) (bool, []uint64) { return c.all.budget.AddRequest(c.id, n, now) })
}

// BeginRequest records that the head of a request has been read, which takes n bytes. It
// returns false if there is no room for it or the connection has yielded; the request must
// not be served then.
func (c *Conn) BeginRequest(n int64) bool {
	return c.all.setStage(c, admit.StageRequest) && c.setRequest(max(0, n-headBytes))
}

// BeginBody records that the body of the request is read.
func (c *Conn) BeginBody() { c.all.setStage(c, admit.StageBody) }

// Received records that n bytes of the body have arrived.
func (c *Conn) Received(n int64) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.all.budget.Received(c.id, n, c.all.clock())
}

// EndBody records that the body has been read. It returns false if the connection has
// yielded; the request must not be passed on then.
func (c *Conn) EndBody() bool { return c.all.setStage(c, admit.StageRequest) }

// Served records that the request is passed on to a server.
func (c *Conn) Served() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.all.budget.Served(c.id)
}

// EndRequest records that the request has been served, and that only its head of n bytes is
// still held. The rest of its body may be read still.
func (c *Conn) EndRequest(n int64) {
	c.setRequest(max(0, n-headBytes))
	c.all.setStage(c, admit.StageDone)
}

// Refused reports that a request was refused because of a limit, and that the connection ends
// therefore.
func (c *Conn) Refused(cause YieldCause) { c.all.yielded(Yield{c.RemoteAddr().String(), cause}) }

// Idle records that the next request is awaited.
func (c *Conn) Idle() {
	c.setRequest(0)
	c.all.setStage(c, admit.StageIdle)
}

func (c *Conn) setRequest(n int64) bool {
	return c.all.take(c, func(now time.Duration) (bool, []uint64) { return c.all.budget.SetRequest(c.id, n, now) })
}

// finish ends the connection. While the body of a request is read, the server may refuse the
// request first; otherwise nothing is owed to the peer. It does not take mu: a connection ends
// another one with its own mu held.
func (y yielding) finish() {
	if y.refuse {
		y.endReads()
		return
	}
	y.Conn.Conn.Close()
}

// endReads makes reads fail with os.ErrDeadlineExceeded from now on.
func (c *Conn) endReads() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.readEnded = true
	c.Conn.SetReadDeadline(longAgo) //nolint:errcheck // a closed connection has no deadline
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.readEnded {
		at = longAgo
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(at)
}
