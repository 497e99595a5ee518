package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"marjorampitch/admit"
	"marjorampitch/backend"
	"marjorampitch/directory"
	"marjorampitch/fleet"
	"marjorampitch/internal/clock"
	"marjorampitch/internal/sockopt"
	"marjorampitch/pace"
)

// Timing of a gateway.
const (
	sweepEvery    = time.Second
	regroupEvery  = 200 * time.Millisecond // a new instance learns of others within a few of these
	callerTimeout = 4 * time.Second        // unacknowledged bytes towards a caller end its connection
	// idleMargin is added to the document's idle timeout before a caller's
	// connection is closed, so that a request on its way is not crossed.
	idleMargin = 5 * time.Second
	// proofMargin is kept from the time by which a withdrawn key must be refused.
	proofMargin = 300 * time.Millisecond
	// noticeTime is how long the platform takes to see that an instance is not
	// ready: two questions, a second apart, and one more for good measure.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is left of the grace time when the process ends by itself.
	stopMargin = 500 * time.Millisecond
	stopPoll   = 20 * time.Millisecond // between looks at what is underway
	// assumedInstances stands in for the number of gateways that share a limit
	// while none is known.
	assumedInstances = 16
	// retryShare is the part of the retry ratio that is used: requests are
	// counted here when they come, there when they were sent.
	retryShare = 0.5
)

// Options are what a Gateway is made of.
type Options struct {
	Settings Settings
	Headers  HeaderNames
	Cache    *fleet.Cache
	// FreshnessProof is the latest moment, on the clock of package clock, at which the
	// document in force is known to have been the newest.
	FreshnessProof func() (at time.Duration, ok bool)
	Log            *log.Logger
	Registry       prometheus.Registerer
	// Directory names the other instances. Nil stands for none.
	Directory *directory.Directory
}

// Gateway forwards requests. It implements http.Handler.
type Gateway struct {
	opts     Options
	pool     *backend.Pool
	start    time.Time
	metrics  *metrics
	peers    *peers
	stopping atomic.Bool // not ready, serves on
	leaving  atomic.Bool // refuses further requests
	underway underway

	mu       sync.Mutex // guards services; no other lock is taken under it
	services map[string]*service

	deadlines sync.Map // longest time that callers of a route have offered, by route name
}

// New returns a gateway that is not serving yet.
func New(opts Options) *Gateway {
	g := &Gateway{
		opts:     opts,
		start:    time.Now(),
		services: make(map[string]*service),
		metrics:  newMetrics(opts.Registry),
	}
	g.peers = newPeers(g)
	g.pool = backend.NewPool(g.now)
	g.pool.OnOpen = g.metrics.opened.Inc
	opts.Registry.MustRegister(collector{g})
	return g
}

// now is the monotonic time since the start.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// proofAge is the age of the proof that the document in force is the newest.
func (g *Gateway) proofAge() (time.Duration, bool) {
	at, ok := g.opts.FreshnessProof()
	return clock.Boot() - at, ok
}

// current reports whether a key in the document may be trusted. It is kept to
// also where a deployment does not bind instances that are cut off to it.
func (g *Gateway) current() bool {
	age, ok := g.proofAge()
	bound := g.opts.Settings.Bounds.RevocationBound
	return ok && (bound == 0 || age < bound-proofMargin)
}

// Ready reports whether new connections should come here.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.opts.Cache.View().Document != nil && g.current()
}

// service returns the state of a service.
func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		b := g.opts.Settings.Bounds
		budget := admit.NewRetryBudget(retryShare*b.RetryRatio, int(b.RetryBurst)/g.instances())
		s = newService(name, budget, g.opts.Log)
		g.services[name] = s
	}
	return s
}

// instances is the number of gateways that share a limit.
func (g *Gateway) instances() int {
	if n := g.peers.count(); n > 0 {
		return n
	}
	return assumedInstances
}

// all returns the services that have been asked for.
func (g *Gateway) all() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		list = append(list, s)
	}
	return list
}

// gate returns the service's gate, made at the first stream.
func (g *Gateway) gate(s *service, view *fleet.View, r *fleet.Route) *pace.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate == nil {
		s.gate = pace.NewGate(rand.New(rand.NewPCG(rand.Uint64(), 0)))
		s.objective = r.TargetGap
		g.regroup(s, view)
	}
	return s.gate
}

// regroup follows the groups of a paced service. Callers hold the service's mu.
func (g *Gateway) regroup(s *service, view *fleet.View) {
	var engine *fleet.Engine
	if svc := view.Document.Services[s.name]; svc != nil {
		engine = svc.Engine
	}
	s.regroup(view.Services[s.name], g.peers.engineGroups(), engine, s.objective)
}

// Run serves until ctx ends, and then stops gracefully within the grace time.
func (g *Gateway) Run(ctx context.Context) error {
	st := g.opts.Settings
	lc := net.ListenConfig{Control: sockopt.UserTimeout(callerTimeout)}
	ln, err := lc.Listen(ctx, "tcp", st.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	if err := g.peers.run(ctx); err != nil {
		return err
	}
	idle := newIdleConns()
	srv := &http.Server{Handler: g, ConnState: idle.changed, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	regroup := time.NewTicker(regroupEvery)
	defer regroup.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.stop(srv, ln)
		case err := <-failed:
			return eris.Wrap(err, "serve")
		case <-tick.C:
			g.sweep(idle)
		case <-regroup.C:
			g.regroupAll()
		}
	}
}

// sweep drops what is not needed any more.
func (g *Gateway) sweep(idle *idleConns) {
	view := g.opts.Cache.View()
	g.pool.Sweep()
	for _, s := range g.all() {
		s.forget(view)
		g.logGate(s)
	}
	if view.Document != nil && view.Document.Limits.IdleTimeout > 0 {
		idle.close(view.Document.Limits.IdleTimeout + idleMargin)
	}
}

// regroupAll follows the groups of all paced services.
func (g *Gateway) regroupAll() {
	view := g.opts.Cache.View()
	for _, s := range g.all() {
		s.mu.Lock()
		if s.gate != nil {
			g.regroup(s, view)
		}
		s.mu.Unlock()
	}
}

// logGate tells how a service's streams are paced.
func (g *Gateway) logGate(s *service) {
	for _, x := range s.status(g.now()) {
		if x.RunningTotal == 0 && x.Waiting == 0 {
			continue
		}
		g.opts.Log.Info("gate", "service", s.name, "group", x.Group, "running", x.Running, "running_all", x.RunningTotal,
			"limit", int(x.Limit), "share", int(x.Share), "waiting", x.Waiting, "gap_ms", x.Gap.Milliseconds(),
			"first_ms", x.FirstEvent.Milliseconds(), "peers", x.Peers, "rate", int(x.Rate))
	}
}

// stop lets the platform see that the instance is not ready, serves what still
// arrives meanwhile, and ends when nothing is underway or the grace time is
// nearly over. Callers are told to close their connections with their next
// answer. Idle connections are not closed before the end, as a request may
// just arrive; one that comes after the notice is refused, so that what runs
// can end in time.
func (g *Gateway) stop(srv *http.Server, ln net.Listener) error {
	g.stopping.Store(true)
	g.opts.Log.Info("stopping")
	began := g.now()
	grace := g.opts.Settings.Bounds.GracePeriod - stopMargin
	for {
		time.Sleep(stopPoll)
		since := g.now() - began
		if since >= noticeTime && !g.leaving.Swap(true) {
			ln.Close()
		}
		if since >= noticeTime && g.underway.close(false) {
			return srv.Close()
		}
		if since >= grace {
			g.underway.close(true)
			g.opts.Log.Warn("stopped-with-requests-underway")
			return srv.Close()
		}
	}
}

// idleConns knows the callers' connections on which nothing is underway.
type idleConns struct {
	mu    sync.Mutex // guards since
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]time.Time)} }

// changed follows the states of a server's connections.
func (i *idleConns) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
	} else {
		delete(i.since, c)
	}
}

// close closes what has been idle for longer than limit.
func (i *idleConns) close(limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, at := range i.since {
		if time.Since(at) > limit {
			c.Close()
			delete(i.since, c)
		}
	}
}
