// Package backend sends requests to backend servers over a pool of HTTP/1.1
// connections.
//
// It does not use net/http.Client, which hides three facts that a load balancer
// needs: whether a request may have been sent, so that it can be reported as not
// run; which request a response belongs to, since a server may send a late second
// response; and whether a response without a length is complete or was truncated.
package backend

import (
	"bufio"
	"context"
	"fmt"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/internal/duplex"
	"marjorampitch/internal/sockopt"
)

// Timeouts and sizes of connections to backend servers.
const (
	dialTimeout       = 600 * time.Millisecond // of running time; healthy servers accept within a few milliseconds
	tcpUserTimeout    = time.Second            // TCP_USER_TIMEOUT: a connection ends when sent data is unacknowledged this long
	keepAliveInterval = time.Second            // keep-alive idle time and interval between probes
	keepAliveCount    = 2                      // unacknowledged keep-alive probes that end a connection
	readBufferBytes   = 2 << 10
	// receiveBufferBytes is the size of a socket's buffer for what is not read yet. The
	// kernel's own choice grows to megabytes while answers are read quickly.
	receiveBufferBytes = 128 << 10
	maxIdlePerServer   = 12 // idle connections kept per server
	maxRefused         = 32 // refusals after which a connection is closed
	// defaultIdleTimeout applies if the server announces no Keep-Alive timeout. It is
	// short: a timeout of one second or more would be announced, so the server may
	// close idle connections sooner than that.
	defaultIdleTimeout = 300 * time.Millisecond
	// idleMargin is subtracted from an announced timeout, so that a connection is
	// not reused just as the server closes it.
	idleMargin = 700 * time.Millisecond
)

// ErrDial means that no connection could be opened, or that the time of the request was
// over before it was sent. Nothing was sent.
var ErrDial = eris.New("backend: no connection")

// ErrNoSocket is the cause of an ErrDial where the process may open no further connection.
// It says nothing about the server.
var ErrNoSocket = eris.New("backend: no socket left")

// Conn is a connection to a backend server. One request uses it at a time.
type Conn struct {
	*duplex.Conn
	br        *bufio.Reader
	address   string
	pool      *Pool
	closed    atomic.Bool
	reused    bool          // has served a request before
	refused   []uint64      // hashes of the ids of requests that were refused on it; maxRefused at most
	expiresAt time.Duration // on the clock of the Pool; not reused from then on
}

// reset closes the connection with a TCP reset, so that data which the server has
// not received, for example because its instance is frozen or partitioned, is not
// delivered later.
func (c *Conn) reset() {
	c.TCP().SetLinger(0) //nolint:errcheck // the connection is closed next
	c.Close()
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.pool.open.Add(-1)
	}
	return err
}

// Pool keeps idle connections by address. Set OnOpen and MaxOpen before the first use; the
// methods are safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	clock  func() time.Duration
	open   atomic.Int64 // connections, and dials underway

	mu   sync.Mutex // guards idle
	idle map[string][]*Conn

	OnOpen  func() // called after each new connection; may be nil
	MaxOpen int    // connections, idle ones included; 0 for no limit
}

// NewPool returns an empty pool. clock must be monotonic.
func NewPool(clock func() time.Duration) *Pool {
	return &Pool{
		dialer: net.Dialer{
			Control: sockopt.UserTimeout(tcpUserTimeout),
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
		clock: clock,
		idle:  make(map[string][]*Conn),
	}
}

// Get returns an idle connection that is open, has no unread data, and on which no request
// with the given id was refused: the server may write that refusal once more. If there is
// none, or if fresh is set, it opens a new connection. Error: ErrDial, wrapped.
func (p *Pool) Get(ctx context.Context, address, id string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.take(address, id)
		if c == nil {
			break
		}
		if p.clock() < c.expiresAt && c.br.Buffered() == 0 && sockopt.CanReuse(c.TCP()) {
			return c, nil
		}
		c.Close()
	}
	if !p.takeSocket() {
		return nil, fmt.Errorf("%w: %w", ErrNoSocket, ErrDial)
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	tcp := conn.(*net.TCPConn)
	tcp.SetReadBuffer(receiveBufferBytes) //nolint:errcheck // without it the kernel's own limits hold
	return &Conn{Conn: duplex.New(tcp), br: bufio.NewReaderSize(conn, readBufferBytes), address: address, pool: p}, nil
}

// takeSocket counts a connection that is to be opened. In favour of it, idle connections to
// any server are closed. It reports whether there is room.
func (p *Pool) takeSocket() bool {
	for p.open.Add(1) > int64(p.MaxOpen) && p.MaxOpen > 0 {
		p.open.Add(-1)
		c := p.takeAny()
		if c == nil {
			return false
		}
		c.Close()
	}
	return true
}

// takeAny removes and returns the idle connection that expires first; nil if there is none.
func (p *Pool) takeAny() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first *Conn
	for _, list := range p.idle {
		for _, c := range list {
			if first == nil || c.expiresAt < first.expiresAt {
				first = c
			}
		}
	}
	if first == nil {
		return nil
	}
	list := p.idle[first.address]
	at := slices.Index(list, first)
	p.idle[first.address] = slices.Delete(list, at, at+1)
	return first
}

// take removes and returns the most recently used idle connection on which no request with
// the given id was refused, or nil.
func (p *Pool) take(address, id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, hash := p.idle[address], hashID(id)
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.refused, hash) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// idSeed is the seed of hashID.
var idSeed = maphash.MakeSeed()

// hashID returns a hash of the id of a request. Ids are given by callers and may be long.
func hashID(id string) uint64 { return maphash.String(idSeed, id) }

// Put returns c to the pool for up to idle. The caller must have read the complete
// response. c is closed if it has unread data, has had maxRefused refusals, or the pool for
// its address is full.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	if c.br.Buffered() > 0 || idle <= 0 || len(c.refused) >= maxRefused {
		c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.expiresAt = p.clock() + idle
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerServer {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes expired idle connections.
func (p *Pool) Sweep() {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.expiresAt {
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
