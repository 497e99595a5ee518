package side

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/wire"
)

// healthCheckTimeout bounds a check whether the backend server is up.
const healthCheckTimeout = 300 * time.Millisecond

// Run applies changes of the service configuration and polls the backend server's
// load until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.configureLimiter()
		s.updateMetrics()
		s.configureRank(ctx)
		s.pollLoad(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateMetrics sets the gauges of the sidecar.
func (s *Server) updateMetrics() {
	r := s.report()
	s.opt.Metrics.SetLimit(r.Limit, r.Cold)
	s.opt.Metrics.SetKeys(s.keys.size())
	if doc := s.opt.Config.Document(); doc != nil {
		s.opt.Metrics.SetConfig(doc.Offset, s.opt.Config.Current())
	}
}

// configureLimiter creates the limiter when the service configuration first
// contains the backend server, and applies later changes to it.
func (s *Server) configureLimiter() {
	inForce := s.opt.Config.Document()
	if inForce == nil {
		return
	}
	be := inForce.Doc.Backend(s.opt.Hello.Instance)
	if be == nil {
		return
	}
	limits := inForce.Doc.Limits
	if l := s.limiter.Load(); l != nil {
		l.reconfigure(be, limits)
		return
	}
	s.limiter.Store(newLimiter(be, limits))
}

// pollLoad requests the load report of an engine. For other kinds it checks
// whether a crashed backend server accepts connections again.
func (s *Server) pollLoad(ctx context.Context) {
	l := s.limiter.Load()
	if l == nil {
		return
	}
	if s.backendKind() != config.KindEngine {
		if l.isDown() && !s.isBackendDown("") {
			l.setReachable()
		}
		l.dispatch()
		return
	}
	ctx, stop := context.WithTimeout(ctx, maxReportAge)
	defer stop()
	asked := l.now()
	report, err := s.engine.Load(ctx)
	if err != nil {
		s.opt.Log.Debug("load-unavailable", "err", err)
		l.dispatch()
		return
	}
	s.observeLoad(l, asked, &report)
}

// observeLoad applies a load report that was requested at asked. A changed
// incarnation means that the engine crashed in between.
func (s *Server) observeLoad(l *limiter, asked time.Duration, report *backing.EngineReport) {
	if last := l.incarnation(); last != "" && last != report.Incarnation {
		s.handleCrash(l, last)
	}
	l.observe(asked, report)
}

func (s *Server) backendKind() config.Kind {
	be := s.ownConfig()
	if be == nil {
		return ""
	}
	return be.Kind
}

// handleFailure checks whether the backend server crashed when an attempt failed.
// It returns after a crash has been recorded and announced, so that front proxies
// receive the list of requests in flight before they retry this one elsewhere.
func (s *Server) handleFailure(l *limiter, e *api.Error) {
	if e.Code != api.BackendFailed && e.Code != api.StreamBroken {
		return
	}
	incarnation := l.incarnation()
	if !s.isBackendDown(incarnation) {
		return
	}
	s.handleCrash(l, incarnation)
}

// isBackendDown reports whether the backend server does not respond or, for an
// engine, has another incarnation than the given one.
func (s *Server) isBackendDown(incarnation string) bool {
	ctx, stop := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer stop()
	if s.backendKind() == config.KindEngine {
		report, err := s.engine.Load(ctx)
		return err != nil || report.Incarnation != incarnation
	}
	target, err := url.Parse(s.opt.Backend)
	if err != nil {
		return false
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", target.Host)
	if err != nil {
		return true
	}
	c.Close()
	return false
}

// handleCrash records a crash of the given incarnation once and announces it to
// all front proxies. It returns when a heartbeat with the announcement is queued
// on every connection, even if another goroutine recorded the crash. Messages sent
// after it returns therefore arrive after the announcement.
func (s *Server) handleCrash(l *limiter, incarnation string) {
	s.crashMu.Lock()
	defer s.crashMu.Unlock()
	fingerprints, trial, number := l.recordCrash(incarnation)
	if number == 0 {
		return
	}
	id := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", s.opt.Hello.Instance, s.opt.Hello.Incarnation, number))
	s.node.Quarantine().RecordCrash(id, fingerprints, trial)
	s.opt.Metrics.Crashed()
	s.opt.Log.Warn("backend-crashed", "incarnation", incarnation, "in-flight", len(fingerprints), "trial", trial)
	for _, c := range s.peers() {
		c.SendHeartbeat(s.node)
	}
	l.setCrashAnnounced()
	for _, c := range s.peers() {
		c.SendHeartbeat(s.node)
	}
}

func (s *Server) peers() []*wire.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*wire.Conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// report returns the state of the backend server for front proxies.
func (s *Server) report() wire.Report {
	var r wire.Report
	if l := s.limiter.Load(); l != nil {
		r = l.report()
	}
	r.Leaving = s.node.Leaving()
	return r
}
