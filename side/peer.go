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
	case *wire.KeyQuery:
		s.query(c, m)
	case *wire.Order:
		s.order(c, m)
	default:
		s.opt.Log.Warn("message-not-served", "peer", c.Peer().Instance)
	}
}

// Closed implements wire.Handler: answers on c lose their receiver.
func (s *Server) Closed(c *wire.Conn, err error) {
	s.opt.Log.Info("peer-gone", "peer", c.Peer().Instance, "err", err)
	s.node.Gone(c)
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

// abandon gives a request that lost its receiver some time to be resumed. A
// call that may not repeat goes on: its outcome belongs to its key.
func (s *Server) abandon(sn *subscription) {
	sn.sub.cancel()
	a := sn.attempt
	if !a.detach(sn.sub) {
		return
	}
	time.AfterFunc(resumeGrace, func() {
		if !a.orphaned() {
			return
		}
		if a.req.Idempotent {
			s.giveUp(a, "no receiver")
		}
		s.forget(a)
	})
}

// giveUp ends an attempt that nobody waits for.
func (s *Server) giveUp(a *attempt, why string) {
	e := api.NewError(api.Cancelled, why)
	l := s.limiter.Load()
	if l != nil && l.withdraw(a.ticket) {
		e.Ran = api.NotRun
		s.drop(a, e)
		return
	}
	a.cancel(e)
}

func (s *Server) credit(c *wire.Conn, m *wire.Credit) {
	s.mu.Lock()
	sn := s.streams[streamKey{c, m.Stream}]
	s.mu.Unlock()
	if sn != nil {
		sn.sub.window.grow(m.Bytes)
	}
}

// cancel gives up an idempotent request whose caller went away.
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
		s.giveUp(sn.attempt, "caller went away")
	}
}

// request starts or resumes an attempt, or refuses it.
func (s *Server) request(c *wire.Conn, m *wire.Request) {
	if m.Resume {
		s.resume(c, m)
		return
	}
	doc, e := s.allowed()
	if e == nil && m.BudgetMillis <= 0 {
		e = api.NewError(api.DeadlineTooShort, "no time left")
	}
	alone := false
	if e == nil {
		alone, e = s.judge(m)
	}
	if !m.Idempotent {
		e = s.keys.begin(m, e)
	}
	if e != nil {
		s.refuse(c, m.Stream, m.Attempt, m.RequestID, e)
		return
	}
	a := s.begin(m, alone)
	s.subscribe(c, m, a)
	s.limiter.Load().offer(a.ticket, m, weight(doc, m.Organisation))
}

// begin makes the attempt for m, to be started or refused by the limiter.
func (s *Server) begin(m *wire.Request, alone bool) *attempt {
	budget := time.Duration(m.BudgetMillis) * time.Millisecond
	late := api.NewError(api.DeadlineExceeded, "at the backend server")
	if !m.Idempotent {
		budget += claimedExtra
	}
	ctx, stop := context.WithTimeoutCause(context.Background(), budget, late)
	ctx, cancel := context.WithCancelCause(ctx)
	a := newAttempt(m, cancel)
	span := s.startAdmit(m)
	a.ticket = &ticket{
		organisation: m.Organisation,
		fingerprint:  m.Fingerprint,
		alone:        alone,
		start: func() {
			endSpan(span, nil)
			s.pool.Go(func() {
				defer stop()
				s.run(ctx, a)
			})
		},
		refuse: func(e *api.Error) {
			endSpan(span, e)
			stop()
			s.refusals.Add(m.RequestID, e)
			s.drop(a, e)
		},
	}
	s.mu.Lock()
	s.attempts[m.RequestID] = a
	s.mu.Unlock()
	return a
}

// resume continues the answer of an attempt that lost its connection.
func (s *Server) resume(c *wire.Conn, m *wire.Request) {
	s.mu.Lock()
	a := s.attempts[m.RequestID]
	s.mu.Unlock()
	if a == nil || a.req.Fingerprint != m.Fingerprint || !s.subscribe(c, m, a) {
		e := api.NewError(api.NotResumable, "")
		s.refuse(c, m.Stream, m.Attempt, m.RequestID, e)
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
		s.deliver(ctx, key, a, sub)
		stop()
	}()
	return true
}

// deliver sends the answer of a to sub. When it cannot, because the connection
// is closed or another receiver came, the attempt is abandoned: either this or
// Closed may be the first to see that the connection is gone.
func (s *Server) deliver(ctx context.Context, key streamKey, a *attempt, sub *subscriber) {
	whole := s.pump(ctx, a, sub)
	s.mu.Lock()
	sn := s.streams[key]
	delete(s.streams, key)
	s.mu.Unlock()
	switch {
	case whole && !a.req.Streaming:
		s.forget(a)
	case !whole && sn != nil:
		s.abandon(sn)
	}
}

// query answers an entry that asks what became of a claim.
func (s *Server) query(c *wire.Conn, m *wire.KeyQuery) {
	answer := s.keys.query(m)
	if m.Seal && answer.State == wire.KeySealed {
		s.opt.Metrics.Sealed()
	}
	c.Send(answer)
}
