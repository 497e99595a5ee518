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

// Times of the measurements of idle connections.
const (
	linkSettle = 2 * time.Second
	linkWindow = 4 * time.Second
)

var linkSizes = []int{50, 100, 200, 400}

// linkMeasurements describes the measurements of what idle connections between front
// proxies and sidecars cost the process at one end.
func linkMeasurements() []Measurement {
	return []Measurement{
		{
			Name: "link-processor", Per: "connection", Unit: "us/s", Sizes: linkSizes,
			Measure: func(n int) (float64, error) { return measureLinks(n, (*idleLinks).processor) },
		},
		{
			Name: "link-bytes", Per: "connection", Unit: "B/s", Sizes: linkSizes,
			Measure: func(n int) (float64, error) { return measureLinks(n, (*idleLinks).bytes) },
		},
		{
			Name: "link-memory", Per: "connection", Unit: "B", Sizes: linkSizes,
			Measure: func(n int) (float64, error) { return measureLinks(n, (*idleLinks).memory) },
		},
	}
}

// idleLinks is a set of idle connections with both ends in this process. It
// implements wire.Handler for both ends.
type idleLinks struct {
	traffic      atomic.Int64 // bytes in both directions
	memoryBefore float64      // bytes in use before the connections were made
	node         *node.Node
	mu           sync.Mutex
	conns        []*wire.Conn
}

func measureLinks(n int, cost func(*idleLinks) float64) (float64, error) {
	l := &idleLinks{memoryBefore: memoryInUse()}
	l.node = node.New(wire.Hello{Service: "s", Instance: "side", DataCentre: "a"}, staticConfig{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.close(ln)
	go l.accept(ln)
	for range n {
		c, err := wire.Dial(context.Background(), ln.Addr().String(), l.node.Hello(), l, l.node)
		if err != nil {
			return 0, err
		}
		l.add(c)
	}
	time.Sleep(linkSettle)
	return cost(l), nil
}

func (l *idleLinks) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		counted := &countedConn{Conn: nc, traffic: &l.traffic}
		if c, err := wire.Accept(counted, l.node.Hello(), l, l.node); err == nil {
			l.add(c)
		}
	}
}

func (l *idleLinks) add(c *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
}

func (l *idleLinks) close(ln net.Listener) {
	ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close(nil)
	}
}

// Handle implements wire.Handler.
func (l *idleLinks) Handle(c *wire.Conn, m wire.Message) { l.node.HandleControl(c, m) }

// Closed implements wire.Handler.
func (l *idleLinks) Closed(c *wire.Conn, _ error) { l.node.ConnClosed(c) }

// processor returns the CPU time per second for one end of all connections, in microseconds.
func (l *idleLinks) processor() float64 {
	start := processorTime()
	time.Sleep(linkWindow)
	used := processorTime() - start
	return float64(used.Microseconds()) / linkWindow.Seconds() / 2
}

// bytes returns the bytes per second over all connections, both directions together.
func (l *idleLinks) bytes() float64 {
	start := l.traffic.Load()
	time.Sleep(linkWindow)
	return float64(l.traffic.Load()-start) / linkWindow.Seconds()
}

// memory returns the bytes in use for one end of all connections.
func (l *idleLinks) memory() float64 { return (memoryInUse() - l.memoryBefore) / 2 }

// countedConn is a net.Conn that adds the bytes read and written to traffic.
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

// staticConfig is a node.ConfigView that never changes.
type staticConfig struct{}

func (staticConfig) Document() *logfold.ActiveDocument { return nil }
func (staticConfig) Current() bool                     { return true }
func (staticConfig) Subscribe() <-chan struct{}        { return nil }
func (staticConfig) FillHeartbeat(hb *wire.Heartbeat) {
	hb.ConfigOffset = 4_000
	hb.ProofAgeMillis = 300
}

func (staticConfig) ReceiveHeartbeat(string, string, *wire.Heartbeat, time.Time) *wire.ConfigQuery {
	return nil
}
func (staticConfig) ReceiveDocument(*wire.Config)               {}
func (staticConfig) AnswerQuery(*wire.ConfigQuery) *wire.Config { return nil }
