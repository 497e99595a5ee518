// Package callerconn keeps the connections of callers within the descriptors and the memory
// that a process may spend on them.
//
// All listeners of a process share one Conns. Each connection takes a descriptor and some
// memory; requests that are read and answers that are not read take more. Where nothing is
// left, admit.ConnBudget decides which connections yield, and they are ended.
//
// Writes to peers that read slowly do not wait for them: a write passes to the socket what
// it accepts at once, and the rest is held and written by a goroutine that runs only while
// something is held. Without room in the budget a write waits for the peer.
package callerconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marjorampitch/admit"
)

const (
	// ConnBytes is the memory that an open connection takes by itself: the stacks of its
	// goroutines, the buffers of http.Server, the head of an ordinary request, and what its
	// socket holds unread.
	ConnBytes = 24<<10 + headBytes + receiveBufferBytes
	// headBytes is the part of it for the head of a request. What a head takes beyond that
	// is held for the request.
	headBytes = 8 << 10
	// receiveBufferBytes is the size of a socket's receive buffer. Bytes that wait in it are
	// memory of the instance, too.
	receiveBufferBytes = 16 << 10
)

// Conns are the connections of callers of a process. They are safe for concurrent use.
type Conns struct {
	clock func() time.Duration
	// OnCut is called for each connection that is ended because its peer did not read
	// what was held for it: with the bytes held, and the time without progress. It may
	// be nil. Set it before the first use.
	OnCut func(Cut)
	// OnYield is called for each other connection that is ended in favour of others, for
	// each that is not accepted, and for each that reports a refusal with Conn.Refused. It
	// may be nil. Set it before the first use.
	OnYield func(Yield)

	mu     sync.Mutex // guards the fields below
	budget *admit.ConnBudget
	conns  map[uint64]*Conn // those that are open or hold bytes
	nextID uint64
	// refusing is the number of connections that have yielded and are open still, because
	// their requests are being refused.
	refusing int
}

// maxRefusing bounds the connections that are open beyond the budget. Further ones that yield
// are closed without a refusal.
const maxRefusing = 64

// Cut describes a connection that was ended because its peer did not read.
type Cut struct {
	Peer   string        // address
	Held   int64         // bytes
	Unread time.Duration // without progress
	Reason error         // ErrEvicted, or the error of the connection
}

// Yield describes a connection that was ended in favour of others or because of a limit.
type Yield struct {
	Peer  string // address
	Cause YieldCause
}

// YieldCause is why a connection was ended.
type YieldCause string

// Values of YieldCause.
const (
	YieldNotAccepted YieldCause = "not-accepted" // no connection could yield to a new one
	YieldHead        YieldCause = "head"         // the head of its request was not whole
	YieldIdle        YieldCause = "idle"
	YieldAnswered    YieldCause = "answered"  // its request had been answered, but not read to its end
	YieldBody        YieldCause = "body"      // the body of its request did not arrive
	YieldUnread      YieldCause = "unread"    // its answer was not read; reported by Conns.OnCut instead
	YieldLongHead    YieldCause = "long-head" // the head of its request is over the limit
	YieldNoRoom      YieldCause = "no-room"   // no connection could yield to its request
	YieldBusy        YieldCause = "busy"      // the process answers as many requests of this kind as it may
)

// yieldCauses are the causes by the stage in which a connection yields.
var yieldCauses = map[admit.ConnStage]YieldCause{
	admit.StageHead: YieldHead, admit.StageIdle: YieldIdle, admit.StageDone: YieldAnswered, admit.StageBody: YieldBody,
}

// Listen listens for callers on address. control, if not nil, sets further options of the
// sockets. Errors: those of net.ListenConfig.Listen.
func Listen(ctx context.Context, address string, control func(network, address string, c syscall.RawConn) error) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(network, address string, c syscall.RawConn) error {
		// Connections inherit the size from the listener. A kernel that refuses it uses its own.
		c.Control(func(fd uintptr) { //nolint:errcheck // see above
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) //nolint:errcheck // see above
		})
		if control == nil {
			return nil
		}
		return control(network, address, c)
	}}
	return lc.Listen(ctx, "tcp", address)
}

// New returns connections that share a budget. clock must be monotonic.
func New(budget *admit.ConnBudget, clock func() time.Duration) *Conns {
	return &Conns{clock: clock, budget: budget, conns: make(map[uint64]*Conn)}
}

// Listener returns a listener whose connections belong to b. Connections for which there is
// no room are closed. Connections without a file descriptor are left as they are.
func (b *Conns) Listener(ln net.Listener) net.Listener { return &listener{ln, b} }

type listener struct {
	net.Listener
	all *Conns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
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
		if accepted := newConn(c, raw, l.all); l.all.open(accepted) {
			return accepted, nil
		}
		c.Close()
		l.all.yielded(Yield{c.RemoteAddr().String(), YieldNotAccepted})
	}
}

// Reserve takes n bytes of the budget for something that is not held for a connection.
// It reports whether it did.
func (b *Conns) Reserve(n int64) bool {
	return b.take(nil, func(now time.Duration) (bool, []uint64) { return b.budget.Reserve(n, now) })
}

// Release returns n bytes taken by Reserve.
func (b *Conns) Release(n int64) {
	b.mu.Lock()
	b.budget.Release(n)
	b.mu.Unlock()
}

// Used returns the bytes of the budget in use and the number of connections that hold some.
func (b *Conns) Used() (bytes int64, conns int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Used()
}

// Sample records the connections whose peers have read from what their sockets hold.
// It is called about every second: the socket itself reports late that it has room.
func (b *Conns) Sample() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for id, c := range b.conns {
		if c.Held() > 0 && c.peerHasRead() {
			b.budget.Progress(id, 0, now)
		}
	}
}

// open adds a connection and reports whether there is room for it.
func (b *Conns) open(c *Conn) bool {
	return b.take(c, func(now time.Duration) (bool, []uint64) {
		b.nextID++
		c.id = b.nextID
		return b.budget.Open(c.id, now)
	})
}

// closed removes a connection that has been closed.
func (b *Conns) closed(c *Conn) {
	b.mu.Lock()
	b.budget.Drop(c.id)
	delete(b.conns, c.id)
	if c.refusing {
		c.refusing = false
		b.refusing--
	}
	b.mu.Unlock()
}

// take calls from, which takes something of the budget for c, or for no connection if c is
// nil, and ends the connections that yield to it. It reports whether there was room.
func (b *Conns) take(c *Conn, from func(now time.Duration) (ok bool, yielded []uint64)) bool {
	b.mu.Lock()
	ok, yielded := from(b.clock())
	ended := b.removed(yielded)
	if ok && c != nil {
		b.conns[c.id] = c
	}
	b.mu.Unlock()
	b.abort(ended)
	return ok
}

// setStage records what c is used for. It returns false if c has yielded.
func (b *Conns) setStage(c *Conn, s admit.ConnStage) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.stage = s
	return b.budget.SetStage(c.id, s, b.clock())
}

// hold takes n bytes for the answer of a connection and reports whether it did.
func (b *Conns) hold(c *Conn, n int64) bool {
	return b.take(c, func(now time.Duration) (bool, []uint64) { return b.budget.Hold(c.id, n, now) })
}

// progress records that the peer of a connection has taken bytes, and returns n bytes
// to the budget.
func (b *Conns) progress(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Progress(c.id, n, b.clock())
}

// failed removes a connection that has ended with err.
func (b *Conns) failed(c *Conn, err error) {
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

// yielding is a connection that has yielded and is to be ended.
type yielding struct {
	*Conn
	stage  admit.ConnStage // when it yielded
	refuse bool            // its request is refused first
}

// removed returns the connections that yielded and forgets them. Callers hold mu.
func (b *Conns) removed(evicted []uint64) []yielding {
	var list []yielding
	for _, id := range evicted {
		c := b.conns[id]
		if c.stage == admit.StageBody && b.refusing < maxRefusing {
			c.refusing = true
			b.refusing++
		}
		list = append(list, yielding{c, c.stage, c.refusing})
		delete(b.conns, id)
	}
	return list
}

// abort ends connections that yielded. Callers do not hold mu.
func (b *Conns) abort(evicted []yielding) {
	for _, y := range evicted {
		if held := y.Held(); held > 0 {
			y.Conn.abort()
			if b.OnCut != nil {
				b.OnCut(Cut{Peer: y.RemoteAddr().String(), Held: held, Unread: admit.Stall, Reason: ErrEvicted})
			}
			continue
		}
		y.finish()
		b.yielded(Yield{y.RemoteAddr().String(), yieldCauses[y.stage]})
	}
}

// yielded reports a connection that was ended in favour of others.
func (b *Conns) yielded(y Yield) {
	if b.OnYield != nil {
		b.OnYield(y)
	}
}
