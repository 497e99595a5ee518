package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"marjorampitch/admit"
	"marjorampitch/internal/outbuf"
)

// Bounds of what is held for callers and backend servers that read slowly.
const (
	// bufferShare is the part of the process's memory that requests, answers and
	// streams may take while they wait for a slow peer.
	bufferShare = 0.2
	// defaultBufferBytes applies where the settings name no limit of the memory.
	defaultBufferBytes = 64 << 20
	// maxCallerShare is the part of it that one caller may take.
	maxCallerShare = 0.125
	// maxCallersShare is the part of it that all callers may take. The rest is left to
	// bodies, so that slow callers do not keep requests of others out.
	maxCallersShare = 0.5
)

// newCallerBuffers returns the buffers of the connections of callers.
func newCallerBuffers(g *Gateway, memoryLimit int64) *outbuf.Buffers {
	limit := int64(bufferShare * float64(memoryLimit))
	if limit <= 0 {
		limit = defaultBufferBytes
	}
	budget := admit.NewBufferBudget(limit, int64(maxCallerShare*float64(limit)))
	budget.LimitHolders(int64(maxCallersShare * float64(limit)))
	b := outbuf.New(budget, g.now)
	b.OnCut = func(cut outbuf.Cut) {
		g.metrics.slowCallers.Inc()
		g.opts.Log.Warn("slow-caller-cut", "caller", cut.Peer, "held_bytes", cut.Held,
			"unread_ms", cut.Unread.Milliseconds(), "reason", cut.Reason)
	}
	return b
}

// callerConnKey is the context key of the net.Conn of a request.
type callerConnKey struct{}

// withCallerConns makes the context of each request hold its connection.
func withCallerConns(srv *http.Server) {
	inner := srv.ConnContext
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(inner(ctx, c), callerConnKey{}, c)
	}
}

// callerEvicted reports whether a request has ended because its caller did not read.
func callerEvicted(r *http.Request) bool {
	c, ok := r.Context().Value(callerConnKey{}).(interface{ NetConn() net.Conn })
	if !ok {
		return false
	}
	buffered, ok := c.NetConn().(*outbuf.Conn)
	return ok && buffered.Evicted()
}

// blockedWrite is the time from which on a write to the caller counts as having waited.
const blockedWrite = 5 * time.Millisecond
