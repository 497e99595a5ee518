// Package entry is the stateless front of the system. It parses, admits and
// routes callers' requests, relays answers and retries. Any entry may serve
// any caller; what it believes of backend servers lags, and the side
// processes decide.
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
	"marjorampitch/internal/node"
	"marjorampitch/internal/recent"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// Timing and sizes of an entry.
const (
	listInterval      = time.Second
	headerReadTimeout = 5 * time.Second
	bodyReadTimeout   = 15 * time.Second
	idleTimeout       = 60 * time.Second
	retryBurst        = 20 // retries that may be made at once
)

// Options of a Server. All fields are needed.
type Options struct {
	Hello     wire.Hello // names the process; Role is RoleEntry
	Config    node.ConfigView
	Instances backing.InstanceList
	ClaimLog  backing.Log // where calls that may not repeat and rank groups are claimed
	Log       *log.Logger
	Metrics   *telemetry.EntryMetrics
	Tracer    trace.Tracer
	DrainWait time.Duration // from readiness off until new connections are refused
}

// Server is an entry. Its locks are taken alone.
type Server struct {
	opt   Options
	node  *node.Node
	table *table
	http  *http.Server

	claims *claim.Client

	refusals recent.Log
	inFlight atomic.Int64 // requests being served

	policies *policies
	groups   *groups

	budgetMu sync.Mutex
	budget   *admit.RetryBudget
	ratio    float64
}

// New returns a Server that is not yet serving.
func New(opt Options) *Server {
	n := node.New(opt.Hello, opt.Config)
	s := &Server{
		opt:      opt,
		node:     n,
		table:    newTable(opt.Hello.Instance, n, opt.Log),
		policies: newPolicies(opt.Log),
		budget:   admit.NewRetryBudget(0, retryBurst),
	}
	n.CompareBy(s.policies.comparison)
	s.groups = newGroups(&opt, s.table)
	s.table.acks = s.groups.ack
	s.claims = claim.NewClient(claim.Options{
		Service:   opt.Hello.Service,
		Claimant:  opt.Hello.Incarnation,
		Log:       opt.ClaimLog,
		Transport: sides{s},
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
	return s
}

// Serve answers callers on ln until Shutdown is called, which it does not wait
// for. The links to side processes and the following of the instance list
// last until ctx ends, so ctx must outlive Shutdown.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	go s.follow(ctx)
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// follow keeps links, picker and retry budget in line with the document and the instance list.
func (s *Server) follow(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	changed := s.opt.Config.Subscribe()
	instances := s.list(ctx, nil)
	for {
		s.apply(ctx, instances)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			instances = s.list(ctx, instances)
		}
	}
}

// list asks for the instance list; while it is unavailable the last one counts.
func (s *Server) list(ctx context.Context, last []backing.Instance) []backing.Instance {
	list, err := s.opt.Instances.Instances(ctx)
	if err != nil {
		s.opt.Log.Warn("instance-list-unavailable", "err", err)
		return last
	}
	return list
}

func (s *Server) apply(ctx context.Context, instances []backing.Instance) {
	doc := s.opt.Config.Document()
	if doc == nil {
		s.table.bootstrap(ctx, instances)
		return
	}
	s.policies.set(doc.Doc.Routing)
	s.setBudget(doc.Doc.Limits.RetryBudget)
	s.table.update(ctx, doc, instances)
	s.opt.Metrics.SetConfig(doc.Offset, s.opt.Config.Current())
	s.opt.Metrics.SetConnections(s.table.connections())
	s.groups.follow(ctx, doc.Doc, instances)
}

func (s *Server) setBudget(ratio float64) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	if ratio != s.ratio {
		s.ratio = ratio
		s.budget = admit.NewRetryBudget(ratio, retryBurst)
	}
}

func (s *Server) countFirst() {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget.Deposit()
}

func (s *Server) takeRetry() bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return s.budget.TryWithdraw()
}

// Ready returns nil while the entry takes new work, and otherwise the reason.
func (s *Server) Ready() error { return s.node.Ready() }

// Shutdown turns readiness off, waits until the platform's balancer has had
// time to see it, then serves what is in flight and returns.
func (s *Server) Shutdown(ctx context.Context) error {
	s.node.SetLeaving()
	select {
	case <-ctx.Done():
	case <-time.After(s.opt.DrainWait):
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return err
	}
	return s.claims.Close(ctx)
}
