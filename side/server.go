// Package side implements the sidecar of a backend server. All requests to the
// backend server pass through its sidecar, which enforces concurrency limits,
// drains and at-most-once execution even if front proxies act on stale state.
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

// Timing and sizes of a sidecar.
const (
	resumeGrace        = 5 * time.Second // an attempt without a subscriber runs on and can be resumed this long
	maxAttempts        = 1024            // upper bound of concurrent attempts, whatever the configured limits are
	pollInterval       = 200 * time.Millisecond
	drainPollInterval  = 20 * time.Millisecond
	claimedGracePeriod = 30 * time.Second // how long a non-idempotent call may run past its caller's deadline
)

// Options are the settings of a Server. All fields but Memory are required.
type Options struct {
	Hello   wire.Hello // identifies the process; Role is RoleSide
	Backend string     // base URL of the backend server
	Config  node.ConfigView
	Claims  backing.Log // log on which coordinators claim their rank groups
	Memory  int64       // of the process, in bytes; 0 if not known
	Log     *log.Logger
	Metrics *telemetry.SideMetrics
	Tracer  trace.Tracer
}

// Server is a sidecar. Lock order: crashMu, then mu or keys.mu, then the mu of an
// attempt; mu and keys.mu are never held together.
type Server struct {
	opt     Options
	node    *node.Node
	backend *backendClient
	engine  *backing.EngineClient
	pool    pond.Pool
	keys    *keyTable
	limiter atomic.Pointer[limiter] // nil until the service configuration contains this backend server

	rank     atomic.Pointer[rank] // nil unless the backend server is a rank of a group
	stopRank context.CancelFunc   // stops rank; used only by the goroutine of Run

	refusals recent.RefusalBuffer

	accepting atomic.Int64 // requests that are neither queued nor refused yet

	crashMu sync.Mutex // held while a crash is recorded and announced; taken before any other lock

	mu       sync.Mutex
	attempts map[string]*attempt         // running, or kept for a resume, by request ID
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

// New returns a Server. The caller starts Run and Serve.
func New(opt Options) *Server {
	s := &Server{
		opt:      opt,
		node:     node.New(opt.Hello, opt.Config),
		keys:     newKeyTable(opt.Hello.Incarnation),
		engine:   backing.NewEngineClient(opt.Backend),
		pool:     pond.NewPool(maxAttempts),
		attempts: make(map[string]*attempt),
		streams:  make(map[streamKey]*subscription),
		conns:    make(map[*wire.Conn]bool),
	}
	s.backend = newBackendClient(opt.Backend, s.verifyIncarnation)
	s.node.SetReportSource(s.report)
	return s
}

// Serve accepts connections from front proxies until ln is closed, and returns
// the error of Accept.
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
	case <-c.Done(): // Closed may have been called before c was added to conns
		s.Closed(c, wire.ErrClosed)
	default:
	}
	s.opt.Log.Info("peer-connected", "peer", c.Peer().Instance)
}

// Ready returns nil while the sidecar accepts new requests, and otherwise the
// reason why it does not.
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

// Shutdown refuses new requests and waits until the attempts in flight have
// finished and their responses were sent. It returns the error of ctx if ctx ends
// first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.node.SetLeaving()
	ticker := time.NewTicker(drainPollInterval)
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

// idle reports whether no request is being accepted, queued, running or delivered.
// It checks accepting first: a request leaves it only for one of the other states.
func (s *Server) idle() bool {
	if s.accepting.Load() > 0 {
		return false
	}
	if l := s.limiter.Load(); l != nil && l.busy() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams) == 0
}

// closeConns closes each connection once its queued messages were sent.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.CloseAfterFlush()
	}
}
