// Package node implements what front proxies and sidecars have in common: the
// exchange of heartbeats and documents with peers, status queries, the quarantine
// of requests that crash backend servers, and the leaving state.
package node

import (
	"sync/atomic"
	"time"

	"marjorampitch/api"
	"marjorampitch/logfold"
	"marjorampitch/wire"
)

// ConfigView gives access to the service configuration of the process;
// logfold.Runner implements it. All methods may be called by any goroutine and
// never block.
type ConfigView interface {
	// Document returns the document in force, or nil if there is none yet.
	Document() *logfold.ActiveDocument
	// Current reports whether the process has a recent freshness proof, that is, a
	// proof that no newer document is in force.
	Current() bool
	// Subscribe returns a channel that receives a value after the document in force
	// has changed.
	Subscribe() <-chan struct{}
	// FillHeartbeat sets the fields of hb that concern the configuration.
	FillHeartbeat(hb *wire.Heartbeat)
	// ReceiveDocument handles a document sent by a peer.
	ReceiveDocument(m *wire.Config)
	// ReceiveHeartbeat handles a heartbeat of a peer. sentAfter is a lower bound of
	// the time at which it was sent, or zero if unknown. The caller sends a non-nil
	// result to that peer.
	ReceiveHeartbeat(instance, dataCentre string, hb *wire.Heartbeat, sentAfter time.Time) *wire.ConfigQuery
	// AnswerQuery returns the answer to the query of a peer, or nil if there is none.
	AnswerQuery(q *wire.ConfigQuery) *wire.Config
}

// Node is the state that all connections of a process share. Its methods are safe
// for concurrent use, except SetReportSource and SetComparisonSource.
type Node struct {
	hello      wire.Hello
	config     ConfigView
	quarantine *Quarantine
	leaving    atomic.Bool
	report     func() wire.Report      // nil in a front proxy
	compare    func() *wire.Comparison // nil in a sidecar
}

// New returns a Node of the process that hello identifies.
func New(hello wire.Hello, config ConfigView) *Node {
	return &Node{hello: hello, config: config, quarantine: newQuarantine(config)}
}

// SetReportSource makes every heartbeat carry the result of report, which must not
// block. It must be called before the first connection.
func (n *Node) SetReportSource(report func() wire.Report) { n.report = report }

// SetComparisonSource makes every answer to a status query carry the result of
// compare, which must not block. It must be called before the first connection.
func (n *Node) SetComparisonSource(compare func() *wire.Comparison) { n.compare = compare }

// Hello returns the wire.Hello to send on a new connection, with the current
// configuration offset.
func (n *Node) Hello() wire.Hello {
	hello := n.hello
	hello.ConfigOffset = n.configOffset()
	return hello
}

// Config returns the service configuration of the process.
func (n *Node) Config() ConfigView { return n.config }

// SetLeaving marks the process as leaving: it accepts no new work, and later
// heartbeats say so. This cannot be undone.
func (n *Node) SetLeaving() { n.leaving.Store(true) }

// Leaving reports whether SetLeaving was called.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready returns nil if the process accepts new work, and otherwise an *api.Error
// with the reason: api.Leaving, api.NotReady or api.NotCurrent.
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

// configOffset returns the offset of the document in force, or -1 if there is none.
func (n *Node) configOffset() int64 {
	doc := n.config.Document()
	if doc == nil {
		return -1
	}
	return doc.Offset
}

// NextHeartbeat implements wire.HeartbeatSource. The heartbeat carries the
// quarantine evidence that was not yet sent on c.
func (n *Node) NextHeartbeat(c *wire.Conn) wire.Heartbeat {
	hb := wire.Heartbeat{
		Leaving:  n.Leaving(),
		Suspects: n.quarantine.unsent(c),
	}
	n.config.FillHeartbeat(&hb)
	if n.report != nil {
		r := n.report()
		hb.Report = &r
	}
	return hb
}

// Quarantine returns the quarantine of requests that crash backend servers.
func (n *Node) Quarantine() *Quarantine { return n.quarantine }

// ConnClosed releases the state kept for a closed connection.
func (n *Node) ConnClosed(c *wire.Conn) { n.quarantine.connClosed(c) }

// HandleControl handles m if it is a message that every process handles: a
// heartbeat, a document, or a query for a document or for the status. It reports
// whether it was.
func (n *Node) HandleControl(c *wire.Conn, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Heartbeat:
		n.receiveHeartbeat(c, m)
	case *wire.Config:
		n.config.ReceiveDocument(m)
	case *wire.ConfigQuery:
		n.answerQuery(c, m)
	case *wire.StatusQuery:
		c.Send(n.status(m.Seq))
	default:
		return false
	}
	return true
}

func (n *Node) receiveHeartbeat(c *wire.Conn, hb *wire.Heartbeat) {
	peer := c.Peer()
	n.quarantine.merge(hb.Suspects)
	if peer.Role == wire.RoleOperator || peer.Service != n.hello.Service {
		return
	}
	query := n.config.ReceiveHeartbeat(peer.Instance, peer.DataCentre, hb, c.EchoSent(hb))
	if query != nil {
		c.Send(query)
	}
}

func (n *Node) answerQuery(c *wire.Conn, q *wire.ConfigQuery) {
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
