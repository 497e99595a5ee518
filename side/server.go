// Package side is the process beside one backend server. It is the only way
// to that server, so limits, drains and at-most-once execution are enforced
// here, whatever the entries believe.
package side

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/internal/node"
	"marjorampitch/internal/recent"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// Timing and sizes of a side process.
const (
	resumeGrace   = 5 * time.Second // an answer without a receiver is kept running this long
	maxAttempts   = 1024            // attempts at the backend server at once, whatever the limits say
	pollInterval  = 200 * time.Millisecond
	drainInterval = 20 * time.Millisecond
	claimedExtra  = 30 * time.Second // a call that may not repeat runs on this long after its caller's deadline
)

// Options of a Server. All fields are needed.
type Options struct {
	Hello   wire.Hello // names the process; Role is RoleSide
	Backend string     // base URL of the backend server
	Config  node.ConfigView
	Claims  backing.Log // where the coordinators of rank groups claim them
	Log     *log.Logger
	Metrics *telemetry.SideMetrics
	Tracer  trace.Tracer
}

// Server is a side process. Lock order: mu before any attempt's mu; keys.mu is
// taken alone.
type Server struct {
	opt     Options
	node    *node.Node
	backend *backend
	engine  *backing.EngineClient
	pool    pond.Pool
	keys    *keys
	limiter atomic.Pointer[limiter] // nil until a document names this backend server

	rank     atomic.Pointer[rank] // nil unless the document makes the backend server a rank
	stopRank context.CancelFunc   // of the rank; belongs to Run's goroutine

	refusals recent.Log

	crashMu sync.Mutex // held while a crash is recorded and told; taken before any other lock

	mu       sync.Mutex
	attempts map[string]*attempt         // running or kept, by request id
	streams  map[streamKey]*subscription // by connection and stream
	conns    map[*wire.Conn]bool
}

type streamKey struct {
	conn   *wire.Conn
	stream uint64
}

type subscription struct {
	attempt *attempt
	sub     *subscriber
}

// New returns a Server that is not yet listening.
func New(opt Options) *Server {
	s := &Server{
		opt:      opt,
		node:     node.New(opt.Hello, opt.Config),
		keys:     newKeys(opt.Hello.Incarnation),
		engine:   backing.NewEngineClient(opt.Backend),
		pool:     pond.NewPool(maxAttempts),
		attempts: make(map[string]*attempt),
		streams:  make(map[streamKey]*subscription),
		conns:    make(map[*wire.Conn]bool),
	}
	s.backend = newBackend(opt.Backend, s.verify)
	s.node.ReportBy(s.report)
	return s
}

// Serve accepts connections of entries until ln is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return err
		}
		go s.accept(nc)
	}
}

func (s *Server) accept(nc net.Conn) {
	c, err := wire.Accept(nc, s.node.Hello(), s, s.node)
	if err != nil {
		s.opt.Log.Warn("peer-refused", "peer", nc.RemoteAddr(), "err", err)
		return
	}
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	select {
	case <-c.Done(): // Closed may have run before the connection was added
		s.Closed(c, wire.ErrClosed)
	default:
	}
	s.opt.Log.Info("peer-connected", "peer", c.Peer().Instance)
}

// Ready returns nil while the side process takes new work, and otherwise the reason.
func (s *Server) Ready() error {
	if err := s.node.Ready(); err != nil {
		return err
	}
	l := s.limiter.Load()
	if l == nil || !l.ready() {
		return api.NewError(api.NotReady, "what the backend server has in flight is not known yet")
	}
	return nil
}

// Shutdown takes no new work, waits until the attempts in flight are
// finished and delivered, and returns. Error: that of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.node.SetLeaving()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for !s.idle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	s.closeConns()
	s.pool.StopAndWait()
	return nil
}

func (s *Server) idle() bool {
	if l := s.limiter.Load(); l != nil && l.busy() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams) == 0
}

// closeConns closes the connections a moment after their queues were filled last.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.CloseAfterFlush()
	}
}
