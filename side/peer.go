package side

import (
	"context"
	"time"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// Handle implements wire.Handler.
func (s *Server) Handle(c *wire.Conn, m wire.Message) {
	if s.node.Control(c, m) {
		return
	}
	switch m := m.(type) {
	case *wire.Request:
		s.request(c, m)
	case *wire.Credit:
		s.credit(c, m)
	case *wire.Cancel:
		s.cancel(c, m)
	default:
		s.opt.Log.Warn("message-not-served", "peer", c.Peer().Instance)
	}
}

// Closed implements wire.Handler: answers on c lose their receiver.
func (s *Server) Closed(c *wire.Conn, err error) {
	s.opt.Log.Info("peer-gone", "peer", c.Peer().Instance, "err", err)
	s.mu.Lock()
	delete(s.conns, c)
	var lost []*subscription
	for key, sn := range s.streams {
		if key.conn == c {
			delete(s.streams, key)
			lost = append(lost, sn)
		}
	}
	s.mu.Unlock()
	for _, sn := range lost {
		s.abandon(sn)
	}
}

// abandon gives a request that lost its receiver some time to be resumed.
func (s *Server) abandon(sn *subscription) {
	sn.sub.cancel()
	if !sn.attempt.detach(sn.sub) || !sn.attempt.req.Idempotent {
		return
	}
	time.AfterFunc(resumeGrace, func() {
		if sn.attempt.orphaned() {
			sn.attempt.cancel(api.NewError(api.Cancelled, "no receiver"))
		}
	})
}

func (s *Server) credit(c *wire.Conn, m *wire.Credit) {
	s.mu.Lock()
	sn := s.streams[streamKey{c, m.Stream}]
	s.mu.Unlock()
	if sn != nil {
		sn.sub.window.grow(m.Bytes)
	}
}

// cancel gives up an idempotent request whose caller went away. A call that
// may not repeat goes on: its outcome belongs to its key.
func (s *Server) cancel(c *wire.Conn, m *wire.Cancel) {
	key := streamKey{c, m.Stream}
	s.mu.Lock()
	sn := s.streams[key]
	delete(s.streams, key)
	s.mu.Unlock()
	if sn == nil {
		return
	}
	sn.sub.cancel()
	if sn.attempt.detach(sn.sub) && sn.attempt.req.Idempotent {
		sn.attempt.cancel(api.NewError(api.Cancelled, "caller went away"))
	}
}

// request starts or resumes an attempt, or refuses it.
func (s *Server) request(c *wire.Conn, m *wire.Request) {
	if m.ResumeFrom > 0 {
		s.resume(c, m)
		return
	}
	if e := s.admit(m); e != nil {
		s.refuse(c, m.Stream, m.Attempt, e)
		return
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	a := newAttempt(m, cancel)
	s.mu.Lock()
	s.attempts[m.RequestID] = a
	s.mu.Unlock()
	s.subscribe(c, m, a)
	s.pool.Go(func() { s.run(ctx, a) })
}

// resume continues the answer of an attempt that lost its connection.
func (s *Server) resume(c *wire.Conn, m *wire.Request) {
	s.mu.Lock()
	a := s.attempts[m.RequestID]
	s.mu.Unlock()
	if a == nil || a.req.Fingerprint != m.Fingerprint || !s.subscribe(c, m, a) {
		e := api.NewError(api.StreamBroken, "nothing to resume")
		s.refuse(c, m.Stream, m.Attempt, e)
	}
}

// subscribe sends the answer of a to the stream of m. It reports false when
// the wanted chunks are no longer kept.
func (s *Server) subscribe(c *wire.Conn, m *wire.Request, a *attempt) bool {
	ctx, stop := context.WithCancel(context.Background())
	sub := &subscriber{
		conn:    c,
		stream:  m.Stream,
		attempt: m.Attempt,
		next:    m.ResumeFrom,
		window:  newWindow(m.Window),
		cancel:  stop,
	}
	if !a.attach(sub) {
		stop()
		return false
	}
	key := streamKey{c, m.Stream}
	s.mu.Lock()
	s.streams[key] = &subscription{attempt: a, sub: sub}
	s.mu.Unlock()
	go func() {
		defer stop()
		s.pump(ctx, a, sub)
		s.mu.Lock()
		delete(s.streams, key)
		s.mu.Unlock()
	}()
	return true
}

// run performs one attempt on a worker of the pool.
func (s *Server) run(ctx context.Context, a *attempt) {
	budget := time.Duration(a.req.BudgetMillis) * time.Millisecond
	ctx, stop := context.WithTimeoutCause(ctx, budget, api.NewError(api.DeadlineExceeded, "at the backend server"))
	defer stop()
	start := time.Now()
	e := s.backend.run(ctx, a)
	a.finish(e)
	s.release(a)
	code := api.OK
	if e != nil {
		code = e.Code
	}
	took := time.Since(start)
	s.opt.Metrics.Attempt(code, took)
	s.opt.Log.Info("attempt", "request", a.req.RequestID, "attempt", a.req.Attempt, "code", int(code), "took", took)
}

// release gives the slot of a back and forgets a once nobody can resume it.
func (s *Server) release(a *attempt) {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	time.AfterFunc(resumeGrace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.attempts[a.req.RequestID] == a {
			delete(s.attempts, a.req.RequestID)
		}
	})
}
