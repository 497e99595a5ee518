// Package node holds what an entry and a side process have in common: the
// exchange of heartbeats and documents with peers, and the leaving state.
package node

import (
	"sync/atomic"
	"time"

	"marjorampitch/api"
	"marjorampitch/logfold"
	"marjorampitch/wire"
)

// ConfigView is the process's view of the configuration; logfold.Runner
// implements it. All methods may be called by any goroutine and never block.
type ConfigView interface {
	// Document returns the document in force, or nil before there is one.
	Document() *logfold.ActiveDocument
	// Current reports whether the process has a recent proof that no newer document is in force.
	Current() bool
	// Subscribe returns a channel that receives a value after the document in force has changed.
	Subscribe() <-chan struct{}
	// FillHeartbeat sets the fields of hb that concern the configuration.
	FillHeartbeat(hb *wire.Heartbeat)
	// ReceiveDocument passes on a document that a peer sent.
	ReceiveDocument(m *wire.Config)
	// ReceiveHeartbeat takes a heartbeat of a peer that was sent after the time given; zero when that is not known.
	// The result, if not nil, is to be sent to the peer.
	ReceiveHeartbeat(instance, dataCentre string, hb *wire.Heartbeat, sentAfter time.Time) *wire.ConfigQuery
	// AnswerQuery returns the answer to a peer's query, or nil when there is none.
	AnswerQuery(q *wire.ConfigQuery) *wire.Config
}

// Node is the part of a process that its connections share.
type Node struct {
	hello    wire.Hello
	config   ConfigView
	suspects *Quarantine
	leaving  atomic.Bool
	report   func() wire.Report      // of a side; nil for an entry
	compare  func() *wire.Comparison // of an entry; nil for a side
}

// New returns a Node; hello names the process.
func New(hello wire.Hello, config ConfigView) *Node {
	return &Node{hello: hello, config: config, suspects: newSuspicion()}
}

// SetReportSource makes every heartbeat carry what report returns. It is called once,
// before the first connection; report must not block.
func (n *Node) SetReportSource(report func() wire.Report) { n.report = report }

// SetComparisonSource makes every status carry what compare returns. It is called once,
// before the first connection; compare must not block.
func (n *Node) SetComparisonSource(compare func() *wire.Comparison) { n.compare = compare }

// Hello returns the hello to send on a new connection.
func (n *Node) Hello() wire.Hello {
	hello := n.hello
	hello.ConfigOffset = n.offset()
	return hello
}

// Config returns the process's view of the configuration.
func (n *Node) Config() ConfigView { return n.config }

// SetLeaving says in every later heartbeat that the process takes no new work.
func (n *Node) SetLeaving() { n.leaving.Store(true) }

// Leaving reports whether SetLeaving was called.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready returns nil while the process takes new work, and otherwise the reason.
func (n *Node) Ready() error {
	switch {
	case n.Leaving():
		return api.NewError(api.Leaving, "")
	case n.config.Document() == nil:
		return api.NewError(api.NotReady, "no document")
	case !n.config.Current():
		return api.NewError(api.NotCurrent, "")
	}
	return nil
}

func (n *Node) offset() int64 {
	doc := n.config.Document()
	if doc == nil {
		return -1
	}
	return doc.Offset
}

// NextHeartbeat implements wire.HeartbeatSource.
func (n *Node) NextHeartbeat(c *wire.Conn) wire.Heartbeat {
	hb := wire.Heartbeat{
		Leaving:  n.Leaving(),
		Suspects: n.suspects.news(c),
	}
	n.config.FillHeartbeat(&hb)
	if n.report != nil {
		r := n.report()
		hb.Report = &r
	}
	return hb
}

// Quarantine returns what the process knows of requests that crash backend servers.
func (n *Node) Quarantine() *Quarantine { return n.suspects }

// ConnClosed forgets what was kept for a closed connection.
func (n *Node) ConnClosed(c *wire.Conn) { n.suspects.gone(c) }

// HandleControl handles m if it is a message that every process serves, and
// reports whether it was.
func (n *Node) HandleControl(c *wire.Conn, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Heartbeat:
		n.heartbeat(c, m)
	case *wire.Config:
		n.config.ReceiveDocument(m)
	case *wire.ConfigQuery:
		n.answer(c, m)
	case *wire.StatusQuery:
		c.Send(n.status(m.Seq))
	default:
		return false
	}
	return true
}

func (n *Node) heartbeat(c *wire.Conn, hb *wire.Heartbeat) {
	peer := c.Peer()
	n.suspects.merge(hb.Suspects)
	if peer.Role == wire.RoleOperator || peer.Service != n.hello.Service {
		return
	}
	query := n.config.ReceiveHeartbeat(peer.Instance, peer.DataCentre, hb, c.EchoSent(hb))
	if query != nil {
		c.Send(query)
	}
}

func (n *Node) answer(c *wire.Conn, q *wire.ConfigQuery) {
	if m := n.config.AnswerQuery(q); m != nil {
		c.Send(m)
	}
}

func (n *Node) status(seq uint64) *wire.Status {
	p := n.Page()
	st := &wire.Status{
		Seq:           seq,
		Instance:      p.Instance,
		DataCentre:    p.DataCentre,
		Role:          n.hello.Role,
		ConfigOffset:  p.ConfigOffset,
		ConfigVersion: p.ConfigVersion,
		Current:       p.Current,
		Leaving:       p.Leaving,
	}
	if n.compare != nil {
		st.Comparison = n.compare()
	}
	return st
}
