package side

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"marjorampitch/api"
	"marjorampitch/internal/resphead"
)

// errSendRefused is the error of a write to a gatedConn after refuse.
var errSendRefused = errors.New("side: request not sent")

// gatedConn is a connection to the backend server that can be closed to the request
// that is about to be written to it.
type gatedConn struct {
	*resphead.Conn
	refused atomic.Bool
}

// refuse makes all later writes fail. The HTTP transport then closes the connection.
func (c *gatedConn) refuse() { c.refused.Store(true) }

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, errSendRefused
	}
	return c.Conn.Write(p)
}

// sendGate decides whether a request is written to the connection that the HTTP
// transport has chosen for it. The decision belongs there and not before the call:
// the transport may dial first, and the load report that verifies the new connection
// may show that the backend server has turned cold.
type sendGate struct {
	confirm func() *api.Error // called before each transmission; an error prevents it
	cancel  context.CancelCauseFunc
	passed  atomic.Bool // a transmission was allowed, so that the request may have been sent
}

// withTrace returns req with a trace that applies the gate. The request fails with the
// cause of its context if the gate refuses it.
func (g *sendGate) withTrace(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { g.check(info.Conn) },
	}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// check applies the gate to c, before the transport writes to it.
func (g *sendGate) check(c net.Conn) {
	e := g.confirm()
	if e == nil {
		g.passed.Store(true)
		return
	}
	if gated, ok := c.(*gatedConn); ok {
		gated.refuse()
	}
	refusal := *e
	if g.passed.Load() {
		refusal.Ran = api.MayHaveRun // the transport repeats a request that failed on a reused connection
	}
	g.cancel(&refusal)
}
