package admit

import (
	"cmp"
	"slices"
	"time"
)

// Stall is the time without progress after which a connection whose request is read, or
// whose answer is not, yields to others.
const Stall = 2 * time.Second

const (
	// headGrace is the time for which a connection without a whole head counts as new.
	headGrace = 500 * time.Millisecond
	// sendTime is how long a connection whose request has been served does not yield, so that
	// its answer is sent.
	sendTime = 100 * time.Millisecond
	// progressStep is the resolution at which times without progress are compared. Of
	// connections in one step, the one that holds most yields first.
	progressStep = time.Second
	// largeShare is the share of the bytes that large requests may take together. The rest
	// is left to requests that are not large.
	largeShare = 0.75
	// largeBytes is the size from which on a request counts as large.
	largeBytes = 32 << 10
	// bodyProgressShare is the part of what a request holds that must arrive of its body to
	// count as progress.
	bodyProgressShare = 1.0 / 16
)

// ConnLimits are the limits of a ConnBudget. A limit of 0 means that there is none, but for
// Bytes and UnreadPerConn.
type ConnLimits struct {
	Conns         int   // open connections
	Bytes         int64 // held for all connections
	BytesPerConn  int64 // that an open connection takes by itself
	UnreadPerConn int64 // of answers that the peer of one connection has not read
	Unread        int64 // of answers that peers have not read
}

// ConnStage is what a connection is used for.
type ConnStage uint8

// Stages of a connection.
const (
	StageHead    ConnStage = iota // the head of a request is awaited or read
	StageIdle                     // no part of a further request has been read
	StageBody                     // the body of a request is read
	StageRequest                  // a request is served
	StageDone                     // a request has been served; its answer is sent
)

// ConnBudget shares the descriptors and the memory that connections of callers may take,
// and decides which connections yield when there is no room for another or for more.
//
// Connections yield in this order:
//
//  1. those without a whole head of a request, unless they are new
//  2. idle ones of which no request was passed on to a server
//  3. those that have been answered and still send the rest of a body
//  4. whichever are most: those without progress for Stall, in a body or an answer; new ones
//     without a whole head; other idle ones. A crowd is of one kind, mostly, and clients of
//     the others need not yield to it.
//
// Among equal ones the longest without progress yields first, then the one that holds most.
// What is reserved without a connection, and requests that are served, never yield.
//
// It is a pure state machine and not safe for concurrent use. A connection that yields is
// removed at once; the caller must end it.
type ConnBudget struct {
	limits ConnLimits
	used   int64 // bytes held and reserved, without BytesPerConn
	unread int64 // a part of used
	large  int64 // a part of used
	open   int   // connections that were opened
	conns  map[uint64]*budgetConn
}

// budgetConn is one connection in a ConnBudget.
type budgetConn struct {
	opened     bool // by Open; otherwise it only holds an answer
	stage      ConnStage
	served     bool          // a request has been passed on to a server
	request    int64         // bytes of the request
	received   int64         // bytes of the body since the last progress
	unread     int64         // bytes of answers
	progressAt time.Duration // or the start of the stage
}

// large returns the part of a request's bytes that counts as large.
func large(request int64) int64 { return max(0, request-largeBytes) }

// need is what is missing; what is not positive is there.
type need struct {
	conns                int
	bytes, large, unread int64
}

func (n need) met() bool { return n.conns <= 0 && n.bytes <= 0 && n.large <= 0 && n.unread <= 0 }

// Shares of a process's memory and sockets that callers' connections may take. The rest is
// for connections to servers, the store and other instances, and for all other work.
const (
	connMemoryShare    = 0.4
	connSocketShare    = 0.5
	unreadShare        = 0.5      // of the memory of connections, for all unread answers
	unreadPerConnShare = 0.125    // of the same, for the answers of one connection
	defaultConnMemory  = 64 << 20 // bytes
)

// NewConnLimits returns the limits for a process with this memory in bytes, 0 for
// an unknown one, and this number of sockets, 0 for no limit. bytesPerConn is what an
// open connection takes by itself.
func NewConnLimits(memory int64, sockets int, bytesPerConn int64) ConnLimits {
	bytes := int64(connMemoryShare * float64(memory))
	if bytes <= 0 {
		bytes = defaultConnMemory
	}
	l := ConnLimits{
		Bytes: bytes, BytesPerConn: bytesPerConn,
		Unread: int64(unreadShare * float64(bytes)), UnreadPerConn: int64(unreadPerConnShare * float64(bytes)),
	}
	if sockets > 0 {
		l.Conns = max(1, int(connSocketShare*float64(sockets)))
	}
	return l
}

// NewConnBudget returns a budget with these limits.
func NewConnBudget(l ConnLimits) *ConnBudget {
	if l.Unread <= 0 {
		l.Unread = l.Bytes
	}
	return &ConnBudget{limits: l, conns: make(map[uint64]*budgetConn)}
}

// Open adds a connection in StageHead and reports whether there is room for it. Connections
// in yielded have been removed for it and must be ended.
func (b *ConnBudget) Open(id uint64, now time.Duration) (ok bool, yielded []uint64) {
	n := need{bytes: b.missing(b.limits.BytesPerConn)}
	if b.limits.Conns > 0 {
		n.conns = b.open + 1 - b.limits.Conns
	}
	if ok, yielded = b.makeRoom(n, now); ok {
		b.conns[id] = &budgetConn{opened: true, progressAt: now}
		b.open++
	}
	return ok, yielded
}

// SetStage records what an open connection is used for. It returns false if the connection
// has yielded; its request must not be passed on then.
func (b *ConnBudget) SetStage(id uint64, s ConnStage, now time.Duration) bool {
	c := b.conns[id]
	if c == nil || !c.opened {
		return false
	}
	c.stage, c.progressAt, c.received = s, now, 0
	return true
}

// Served records that a request of a connection is passed on to a server.
func (b *ConnBudget) Served(id uint64) {
	if c := b.conns[id]; c != nil {
		c.served = true
	}
}

// SetRequest sets the bytes that the request of an open connection holds, and reports
// whether there is room for them. It returns false also if the connection has yielded, which
// may happen in this call. Connections in yielded must be ended.
func (b *ConnBudget) SetRequest(id uint64, bytes int64, now time.Duration) (ok bool, yielded []uint64) {
	c := b.conns[id]
	if c == nil || !c.opened {
		return false, nil
	}
	more, moreLarge := bytes-c.request, large(bytes)-large(c.request)
	if more > 0 {
		ok, yielded = b.makeRoom(need{bytes: b.missing(more), large: b.large + moreLarge - b.maxLarge()}, now)
		if !ok || b.conns[id] == nil {
			return false, yielded
		}
	}
	c.request = bytes
	b.used += more
	b.large += moreLarge
	return true, yielded
}

// AddRequest is SetRequest with n bytes more than the request holds.
func (b *ConnBudget) AddRequest(id uint64, n int64, now time.Duration) (ok bool, yielded []uint64) {
	c := b.conns[id]
	if c == nil {
		return false, nil
	}
	return b.SetRequest(id, c.request+n, now)
}

// Received records that n bytes of the body of a request have arrived. It returns false if
// the connection has yielded.
func (b *ConnBudget) Received(id uint64, n int64, now time.Duration) bool {
	c := b.conns[id]
	if c == nil {
		return false
	}
	c.received += n
	if float64(c.received) >= bodyProgressShare*float64(c.request) {
		c.progressAt, c.received = now, 0
	}
	return true
}

// Reserve takes n bytes without a connection and reports whether it did. Connections in
// evicted have been removed for it and must be ended.
func (b *ConnBudget) Reserve(n int64, now time.Duration) (ok bool, evicted []uint64) {
	if ok, evicted = b.makeRoom(need{bytes: b.missing(n)}, now); ok {
		b.used += n
	}
	return ok, evicted
}

// Release returns n bytes taken by Reserve.
func (b *ConnBudget) Release(n int64) { b.used -= n }

// Hold takes n bytes for the answer of a connection and reports whether it did. Connections
// in evicted, which may include this one, have been removed for it and must be ended.
func (b *ConnBudget) Hold(id uint64, n int64, now time.Duration) (ok bool, evicted []uint64) {
	c := b.conns[id]
	if c != nil && c.unread+n > b.limits.UnreadPerConn || n > b.limits.UnreadPerConn {
		return false, nil
	}
	ok, evicted = b.makeRoom(need{bytes: b.missing(n), unread: b.unread + n - b.limits.Unread}, now)
	if !ok || c != nil && b.conns[id] == nil {
		return false, evicted
	}
	if c == nil {
		c = &budgetConn{progressAt: now}
		b.conns[id] = c
	}
	if c.unread == 0 {
		c.progressAt = now
	}
	c.unread += n
	b.used += n
	b.unread += n
	return true, evicted
}

// Progress records that the peer of a connection has taken bytes of its answer, and returns
// n bytes of it to the budget.
func (b *ConnBudget) Progress(id uint64, n int64, now time.Duration) {
	c := b.conns[id]
	if c == nil {
		return
	}
	c.progressAt = now
	n = min(n, c.unread) // a connection that was evicted and holds again may return bytes of before
	c.unread -= n
	b.used -= n
	b.unread -= n
	if c.unread <= 0 && !c.opened {
		delete(b.conns, id)
	}
}

// Drop removes a connection and returns all that it holds to the budget.
func (b *ConnBudget) Drop(id uint64) {
	c := b.conns[id]
	if c == nil {
		return
	}
	delete(b.conns, id)
	b.used -= c.request + c.unread
	b.large -= large(c.request)
	b.unread -= c.unread
	if c.opened {
		b.open--
	}
}

// Used returns the bytes that are held or reserved, and the number of connections whose
// peers have not read their answers.
func (b *ConnBudget) Used() (bytes int64, unread int) {
	for _, c := range b.conns {
		if c.unread > 0 {
			unread++
		}
	}
	return b.used, unread
}

// Holding returns the bytes of a connection's answers, and when it last made progress.
func (b *ConnBudget) Holding(id uint64) (bytes int64, progressAt time.Duration) {
	if c := b.conns[id]; c != nil {
		return c.unread, c.progressAt
	}
	return 0, 0
}

// missing returns the bytes that must be freed for n more.
func (b *ConnBudget) missing(n int64) int64 {
	return b.used + b.limits.BytesPerConn*int64(b.open) + n - b.limits.Bytes
}

func (b *ConnBudget) maxLarge() int64 { return int64(largeShare * float64(b.limits.Bytes)) }

// yieldGroup is a group of connections that yield one after the other.
type yieldGroup uint8

const (
	yieldsHead    yieldGroup = iota // no whole head of a request
	yieldsUnknown                   // idle, no request of it was passed on
	yieldsDone                      // its request has been answered, but not read to its end
	yieldsStalled                   // its body does not arrive, or its peer does not read
	yieldsNew                       // no whole head of a request, but not for long
	yieldsIdle                      // idle
	yieldsNever
	yieldGroups = iota
)

// group returns the group of a connection.
func (c *budgetConn) group(now time.Duration) yieldGroup {
	age := now - c.progressAt
	switch {
	case c.unread > 0 && age >= Stall:
		return yieldsStalled
	case c.unread > 0 || !c.opened:
		return yieldsNever
	case c.stage == StageHead && age >= headGrace:
		return yieldsHead
	case c.stage == StageHead:
		return yieldsNew
	case c.stage == StageIdle && !c.served:
		return yieldsUnknown
	case c.stage == StageIdle:
		return yieldsIdle
	case c.stage == StageDone && age >= sendTime:
		return yieldsDone
	case c.stage == StageBody && age >= Stall:
		return yieldsStalled
	default:
		return yieldsNever
	}
}

// yieldOrder is the place of each group in the order.
type yieldOrder [yieldGroups]int

// order returns the order in which groups yield now.
func (b *ConnBudget) order(now time.Duration) (o yieldOrder) {
	var size [yieldGroups]int
	for _, c := range b.conns {
		size[c.group(now)]++
	}
	for g := range o {
		o[g] = g
	}
	bySize := []yieldGroup{yieldsStalled, yieldsNew, yieldsIdle}
	slices.SortStableFunc(bySize, func(x, y yieldGroup) int { return cmp.Compare(size[y], size[x]) })
	for i, g := range bySize {
		o[g] = int(yieldsStalled) + i
	}
	return o
}

// frees returns n without what a connection frees when it yields.
func (b *ConnBudget) frees(c *budgetConn, n need) need {
	n.bytes -= c.request + c.unread
	n.large -= large(c.request)
	n.unread -= c.unread
	if c.opened {
		n.conns--
		n.bytes -= b.limits.BytesPerConn
	}
	return n
}

// helps reports whether a connection frees something of what is missing.
func (b *ConnBudget) helps(c *budgetConn, n need) bool {
	left := b.frees(c, n)
	return n.conns > 0 && left.conns < n.conns || n.bytes > 0 && left.bytes < n.bytes ||
		n.large > 0 && left.large < n.large || n.unread > 0 && left.unread < n.unread
}

// makeRoom reports whether what is missing can be had. If it can only without some
// connections, it removes those; if not even then, it removes none.
func (b *ConnBudget) makeRoom(n need, now time.Duration) (ok bool, yielded []uint64) {
	if n.met() {
		return true, nil
	}
	possible := n
	for _, c := range b.conns {
		if c.group(now) != yieldsNever {
			possible = b.frees(c, possible)
		}
	}
	if !possible.met() {
		return false, nil
	}
	order := b.order(now)
	for !n.met() {
		id := b.next(n, &order, now)
		n = b.frees(b.conns[id], n)
		b.Drop(id)
		yielded = append(yielded, id)
	}
	return true, yielded
}

// next returns the connection that yields next. There is one that helps.
func (b *ConnBudget) next(n need, order *yieldOrder, now time.Duration) (first uint64) {
	var best *budgetConn
	for id, c := range b.conns {
		if c.group(now) == yieldsNever || !b.helps(c, n) {
			continue
		}
		if best == nil || compareConns(id, c, first, best, order, now) < 0 {
			first, best = id, c
		}
	}
	return first
}

// compareConns returns a negative number if connection x yields before y.
func compareConns(xID uint64, x *budgetConn, yID uint64, y *budgetConn, order *yieldOrder, now time.Duration) int {
	return cmp.Or(
		cmp.Compare(order[x.group(now)], order[y.group(now)]),
		cmp.Compare(x.progressAt/progressStep, y.progressAt/progressStep),
		cmp.Compare(y.request+y.unread, x.request+x.unread),
		cmp.Compare(x.progressAt, y.progressAt),
		cmp.Compare(xID, yID),
	)
}
