// Package outbuf lets a server write to connections whose peers read slowly without
// waiting for them.
//
// A write passes to the socket what it accepts at once. The rest is held, within a
// budget that all connections share, and written by a goroutine that runs only while
// something is held. Without room in the budget a write waits for the peer.
package outbuf

import (
	"net"
	"sync"
	"syscall"
	"time"

	"marjorampitch/admit"
)

// Buffers are the buffers of the connections of a process. They are safe for
// concurrent use.
type Buffers struct {
	clock func() time.Duration
	// OnCut is called for each connection that is ended because its peer did not read
	// what was held for it: with the bytes held, and the time without progress. It may
	// be nil. Set it before the first use.
	OnCut func(Cut)

	mu     sync.Mutex // guards the fields below
	budget *admit.BufferBudget
	conns  map[uint64]*Conn // those that hold bytes
	nextID uint64
}

// Cut describes a connection that was ended because its peer did not read.
type Cut struct {
	Peer   string        // address
	Held   int64         // bytes
	Unread time.Duration // without progress
	Reason error         // ErrEvicted, or the error of the connection
}

// New returns buffers that share a budget. clock must be monotonic.
func New(budget *admit.BufferBudget, clock func() time.Duration) *Buffers {
	return &Buffers{clock: clock, budget: budget, conns: make(map[uint64]*Conn)}
}

// Listener returns a listener whose connections use b. Connections without a file
// descriptor are left as they are.
func (b *Buffers) Listener(ln net.Listener) net.Listener { return &listener{ln, b} }

type listener struct {
	net.Listener
	buffers *Buffers
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return c, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return c, nil //nolint:nilerr // a connection that has ended already
	}
	return newConn(c, raw, l.buffers), nil
}

// Reserve takes n bytes of the budget for something that is not held for a connection.
// It reports whether it did.
func (b *Buffers) Reserve(n int64) bool {
	b.mu.Lock()
	ok, evicted := b.budget.Reserve(n, b.clock())
	cut := b.removed(evicted)
	b.mu.Unlock()
	b.abort(cut)
	return ok
}

// Release returns n bytes taken by Reserve.
func (b *Buffers) Release(n int64) {
	b.mu.Lock()
	b.budget.Release(n)
	b.mu.Unlock()
}

// Used returns the bytes of the budget in use and the number of connections that hold some.
func (b *Buffers) Used() (bytes int64, conns int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Used()
}

// Sample records the connections whose peers have read from what their sockets hold.
// It is called about every second: the socket itself reports late that it has room.
func (b *Buffers) Sample() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for id, c := range b.conns {
		if c.peerHasRead() {
			b.budget.Progress(id, 0, now)
		}
	}
}

// hold takes n bytes for a connection and reports whether it did.
func (b *Buffers) hold(c *Conn, n int64) bool {
	b.mu.Lock()
	if c.id == 0 {
		b.nextID++
		c.id = b.nextID
	}
	ok, evicted := b.budget.Hold(c.id, n, b.clock())
	cut := b.removed(evicted)
	if ok {
		b.conns[c.id] = c
	}
	b.mu.Unlock()
	b.abort(cut)
	return ok
}

// progress records that the peer of a connection has taken bytes, and returns n bytes
// to the budget.
func (b *Buffers) progress(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Progress(c.id, n, b.clock())
	if held, _ := b.budget.Holding(c.id); held == 0 {
		delete(b.conns, c.id)
	}
}

// failed removes a connection that has ended with err.
func (b *Buffers) failed(c *Conn, err error) {
	b.mu.Lock()
	held, at := b.budget.Holding(c.id)
	b.budget.Drop(c.id)
	delete(b.conns, c.id)
	unread := b.clock() - at
	b.mu.Unlock()
	if held > 0 && b.OnCut != nil && !peerLeft(err) && !c.Evicted() {
		b.OnCut(Cut{Peer: c.RemoteAddr().String(), Held: held, Unread: unread, Reason: err})
	}
}

// removed returns the connections that were evicted and forgets them. Callers hold mu.
func (b *Buffers) removed(evicted []uint64) []*Conn {
	var list []*Conn
	for _, id := range evicted {
		list = append(list, b.conns[id])
		delete(b.conns, id)
	}
	return list
}

// abort ends evicted connections. Callers do not hold mu.
func (b *Buffers) abort(evicted []*Conn) {
	for _, c := range evicted {
		held := c.abort()
		if b.OnCut != nil {
			b.OnCut(Cut{Peer: c.RemoteAddr().String(), Held: held, Unread: admit.BufferStall, Reason: ErrEvicted})
		}
	}
}
