package gateway

import (
	"context"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"marjorampitch/admit"
	"marjorampitch/backend"
	"marjorampitch/cost"
	"marjorampitch/directory"
	"marjorampitch/fleet"
	"marjorampitch/internal/callerconn"
	"marjorampitch/internal/clock"
	"marjorampitch/internal/idleconn"
	"marjorampitch/internal/sockopt"
	"marjorampitch/pace"
	"marjorampitch/peerread"
)

// Timing of a gateway.
const (
	sweepInterval = time.Second
	// defaultHeaderTimeout is the time for the head of a caller's request where the
	// document sets none; maxHeaderTimeout bounds what documents set.
	defaultHeaderTimeout = 10 * time.Second
	maxHeaderTimeout     = time.Minute
	groupUpdateInterval  = 200 * time.Millisecond // between updates of the rank groups from the directory
	callerUserTimeout    = 4 * time.Second        // TCP_USER_TIMEOUT of caller connections
	// callerIdleMargin is added to the document's idle timeout before an idle
	// caller connection is closed, so that a request already on its way still
	// arrives on an open connection.
	callerIdleMargin = 5 * time.Second
	// revocationMargin is subtracted from Bounds.RevocationBound: the gateway
	// stops trusting cached keys this long before a revoked key must be refused.
	revocationMargin = 300 * time.Millisecond
	// defaultInstances is used as the number of gateways that share a limit
	// while the directory lists none.
	defaultInstances = 16
	// retryRatioShare scales the configured retry ratio down. The ratio is defined
	// over requests by the time at which callers send them, but the gateway counts
	// them when they arrive; the share leaves room for the difference.
	retryRatioShare = 0.5
)

// Options are the settings and dependencies of a Gateway.
type Options struct {
	Settings Settings
	Headers  HeaderNames
	// PromptParts returns the ids of the parts of a request's prompt that other
	// requests may share. It may be nil.
	PromptParts func(http.Header) []uint64
	// RequestSize returns what a request states about its size; ok is false if it states
	// nothing. It may be nil.
	RequestSize func(http.Header) (size cost.Size, ok bool)
	Cache       *fleet.Cache
	// FreshnessProof returns the latest time, on the clock of package clock, at
	// which the cached document was known to be the newest one; ok is false
	// before the first complete read.
	FreshnessProof func() (at time.Duration, ok bool)
	// ServersProof is the same for the entries of the backend servers.
	ServersProof func() (at time.Duration, ok bool)
	Log          *log.Logger
	Registry     prometheus.Registerer
	// Directory lists the other instances. It may be nil.
	Directory *directory.Directory
	// Relay exchanges records of the store with the other gateways. It may be nil.
	Relay *peerread.Link
}

// Gateway forwards callers' requests to backend servers. It implements http.Handler.
type Gateway struct {
	opts       Options
	pool       *backend.Pool
	callers    *callerconn.Conns
	start      time.Time
	metrics    *metrics
	peers      *peers
	crashes    *crashGuard
	statements *serverStatements
	stages     stopStages
	inFlight   inFlightRequests

	mu       sync.Mutex // guards services; Directory.mu may be taken while it is held
	services map[string]*service

	timeouts offeredTimeouts
}

// New returns a Gateway and registers its metrics. Run starts it.
func New(opts Options) *Gateway {
	if opts.Settings.EntryInterval <= 0 {
		opts.Settings.EntryInterval = defaultEntryInterval
	}
	g := &Gateway{
		opts:     opts,
		start:    time.Now(),
		services: make(map[string]*service),
		metrics:  newMetrics(opts.Registry),
	}
	g.stages.init()
	g.peers = newPeers(g)
	g.crashes = newCrashGuard(opts.Log, g.metrics)
	g.statements = newServerStatements(opts.Settings.Instance, opts.Headers.Limit, opts.Log)
	g.callers = newCallerConns(g, opts.Settings.MemoryLimit, opts.Settings.Sockets)
	g.pool = backend.NewPool(g.now)
	g.pool.OnOpen = g.metrics.opened.Inc
	g.pool.MaxOpen = maxServerConns(opts.Settings.Sockets)
	opts.Registry.MustRegister(collector{g})
	return g
}

// now returns the monotonic time since the gateway was created.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// proofAge returns the age of the freshness proof of the cached document.
func (g *Gateway) proofAge() (time.Duration, bool) {
	at, ok := g.opts.FreshnessProof()
	return clock.SinceBoot() - at, ok
}

// documentFresh reports whether the freshness proof is recent enough to trust
// the keys of the cached document. The bound also applies where StrictRevocation
// is off, although partitioned instances need not meet it there.
func (g *Gateway) documentFresh() bool {
	age, ok := g.proofAge()
	bound := g.opts.Settings.Bounds.RevocationBound
	return ok && (bound == 0 || age < bound-revocationMargin)
}

// Ready reports whether the gateway should receive new connections.
func (g *Gateway) Ready() bool {
	return !g.stages.stopping.Load() && g.opts.Cache.View().Document != nil && g.documentFresh()
}

// service returns the state of a service and creates it on first use.
func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		b := g.opts.Settings.Bounds
		budget := admit.NewRetryBudget(retryRatioShare*b.RetryRatio, int(b.RetryBurst)/g.instances())
		s = newService(name, budget, g.statements, g.opts.Log)
		g.services[name] = s
	}
	return s
}

// knownService returns the state of a service that has some; nil otherwise.
func (g *Gateway) knownService(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[name]
}

// instances returns the number of gateways that share a limit.
func (g *Gateway) instances() int {
	if n := g.peers.gatewayCount(); n > 0 {
		return n
	}
	return defaultInstances
}

// allServices returns all services that have state.
func (g *Gateway) allServices() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		list = append(list, s)
	}
	return list
}

// gate returns the admission gate of a service and creates it at the first stream.
func (g *Gateway) gate(s *service, view *fleet.View, r *fleet.Route) *pace.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate == nil {
		s.gate = pace.NewGate(rand.New(rand.NewPCG(rand.Uint64(), 0)))
		s.objective = r.TargetGap
		g.updateGroups(s, view)
	}
	return s.gate
}

// updateGroups updates the rank groups of a service that has a gate. Callers
// hold the service's mu.
func (g *Gateway) updateGroups(s *service, view *fleet.View) {
	var engine *fleet.Engine
	if svc := view.Document.Services[s.name]; svc != nil {
		engine = svc.Engine
	}
	s.updateGroups(view.Services[s.name], g.peers.engineGroups(), engine, s.objective)
	s.costs.setEngine(engine)
	s.costs.setMemory(view.Services[s.name], g.peers.engineMemory())
}

// Run serves until ctx is done, then shuts down gracefully within the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	st := g.opts.Settings
	ln, err := callerconn.Listen(ctx, st.Listen, sockopt.UserTimeout(callerUserTimeout))
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if err := g.peers.run(ctx); err != nil {
		return err
	}
	return g.serve(ctx, ln)
}

// serve accepts caller connections from ln until ctx is done, then shuts down.
func (g *Gateway) serve(ctx context.Context, ln net.Listener) error {
	grace := callerIdleMargin + g.opts.Settings.Bounds.ApplyBound
	limits := &callerLimits{idle: idleLimit{grace: grace}, header: idleLimit{grace: grace}}
	srv := &http.Server{
		Handler: g, ReadHeaderTimeout: maxHeaderTimeout, BaseContext: func(net.Listener) context.Context { return g.stages.requests },
		ErrorLog: stdlog.New(serverErrors{g.opts.Log}, "", 0),
	}
	conns := idleconn.Track(srv, idleconn.Options{MaxHead: g.maxHead, Refuse: g.refuseFull})
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(conns.Listener(g.callers.Listener(ln))) }()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	groupTick := time.NewTicker(groupUpdateInterval)
	defer groupTick.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.stop(srv, ln, conns, failed)
		case err := <-failed:
			return eris.Wrap(err, "serve callers")
		case <-tick.C:
			g.sweep(conns, limits)
		case <-groupTick.C:
			g.updateAllGroups()
			gateways := g.peers.gateways()
			g.crashes.setGateways(g.opts.Settings.Instance, gateways)
			g.crashes.observe(g.opts.Cache.View(), g.now())
			g.statements.update(gateways, g.opts.Cache.View(), g.now())
		}
	}
}

// sweep drops state of removed servers, closes idle connections and logs the gates.
func (g *Gateway) sweep(conns *idleconn.Tracker, limits *callerLimits) {
	view := g.opts.Cache.View()
	g.pool.Sweep()
	g.callers.Sample()
	for _, s := range g.allServices() {
		s.prune(view)
		s.expireSlowness(view, g.now())
		g.logGate(s)
	}
	if view.Document != nil {
		conns.ExpireReading(limits.headerTimeout(view.Document.Limits.HeaderTimeout, g.now()))
		limit := limits.idle.update(view.Document.Limits.IdleTimeout, g.now()) + callerIdleMargin
		if n, longest := conns.ExpireIdle(limit); n > 0 {
			g.metrics.idleClosed.Add(float64(n))
			g.opts.Log.Info("idle-connections-closed", "count", n, "limit_ms", limit.Milliseconds(),
				"longest_ms", longest.Milliseconds(), "document", view.Document.Version)
		}
	}
}

// updateAllGroups updates the rank groups of all services that have a gate.
func (g *Gateway) updateAllGroups() {
	view := g.opts.Cache.View()
	for _, s := range g.allServices() {
		s.mu.Lock()
		if s.gate != nil {
			g.updateGroups(s, view)
		}
		s.mu.Unlock()
	}
}

// maxLoggedStack bounds the stack of a panic in a log line, in bytes.
const maxLoggedStack = 2 << 10

// serverErrors logs what http.Server reports, such as a panic of a handler, as one
// line each. It implements io.Writer.
type serverErrors struct{ log *log.Logger }

func (s serverErrors) Write(p []byte) (int, error) {
	line, stack, _ := strings.Cut(string(p), "\n")
	s.log.Error("http-server", "err", line, "stack", stack[:min(len(stack), maxLoggedStack)])
	return len(p), nil
}
