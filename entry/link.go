package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/api"
	"marjorampitch/internal/node"
	"marjorampitch/route"
	"marjorampitch/wire"
)

// Timing and sizes of a link.
const (
	minRedial   = 50 * time.Millisecond
	maxRedial   = 2 * time.Second
	windowBytes = 256 << 10
	creditBytes = windowBytes / 4
)

// link is the entry's connection to one side process. It is dialled again
// whenever it is lost, so that a silent connection is never reused.
//
// mu guards the fields below it; no other lock is taken while it is held.
type link struct {
	name       string
	address    string
	dataCentre string
	node       *node.Node
	log        *log.Logger
	stop       context.CancelFunc
	acks       func(*wire.OrderAck) // takes answers of ranks; nil for none

	mu       sync.Mutex
	conn     *wire.Conn
	leaving  bool
	next     uint64 // number of the last stream
	streams  map[uint64]receiver
	trial    trial
	report   wire.Report
	reported time.Time // zero before the first report
	own      int       // own requests in flight
	since    int       // own requests sent minus own finished since the report
}

// receiver takes the messages of one stream on one connection.
type receiver struct {
	conn  *wire.Conn
	inbox *inbox
}

func newLink(name, address, dataCentre string, n *node.Node, logger *log.Logger) *link {
	return &link{
		name:       name,
		address:    address,
		dataCentre: dataCentre,
		node:       n,
		log:        logger,
		streams:    make(map[uint64]receiver),
	}
}

// run keeps the link connected until ctx ends.
func (l *link) run(ctx context.Context) {
	wait := minRedial
	for ctx.Err() == nil {
		c, err := wire.Dial(ctx, l.address, l.node.Hello(), l, l.node)
		if err == nil {
			wait = minRedial
			select {
			case <-ctx.Done():
				l.drain(c)
				return
			case <-c.Done():
			}
			continue
		}
		l.log.Debug("dial-failed", "side", l.name, "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait/2 + rand.N(wait/2)):
		}
		wait = min(2*wait, maxRedial)
	}
}

// drain closes c once no answer is in flight on it.
func (l *link) drain(c *wire.Conn) {
	ticker := time.NewTicker(resumePoll)
	defer ticker.Stop()
	for !l.idle() {
		select {
		case <-c.Done():
			return
		case <-ticker.C:
		}
	}
	c.CloseAfterFlush()
}

func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams) == 0
}

// use makes c usable. That is after its first heartbeat, which brings
// what the side process knows of requests that crash backend servers.
func (l *link) use(c *wire.Conn) {
	l.log.Info("side-connected", "side", l.name, "incarnation", c.Peer().Incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
	l.report = wire.Report{}
	l.reported = time.Time{}
}

// Handle implements wire.Handler.
func (l *link) Handle(c *wire.Conn, m wire.Message) {
	handled := l.node.Control(c, m)
	if hb, ok := m.(*wire.Heartbeat); ok {
		l.heartbeat(c, hb)
	}
	if handled {
		return
	}
	switch m := m.(type) {
	case *wire.Head:
		l.deliver(c, m.Stream, m)
	case *wire.Chunk:
		l.deliver(c, m.Stream, m)
	case *wire.End:
		l.setReport(&m.Report)
		l.deliver(c, m.Stream, m)
	case *wire.Refusal:
		l.setReport(&m.Report)
		l.deliver(c, m.Stream, m)
	case *wire.KeyAnswer:
		l.deliver(c, m.Stream, m)
	case *wire.OrderAck:
		if l.acks != nil {
			l.acks(m)
		}
	}
}

// heartbeat notes the peer's leaving state; the first one makes c usable.
func (l *link) heartbeat(c *wire.Conn, hb *wire.Heartbeat) {
	l.mu.Lock()
	l.leaving = hb.Leaving
	fresh := l.conn != c
	l.mu.Unlock()
	if fresh {
		l.use(c)
		l.judgeTrial(c)
	}
	if hb.Report != nil {
		l.setReport(hb.Report)
	}
}

// Closed implements wire.Handler: the streams on c are lost. A newer connection
// may be in use by then; its streams are not touched.
func (l *link) Closed(c *wire.Conn, err error) {
	l.node.Gone(c)
	l.log.Info("side-gone", "side", l.name, "err", err)
	for _, b := range l.forget(c) {
		b.fail(err)
	}
}

// forget drops c and returns the inboxes of its streams.
func (l *link) forget(c *wire.Conn) []*inbox {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
	var lost []*inbox
	for stream, r := range l.streams {
		if r.conn == c {
			delete(l.streams, stream)
			lost = append(lost, r.inbox)
		}
	}
	return lost
}

func (l *link) setReport(r *wire.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Seq <= l.report.Seq {
		return
	}
	l.report = *r
	l.reported = time.Now()
	l.since = 0
}

// order sends an order; it is lost while the link is down.
func (l *link) order(o *wire.Order) {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c != nil {
		c.Send(o)
	}
}

// deliver passes m on to its stream, unless that runs on another connection.
func (l *link) deliver(c *wire.Conn, stream uint64, m wire.Message) {
	l.mu.Lock()
	r := l.streams[stream]
	l.mu.Unlock()
	if r.inbox != nil && r.conn == c {
		r.inbox.put(m)
	}
}

// exchange is one stream on one connection.
type exchange struct {
	link   *link
	conn   *wire.Conn
	stream uint64
	inbox  *inbox
	taken  int // bytes taken since the last credit
}

// open starts a stream and sends the message that build makes for it. When it
// fails, nothing was sent.
func (l *link) open(build func(stream uint64) wire.Message) (*exchange, *api.Error) {
	return l.openTo("", build)
}

// openTo is open for one incarnation of the side process, or any if it is "".
func (l *link) openTo(incarnation string, build func(stream uint64) wire.Message) (*exchange, *api.Error) {
	x, e := l.register(incarnation)
	if e != nil {
		return nil, e
	}
	if err := x.conn.Send(build(x.stream)); err != nil {
		x.close()
		return nil, api.NewError(api.Unreachable, err.Error())
	}
	return x, nil
}

// register starts a stream on the connection in use.
func (l *link) register(incarnation string) (*exchange, *api.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, api.NewError(api.Unreachable, l.name)
	}
	if incarnation != "" && l.conn.Peer().Incarnation != incarnation {
		return nil, api.NewError(api.WrongIncarnation, l.name)
	}
	l.next++
	x := &exchange{link: l, conn: l.conn, stream: l.next, inbox: newInbox()}
	l.streams[x.stream] = receiver{conn: x.conn, inbox: x.inbox}
	l.own++
	l.since++
	return x, nil
}

// close ends the stream at this end; later messages for it are dropped.
func (x *exchange) close() {
	l := x.link
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, x.stream)
	l.own--
	l.since--
}

// credit counts n bytes as taken, and allows the side to send as many more
// once they add up to creditBytes.
func (x *exchange) credit(n int) {
	x.taken += n
	if x.taken < creditBytes {
		return
	}
	x.conn.Send(&wire.Credit{Stream: x.stream, Bytes: uint32(x.taken)})
	x.taken = 0
}

// cancel tells the side that nobody waits for the answer.
func (x *exchange) cancel(attempt uint32) {
	x.conn.Send(&wire.Cancel{Stream: x.stream, Attempt: attempt})
}

// fill writes what the link knows into c.
func (l *link) fill(c *route.Candidate, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Excluded = l.conn == nil
	c.Leaving = c.Leaving || l.leaving || l.report.Leaving
	c.OwnInFlight = l.own
	c.OwnSinceReport = l.since
	c.ReportAge = route.NoReport
	if l.reported.IsZero() {
		return
	}
	c.ReportAge = now.Sub(l.reported)
	c.Excluded = c.Excluded || l.report.Down
	c.Cold = l.report.Cold
	c.Limit = l.report.Limit
	c.Running = l.report.Running
	c.Waiting = l.report.Waiting
	c.StepMillis = float64(l.report.StepMillis)
	c.CacheUsed = float64(l.report.CacheUsed)
}

// await waits until the link is connected again after old, at most resumeWait.
func (l *link) await(ctx context.Context, old *wire.Conn) bool {
	deadline := time.After(resumeWait)
	ticker := time.NewTicker(resumePoll)
	defer ticker.Stop()
	for {
		l.mu.Lock()
		back := l.conn != nil && l.conn != old
		l.mu.Unlock()
		if back {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-deadline:
			return false
		case <-ticker.C:
		}
	}
}

// connected reports whether the link can be used.
func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}
