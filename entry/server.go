// Package entry implements the stateless front proxy, the process of role
// "entry". It parses, admits and routes callers' requests, relays the answers and
// retries. Any front proxy can serve any caller. Its view of the backend servers
// may be stale, so the sidecars make the final decision on every request.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/claim"
	"marjorampitch/internal/idleconn"
	"marjorampitch/internal/node"
	"marjorampitch/internal/recent"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// Timeouts and limits of a front proxy.
const (
	instanceListInterval = time.Second
	headerReadTimeout    = 5 * time.Second
	bodyReadTimeout      = 15 * time.Second
	idleTimeout          = 60 * time.Second
	retryBurst           = 20 // maximum burst of retries
)

// Options configures a Server. All fields are required.
type Options struct {
	Hello     wire.Hello // identity of the process; Role is RoleEntry
	Config    node.ConfigView
	Instances backing.InstanceList
	ClaimLog  backing.Log // holds the claims of non-idempotent requests and of rank groups
	Log       *log.Logger
	Metrics   *telemetry.EntryMetrics
	Tracer    trace.Tracer
	DrainWait time.Duration // from unready until new connections are refused
	Buffers   Buffers       // for what is held of answers; nil for no limit but that of each
}

// Server is a front proxy. No other lock is taken while one of its own is held.
type Server struct {
	opt   Options
	node  *node.Node
	links *linkTable
	http  *http.Server
	conns *idleconn.Tracker // of http

	listenerMu sync.Mutex    // guards listener
	listener   net.Listener  // set by serveCallers
	served     chan struct{} // closed when http accepts no further connections
	draining   atomic.Bool   // Shutdown waits for the requests in flight

	claims *claim.Client

	refusals recent.RefusalBuffer
	inFlight atomic.Int64 // requests being served

	policy *routingPolicy
	groups *groupManager

	budgetMu    sync.Mutex
	budget      *admit.RetryBudget
	budgetRatio float64
}

// New returns a Server that is not serving yet.
func New(opt Options) *Server {
	n := node.New(opt.Hello, opt.Config)
	s := &Server{
		opt:    opt,
		served: make(chan struct{}),
		node:   n,
		links:  newLinkTable(opt.Hello.Instance, n, opt.Log),
		policy: newRoutingPolicy(opt.Log),
		budget: admit.NewRetryBudget(0, retryBurst),
	}
	n.SetComparisonSource(s.policy.comparison)
	s.groups = newGroupManager(&opt, s.links)
	s.links.onAck = s.groups.dispatchAck
	s.claims = claim.NewClient(claim.Options{
		Service:   opt.Hello.Service,
		Claimant:  opt.Hello.Incarnation,
		Log:       opt.ClaimLog,
		Transport: claimTransport{s},
		Logger:    opt.Log,
		Tuning:    claim.DefaultTuning(),
	})
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ReadHeaderTimeout: headerReadTimeout,
		ReadTimeout:       bodyReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    api.MaxHeaderBytes,
	}
	s.conns = idleconn.Track(s.http, idleconn.Options{Refuse: func(w http.ResponseWriter, r *http.Request) { s.reject(w, r, api.BuffersFull) }})
	return s
}

// Serve serves callers on ln. It returns nil as soon as Shutdown closes ln,
// without waiting for requests in flight, and otherwise the error of the HTTP
// server. Links to sidecars are kept and the instance list is polled until ctx is
// done, so ctx must outlive Shutdown.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	go s.watchConfig(ctx)
	return s.serveCallers(ln)
}

func (s *Server) serveCallers(ln net.Listener) error {
	s.listenerMu.Lock()
	s.listener = ln
	s.listenerMu.Unlock()
	err := s.http.Serve(s.conns.Listener(ln))
	close(s.served)
	if s.draining.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stopAccepting closes the listener, if there is one, and waits until every accepted
// connection is tracked. Error: that of closing the listener.
func (s *Server) stopAccepting() error {
	s.draining.Store(true)
	s.listenerMu.Lock()
	defer s.listenerMu.Unlock()
	if s.listener == nil {
		return nil
	}
	if err := s.listener.Close(); err != nil {
		return err
	}
	<-s.served
	return nil
}

// watchConfig applies every change of the service configuration and of the
// instance list until ctx is done.
func (s *Server) watchConfig(ctx context.Context) {
	ticker := time.NewTicker(instanceListInterval)
	defer ticker.Stop()
	changed := s.opt.Config.Subscribe()
	instances := s.fetchInstances(ctx, nil)
	for {
		s.applyConfig(ctx, instances)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			instances = s.fetchInstances(ctx, instances)
		}
	}
}

// fetchInstances returns the instance list; last if the list is unavailable.
func (s *Server) fetchInstances(ctx context.Context, last []backing.Instance) []backing.Instance {
	list, err := s.opt.Instances.Instances(ctx)
	if err != nil {
		s.opt.Log.Warn("instance-list-unavailable", "err", err)
		return last
	}
	return list
}

func (s *Server) applyConfig(ctx context.Context, instances []backing.Instance) {
	doc := s.opt.Config.Document()
	if doc == nil {
		s.links.bootstrap(ctx, instances)
		return
	}
	s.policy.update(doc.Doc.Routing)
	s.setRetryBudget(doc.Doc.Limits.RetryBudget)
	s.links.update(ctx, doc, instances)
	s.opt.Metrics.SetConfig(doc.Offset, s.opt.Config.Current())
	s.opt.Metrics.SetConnections(s.links.connections())
	s.groups.update(ctx, doc.Doc, instances)
}

func (s *Server) setRetryBudget(ratio float64) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	if ratio != s.budgetRatio {
		s.budgetRatio = ratio
		s.budget = admit.NewRetryBudget(ratio, retryBurst)
	}
}

func (s *Server) depositRetryBudget() {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget.Deposit()
}

func (s *Server) withdrawRetry() bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return s.budget.TryWithdraw()
}

// Ready returns nil if the front proxy accepts new requests, and otherwise the reason.
func (s *Server) Ready() error { return s.node.Ready() }

// Shutdown marks the front proxy as not ready, waits for DrainWait so that the
// platform's load balancer notices, stops accepting connections and waits for
// requests in flight. Errors: that of ctx if it is done first, or of closing the
// listener.
func (s *Server) Shutdown(ctx context.Context) error {
	s.node.SetLeaving()
	select {
	case <-ctx.Done():
	case <-time.After(s.opt.DrainWait):
	}
	if err := s.stopAccepting(); err != nil {
		return err
	}
	if err := s.conns.Drain(ctx); err != nil {
		return err
	}
	return s.claims.Close(ctx)
}
