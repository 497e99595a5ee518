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

// probeTimeout bounds the look at whether a backend server went down.
const probeTimeout = 300 * time.Millisecond

// Run follows the document and the backend server's load until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.configure()
		s.measure()
		s.configureRank(ctx)
		s.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// measure shows the process's state in its metrics.
func (s *Server) measure() {
	r := s.report()
	s.opt.Metrics.SetLimit(r.Limit, r.Cold)
	s.opt.Metrics.SetKeys(s.keys.len())
	if doc := s.opt.Config.Document(); doc != nil {
		s.opt.Metrics.SetConfig(doc.Offset, s.opt.Config.Current())
	}
}

// configure makes the limiter once there is a document, and keeps it in line with it.
func (s *Server) configure() {
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

// poll asks a model engine for its load.
func (s *Server) poll(ctx context.Context) {
	l := s.limiter.Load()
	if l == nil {
		return
	}
	if s.kind() != config.KindEngine {
		if l.isDown() && !s.down("") {
			l.answers()
		}
		l.pump()
		return
	}
	ctx, stop := context.WithTimeout(ctx, reportFreshFor)
	defer stop()
	asked := l.now()
	report, err := s.engine.Load(ctx)
	if err != nil {
		s.opt.Log.Debug("load-unavailable", "err", err)
		l.pump()
		return
	}
	s.observe(l, asked, &report)
}

// observe takes a report of the engine, asked for at asked: another
// incarnation than the last one means that the engine went down in between.
func (s *Server) observe(l *limiter, asked time.Duration, report *backing.EngineReport) {
	if known := l.incarnation(); known != "" && known != report.Incarnation {
		s.crash(l, known)
	}
	l.observe(asked, report)
}

func (s *Server) kind() config.Kind {
	be := s.self()
	if be == nil {
		return ""
	}
	return be.Kind
}

// broke is called when the backend server ended an attempt early. It returns
// once it is clear whether the server went down; then what was in flight is
// on record before any entry can try the request elsewhere.
func (s *Server) broke(l *limiter, e *api.Error) {
	if e.Code != api.BackendFailed && e.Code != api.StreamBroken {
		return
	}
	known := l.incarnation()
	if !s.down(known) {
		return
	}
	s.crash(l, known)
}

// down reports whether the backend server is gone, or is not the one that it was.
func (s *Server) down(known string) bool {
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	if s.kind() == config.KindEngine {
		report, err := s.engine.Load(ctx)
		return err != nil || report.Incarnation != known
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

// crash records that the incarnation of the backend server went down, once. It
// returns when every entry's connection has the news in its queue, also when
// another goroutine records the same crash: what is sent after it arrives
// after the news.
func (s *Server) crash(l *limiter, incarnation string) {
	s.crashMu.Lock()
	defer s.crashMu.Unlock()
	fingerprints, trial, number := l.crashed(incarnation)
	if number == 0 {
		return
	}
	id := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", s.opt.Hello.Instance, s.opt.Hello.Incarnation, number))
	s.node.Suspicion().Crash(id, fingerprints, trial)
	s.opt.Metrics.Crashed()
	s.opt.Log.Warn("backend-crashed", "incarnation", incarnation, "in-flight", len(fingerprints), "trial", trial)
	for _, c := range s.peers() {
		c.SendHeartbeat(s.node)
	}
	l.announced()
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

// report describes the backend server for entries.
func (s *Server) report() wire.Report {
	var r wire.Report
	if l := s.limiter.Load(); l != nil {
		r = l.report()
	}
	r.Leaving = s.node.Leaving()
	return r
}
