// Package backend sends requests to backend servers over HTTP/1.1 connections
// that it keeps itself.
//
// It goes beneath net/http's client, because a load balancer must know what
// that client hides: whether a request has left, so that "not run" is true;
// which request an answer belongs to, since a second answer may arrive late;
// and whether an answer without a length has ended or was cut off.
package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/internal/sockopt"
)

// Timing and sizes of connections to backend servers.
const (
	dialTimeout = 600 * time.Millisecond // a healthy server accepts within some ms
	userTimeout = time.Second            // unacknowledged bytes for this long end a connection
	keepProbe   = time.Second            // between probes of a silent connection
	keepCount   = 2                      // probes without an answer that end it
	readBuffer  = 2 << 10
	maxIdle     = 12 // connections kept for one server
	// unstatedIdle is for how long a connection is kept whose server states no
	// timeout: one of a second or more would be stated.
	unstatedIdle = 300 * time.Millisecond
	// idleMargin is left of a stated timeout when a connection is used again.
	idleMargin = 700 * time.Millisecond
)

// ErrDial says that no connection could be opened: nothing was sent.
var ErrDial = eris.New("backend: no connection")

// Conn is one connection, used by one request at a time.
type Conn struct {
	net.Conn
	br      *bufio.Reader
	address string
	expires time.Duration // not to be used again from then on
}

// drop resets the connection: what has not reached the server yet, as when its
// instance is frozen or cut off, is not delivered later.
func (c *Conn) drop() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // it is closed next
	}
	c.Close()
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	clock  func() time.Duration

	mu   sync.Mutex // guards idle
	idle map[string][]*Conn

	OnOpen func() // called for each connection opened; may be nil
}

// NewPool returns an empty pool; clock is monotonic.
func NewPool(clock func() time.Duration) *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			Control: sockopt.UserTimeout(userTimeout),
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepProbe, Interval: keepProbe, Count: keepCount,
			},
		},
		clock: clock,
		idle:  make(map[string][]*Conn),
	}
}

// Get returns a connection: an idle one that is open and holds no stray
// bytes, unless fresh is asked for, else a new one. Error: ErrDial, wrapped.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if p.clock() < c.expires && c.br.Buffered() == 0 && sockopt.Quiet(c.Conn.(*net.TCPConn)) {
			return c, nil
		}
		c.Close()
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(ErrDial, err.Error())
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	return &Conn{Conn: conn, br: bufio.NewReaderSize(conn, readBuffer), address: address}, nil
}

// take removes the connection that was used last.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Put keeps a connection for up to idle after a whole answer.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	if c.br.Buffered() > 0 || idle <= 0 {
		c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.expires = p.clock() + idle
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the connections that are not to be used again.
func (p *Pool) Sweep() {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.expires {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}
