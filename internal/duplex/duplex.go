// Package duplex provides TCP connections that are read while they are written, as those to
// a server are that answers before it has read the whole request.
package duplex

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"marjorampitch/internal/sockopt"
)

// Conn is a TCP connection whose reader learns how it has ended. The kernel reports a reset
// once: if a write is told, reads return io.EOF, as if the peer had closed the connection
// after its last byte. Read returns the error of that write instead.
type Conn struct {
	net.Conn // has no ReadFrom or WriteTo, which would pass by Read and Write
	tcp      *net.TCPConn

	writing sync.Mutex // held while a write is underway; guards failure
	failure error      // of the first write that failed on a connection that the peer had not closed
}

// New returns a Conn over c.
func New(c *net.TCPConn) *Conn { return &Conn{Conn: c, tcp: c} }

// TCP returns the connection itself, to set options. It must not be read or written.
func (c *Conn) TCP() *net.TCPConn { return c.tcp }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && !sockopt.ClosedByPeer(c.tcp) {
		err = c.endCause()
	}
	return n, err
}

// endCause returns how a connection has ended that was reset. A write that is underway has
// been, or is, told at once.
func (c *Conn) endCause() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// EPIPE: the peer had closed the connection before it was reset, and sent all it had.
	if err != nil && c.failure == nil && !errors.Is(err, syscall.EPIPE) {
		c.failure = err
	}
	return n, err
}
