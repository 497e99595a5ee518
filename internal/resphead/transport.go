package resphead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Conn is a connection to a server on which the heads of responses are checked. After an
// error of Checker nothing more is read.
type Conn struct {
	net.Conn
	expected atomic.Bool // the next byte read begins the head of a response
	checker  Checker     // used by Read alone
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// Expect has the next byte that arrives begin the head of a response. It is called before the
// request is sent, when the response before it has been read.
func (c *Conn) Expect() { c.expected.Store(true) }

// Read implements net.Conn. Errors: those of Checker, too.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.checker.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if c.expected.Swap(false) {
		c.checker.Expect()
	}
	if n, malformed := c.checker.Check(p[:n]); malformed != nil {
		return n, malformed
	}
	return n, err
}

// Transport is an http.Transport whose connections are Conns, or implement Expect as they do.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that has t dial Conns.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(interface{ Expect() }); ok {
			c.Expect()
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
