// Package pipetest provides a listener whose connections are in-memory pipes, so that
// tests of servers run in virtual time.
package pipetest

import (
	"net"
	"sync"
	"time"
)

// Listener is a net.Listener for connections made by Dial.
type Listener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// NewListener returns an open Listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial waits until the listener accepts a connection and returns its two ends.
func (l *Listener) Dial() (client net.Conn, server *SlowConn) {
	client, accepted := net.Pipe()
	server = &SlowConn{Conn: accepted}
	l.conns <- server
	return client, server
}

// SlowConn is the server's end of a connection. The process may stall for Stall after
// it has read data from the socket, before the data is handled. Stall must not be
// changed while data is on its way.
type SlowConn struct {
	net.Conn
	Stall time.Duration
}

// Read implements net.Conn.
func (c *SlowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.Stall)
	}
	return n, err
}
