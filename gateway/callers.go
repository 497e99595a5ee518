package gateway

import (
	"net/http"
	"time"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/internal/callerconn"
	"marjorampitch/internal/idleconn"
)

// defaultMaxHead is the size of a request's head in bytes where the document sets none.
const defaultMaxHead = 64 << 10

// newCallerConns returns the connections of callers, for a process with this memory in bytes
// and this number of sockets.
func newCallerConns(g *Gateway, memory int64, sockets int) *callerconn.Conns {
	b := callerconn.New(admit.NewConnBudget(admit.NewConnLimits(memory, sockets, callerconn.ConnBytes)), g.now)
	b.OnCut = func(cut callerconn.Cut) {
		g.metrics.slowCallers.Inc()
		g.opts.Log.Warn("slow-caller-cut", "caller", cut.Peer, "held_bytes", cut.Held,
			"unread_ms", cut.Unread.Milliseconds(), "reason", cut.Reason)
	}
	lines := &callerconn.YieldLog{Log: g.opts.Log}
	b.OnYield = func(y callerconn.Yield) {
		g.metrics.yielded(string(y.Cause))
		lines.Record(y)
	}
	return b
}

// Callers returns the connections of callers, of which the process's other listeners take
// their part.
func (g *Gateway) Callers() *callerconn.Conns { return g.callers }

// maxHead returns the largest size of a request's head in bytes.
func (g *Gateway) maxHead() int {
	if view := g.opts.Cache.View(); view.Document != nil && view.Document.Limits.HeaderBytes > 0 {
		return view.Document.Limits.HeaderBytes
	}
	return defaultMaxHead
}

// refuseFull refuses a request for whose head there is no room.
func (g *Gateway) refuseFull(w http.ResponseWriter, r *http.Request) {
	g.reject(&call{
		id: r.Header.Get(g.opts.Headers.RequestID), w: w, r: r, view: g.opts.Cache.View(), arrived: g.now(),
	}, g.retryElsewhere(api.BuffersFull, "head"))
}

// callerEvicted reports whether a request has ended because its caller did not read.
func callerEvicted(r *http.Request) bool {
	c := idleconn.Conn(r)
	return c != nil && c.Evicted()
}

// blockedWrite is the time from which on a write to the caller counts as having waited.
const blockedWrite = 5 * time.Millisecond
