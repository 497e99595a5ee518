package slopes

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"marjorampitch/internal/node"
	"marjorampitch/logfold"
	"marjorampitch/wire"
)

// Settings of the measurement of idle connections.
const (
	linkSettle  = 2 * time.Second
	linkMeasure = 4 * time.Second
)

var linkSizes = []int{50, 100, 200, 400}

// links measures what idle connections between entries and sides cost one end.
func links() []Slope {
	return []Slope{
		{
			Name: "link-processor", Per: "connection", Unit: "us/s", Sizes: linkSizes,
			Measure: func(n int) (float64, error) { return measureLinks(n, (*idle).processor) },
		},
		{
			Name: "link-bytes", Per: "connection", Unit: "B/s", Sizes: linkSizes,
			Measure: func(n int) (float64, error) { return measureLinks(n, (*idle).bytes) },
		},
		{
			Name: "link-memory", Per: "connection", Unit: "B", Sizes: linkSizes,
			Measure: func(n int) (float64, error) { return measureLinks(n, (*idle).memory) },
		},
	}
}

// idle is a set of idle connections within this process: both ends of each.
type idle struct {
	traffic atomic.Int64 // bytes in both directions
	before  float64      // memory held before the connections were made
	node    *node.Node
	mu      sync.Mutex
	conns   []*wire.Conn
}

func measureLinks(n int, what func(*idle) float64) (float64, error) {
	x := &idle{before: heldBytes()}
	x.node = node.New(wire.Hello{Service: "s", Instance: "side", DataCentre: "a"}, steady{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer x.close(ln)
	go x.accept(ln)
	for range n {
		c, err := wire.Dial(context.Background(), ln.Addr().String(), x.node.Hello(), x, x.node)
		if err != nil {
			return 0, err
		}
		x.add(c)
	}
	time.Sleep(linkSettle)
	return what(x), nil
}

func (x *idle) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		counted := &countedConn{Conn: nc, traffic: &x.traffic}
		if c, err := wire.Accept(counted, x.node.Hello(), x, x.node); err == nil {
			x.add(c)
		}
	}
}

func (x *idle) add(c *wire.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns = append(x.conns, c)
}

func (x *idle) close(ln net.Listener) {
	ln.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.conns {
		c.Close(nil)
	}
}

// Handle implements wire.Handler.
func (x *idle) Handle(c *wire.Conn, m wire.Message) { x.node.HandleControl(c, m) }

// Closed implements wire.Handler.
func (x *idle) Closed(c *wire.Conn, _ error) { x.node.ConnClosed(c) }

// processor returns microseconds of processor time a second for one end of all connections.
func (x *idle) processor() float64 {
	start := processorTime()
	time.Sleep(linkMeasure)
	used := processorTime() - start
	return float64(used.Microseconds()) / linkMeasure.Seconds() / 2
}

// bytes returns the bytes a second in both directions of all connections.
func (x *idle) bytes() float64 {
	start := x.traffic.Load()
	time.Sleep(linkMeasure)
	return float64(x.traffic.Load()-start) / linkMeasure.Seconds()
}

// memory returns the bytes that one end of all connections holds.
func (x *idle) memory() float64 { return (heldBytes() - x.before) / 2 }

// countedConn counts the bytes that pass a connection.
type countedConn struct {
	net.Conn
	traffic *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Add(int64(n))
	return n, err
}

// steady is a configuration view in which nothing changes.
type steady struct{}

func (steady) Document() *logfold.ActiveDocument { return nil }
func (steady) Current() bool                     { return true }
func (steady) Subscribe() <-chan struct{}        { return nil }
func (steady) FillHeartbeat(hb *wire.Heartbeat) {
	hb.ConfigOffset = 4_000
	hb.ProofAgeMillis = 300
}

func (steady) ReceiveHeartbeat(string, string, *wire.Heartbeat, time.Time) *wire.ConfigQuery {
	return nil
}
func (steady) ReceiveDocument(*wire.Config)               {}
func (steady) AnswerQuery(*wire.ConfigQuery) *wire.Config { return nil }
