package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// callerConns tracks the connections of callers. It closes idle ones without ever
// closing one from which a request has been read: http.Server reports a connection
// as idle until it has parsed the head of the next request, which is too late. It is
// safe for concurrent use.
type callerConns struct {
	mu   sync.Mutex // guards open; callerConn.mu may be taken while it is held
	open map[*callerConn]struct{}
}

func newCallerConns() *callerConns { return &callerConns{open: make(map[*callerConn]struct{})} }

// listener returns a listener that tracks the connections accepted from ln.
func (t *callerConns) listener(ln net.Listener) net.Listener { return &trackedListener{ln, t} }

// stateChanged implements http.Server.ConnState.
func (t *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	c := conn.(*callerConn)
	switch state {
	case http.StateIdle:
		c.setIdle(time.Now())
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.open, c)
		t.mu.Unlock()
	}
}

// expireIdle ends the connections that have been idle for longer than limit. It
// returns their number and the longest time that one was idle.
func (t *callerConns) expireIdle(limit time.Duration) (n int, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for c := range t.open {
		if idle, expired := c.expire(now, limit); expired {
			n++
			longest = max(longest, idle)
		}
	}
	return n, longest
}

// count returns the number of open connections.
func (t *callerConns) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// trackedListener adds accepted connections to a callerConns.
type trackedListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, idleSince: time.Now()}
	l.conns.mu.Lock()
	l.conns.open[c] = struct{}{}
	l.conns.mu.Unlock()
	return c, nil
}

// callerConn is a connection of a caller. It is idle from the end of a response, or
// from its start, until the first byte of the next request has been read.
type callerConn struct {
	net.Conn

	mu        sync.Mutex // guards the fields below
	idleSince time.Time  // zero while a request is read or answered
	expired   bool       // a read deadline in the past ends the connection
}

// Read implements net.Conn. A read that returns data withdraws an expiry that came
// at the same time, so that the request is answered.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idleSince = time.Time{}
		if c.expired {
			c.expired = false
			return n, c.Conn.SetReadDeadline(time.Time{})
		}
	}
	return n, err
}

// CloseWrite implements the half-close that http.Server uses before it closes a
// connection with unread data.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

func (c *callerConn) setIdle(now time.Time) {
	c.mu.Lock()
	c.idleSince = now
	c.mu.Unlock()
}

// expire ends the connection if it has been idle for longer than limit. It does so
// by a read deadline instead of Close: a read that has returned data already is not
// affected, and one that has not leaves the request unread.
func (c *callerConn) expire(now time.Time, limit time.Duration) (idle time.Duration, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return 0, false
	}
	idle = now.Sub(c.idleSince)
	if idle <= limit {
		return idle, false
	}
	first := !c.expired
	// http.Server resets the deadline when it begins to wait for the next request,
	// so the deadline is set again at each call.
	c.expired = c.Conn.SetReadDeadline(longAgo) == nil
	return idle, first && c.expired
}
