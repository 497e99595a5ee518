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

// Delays and flow control sizes of a link.
const (
	minRedialDelay  = 50 * time.Millisecond
	maxRedialDelay  = 2 * time.Second
	windowBytes     = 256 << 10 // initial flow control window of a stream
	creditThreshold = windowBytes / 4
)

// link maintains a connection to one sidecar and redials whenever the connection
// is lost. A connection on which nothing is received for wire.HeartbeatTimeout is
// closed and never reused.
//
// mu guards the fields below it; no other lock is taken while it is held.
type link struct {
	name       string
	address    string
	dataCentre string
	node       *node.Node
	log        *log.Logger
	stop       context.CancelFunc
	onAck      func(*wire.OrderAck) // handles acks from the group rank behind the sidecar; may be nil

	mu             sync.Mutex
	conn           *wire.Conn
	leaving        bool
	lastStream     uint64 // number of the last stream opened
	streams        map[uint64]receiver
	trial          trial
	report         wire.Report
	reportedAt     time.Time // zero before the first report
	ownInFlight    int       // open streams
	ownSinceReport int       // streams opened minus streams closed since the last report
}

// receiver is the destination of the messages of one stream.
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

// run keeps the link connected until ctx is done.
func (l *link) run(ctx context.Context) {
	wait := minRedialDelay
	for ctx.Err() == nil {
		c, err := wire.Dial(ctx, l.address, l.node.Hello(), l, l.node)
		if err == nil {
			wait = minRedialDelay
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
		wait = min(2*wait, maxRedialDelay)
	}
}

// drain closes c once the link has no open streams.
func (l *link) drain(c *wire.Conn) {
	ticker := time.NewTicker(linkPollInterval)
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

// activate makes c the connection on which streams are opened, unless it is closed.
// It reports whether c was not that connection before. It is called after a
// heartbeat on c, because the first one carries the sidecar's evidence about requests
// that crash backend servers.
func (l *link) activate(c *wire.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c || isClosed(c) {
		return false
	}
	l.conn = c
	l.report = wire.Report{}
	l.reportedAt = time.Time{}
	return true
}

// isClosed reports whether c is closed. Messages received before may still be
// handled, even after a newer connection has been activated.
func isClosed(c *wire.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// Handle implements wire.Handler.
func (l *link) Handle(c *wire.Conn, m wire.Message) {
	handled := l.node.HandleControl(c, m)
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
		l.setReport(c, &m.Report)
		l.deliver(c, m.Stream, m)
	case *wire.Refusal:
		l.setReport(c, &m.Report)
		l.deliver(c, m.Stream, m)
	case *wire.KeyAnswer:
		l.deliver(c, m.Stream, m)
	case *wire.OrderAck:
		if l.onAck != nil {
			l.onAck(m)
		}
	}
}

// heartbeat records whether the sidecar is leaving, and its load report. The
// first heartbeat on c activates c.
func (l *link) heartbeat(c *wire.Conn, hb *wire.Heartbeat) {
	l.mu.Lock()
	if l.conn == c || !isClosed(c) {
		l.leaving = hb.Leaving
	}
	l.mu.Unlock()
	if l.activate(c) {
		l.log.Info("side-connected", "side", l.name, "incarnation", c.Peer().Incarnation)
		l.resolveTrial(c)
	}
	if hb.Report != nil {
		l.setReport(c, hb.Report)
	}
}

// Closed implements wire.Handler. It fails the streams on c. Streams on a newer
// connection, which may be active already, are not affected.
func (l *link) Closed(c *wire.Conn, err error) {
	l.node.ConnClosed(c)
	l.log.Info("side-gone", "side", l.name, "err", err)
	for _, b := range l.removeConn(c) {
		b.fail(err)
	}
}

// removeConn removes c and its streams, and returns their inboxes.
func (l *link) removeConn(c *wire.Conn) []*inbox {
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

// setReport stores a report received on c. Reports on other connections than the
// active one may be of an earlier incarnation, whose sequence numbers are higher.
func (l *link) setReport(c *wire.Conn, r *wire.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != c || r.Seq <= l.report.Seq {
		return
	}
	l.report = *r
	l.reportedAt = time.Now()
	l.ownSinceReport = 0
}

// sendOrder sends an order to the sidecar. It drops the order if the link is not connected.
func (l *link) sendOrder(o *wire.Order) {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c != nil {
		c.Send(o)
	}
}

// deliver passes m to its stream, unless the stream is on another connection.
func (l *link) deliver(c *wire.Conn, stream uint64, m wire.Message) {
	l.mu.Lock()
	r := l.streams[stream]
	l.mu.Unlock()
	if r.inbox != nil && r.conn == c {
		r.inbox.put(m)
	}
}

// clientStream is the front proxy's end of one stream on one connection.
type clientStream struct {
	link       *link
	conn       *wire.Conn
	stream     uint64
	inbox      *inbox
	uncredited int // bytes received since the last credit
}

// open opens a stream and sends the message that build returns for it. If it
// fails, nothing was sent.
func (l *link) open(build func(stream uint64) wire.Message) (*clientStream, *api.Error) {
	return l.openOn("", build)
}

// openOn is open for one incarnation of the sidecar, or any if it is "".
func (l *link) openOn(incarnation string, build func(stream uint64) wire.Message) (*clientStream, *api.Error) {
	cs, e := l.addStream(incarnation)
	if e != nil {
		return nil, e
	}
	if err := cs.conn.Send(build(cs.stream)); err != nil {
		cs.close()
		return nil, api.NewError(api.Unreachable, err.Error())
	}
	return cs, nil
}

// addStream adds a stream on the active connection, which must be to the given
// incarnation unless that is "".
func (l *link) addStream(incarnation string) (*clientStream, *api.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, api.NewError(api.Unreachable, l.name)
	}
	if incarnation != "" && l.conn.Peer().Incarnation != incarnation {
		return nil, api.NewError(api.WrongIncarnation, l.name)
	}
	l.lastStream++
	cs := &clientStream{link: l, conn: l.conn, stream: l.lastStream, inbox: newInbox()}
	l.streams[cs.stream] = receiver{conn: cs.conn, inbox: cs.inbox}
	l.ownInFlight++
	l.ownSinceReport++
	return cs, nil
}

// close closes the front proxy's end of the stream. Later messages for it are dropped.
func (cs *clientStream) close() {
	l := cs.link
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, cs.stream)
	l.ownInFlight--
	l.ownSinceReport--
}

// grantCredit counts n received bytes. Once they add up to creditThreshold, it
// allows the sidecar to send as many more.
func (cs *clientStream) grantCredit(n int) {
	cs.uncredited += n
	if cs.uncredited < creditThreshold {
		return
	}
	cs.conn.Send(&wire.Credit{Stream: cs.stream, Bytes: uint32(cs.uncredited)})
	cs.uncredited = 0
}

// cancel notifies the sidecar that the answer is no longer needed.
func (cs *clientStream) cancel(attempt uint32) {
	cs.conn.Send(&wire.Cancel{Stream: cs.stream, Attempt: attempt})
}

// fillCandidate sets the fields of c that depend on the connection, the last
// report and this front proxy's own requests.
func (l *link) fillCandidate(c *route.Candidate, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Excluded = l.conn == nil
	c.Leaving = c.Leaving || l.leaving || l.report.Leaving
	c.OwnInFlight = l.ownInFlight
	c.OwnSinceReport = l.ownSinceReport
	c.ReportAge = route.NoReport
	if l.reportedAt.IsZero() {
		return
	}
	c.ReportAge = now.Sub(l.reportedAt)
	c.Excluded = c.Excluded || l.report.Down
	c.Cold = l.report.Cold
	c.Limit = l.report.Limit
	c.Running = l.report.Running
	c.Waiting = l.report.Waiting
	c.StepMillis = float64(l.report.StepMillis)
	c.CacheUsed = float64(l.report.CacheUsed)
}

// awaitReconnect waits, at most reconnectTimeout, until the link has a connection
// other than old, and reports whether it does.
func (l *link) awaitReconnect(ctx context.Context, old *wire.Conn) bool {
	deadline := time.After(reconnectTimeout)
	ticker := time.NewTicker(linkPollInterval)
	defer ticker.Stop()
	for {
		l.mu.Lock()
		reconnected := l.conn != nil && l.conn != old
		l.mu.Unlock()
		if reconnected {
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

// connected reports whether the link has an active connection.
func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}
