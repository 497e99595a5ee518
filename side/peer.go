package side

import (
	"context"
	"time"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// Handle implements wire.Handler.
func (s *Server) Handle(c *wire.Conn, m wire.Message) {
	if s.node.HandleControl(c, m) {
		return
	}
	switch m := m.(type) {
	case *wire.Request:
		s.handleRequest(c, m)
	case *wire.Credit:
		s.handleCredit(c, m)
	case *wire.Cancel:
		s.handleCancel(c, m)
	case *wire.KeyQuery:
		s.handleKeyQuery(c, m)
	case *wire.Order:
		s.handleOrder(c, m)
	default:
		s.opt.Log.Warn("message-not-served", "peer", c.Peer().Instance)
	}
}

// Closed implements wire.Handler. It detaches the subscribers on c from their
// attempts.
func (s *Server) Closed(c *wire.Conn, err error) {
	s.opt.Log.Info("peer-gone", "peer", c.Peer().Instance, "err", err)
	s.node.ConnClosed(c)
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
		s.awaitResume(sn)
	}
}

// awaitResume detaches the subscriber of sn from its attempt, and abandons the
// attempt if it is not resumed within resumeGrace.
func (s *Server) awaitResume(sn *subscription) {
	sn.sub.cancel()
	a := sn.attempt
	generation, ok := a.detach(sn.sub)
	if !ok {
		return
	}
	time.AfterFunc(resumeGrace, func() { s.abandonAttempt(a, generation, "no receiver") })
}

// abandonAttempt cancels and removes an attempt that has had no subscriber since the
// detach that returned generation. A non-idempotent call is removed but keeps
// running, because its outcome is stored under its key.
func (s *Server) abandonAttempt(a *attempt, generation uint64, reason string) {
	if !a.close(generation) {
		return
	}
	if a.req.Idempotent {
		s.cancelAttempt(a, reason)
	}
	s.removeAttempt(a)
}

// cancelAttempt ends an attempt that is closed to subscribers: it removes the attempt
// from the queue or cancels the call to the backend server.
func (s *Server) cancelAttempt(a *attempt, reason string) {
	e := api.NewError(api.Cancelled, reason)
	l := s.limiter.Load()
	if l != nil && l.withdraw(a.ticket) {
		e.Ran = api.NotRun
		s.finishAttempt(a, e)
		return
	}
	a.cancel(e)
}

func (s *Server) handleCredit(c *wire.Conn, m *wire.Credit) {
	s.mu.Lock()
	sn := s.streams[streamKey{c, m.Stream}]
	s.mu.Unlock()
	if sn != nil {
		sn.sub.window.grow(m.Bytes)
	}
}

// handleCancel abandons the attempt of a request whose caller disconnected.
func (s *Server) handleCancel(c *wire.Conn, m *wire.Cancel) {
	key := streamKey{c, m.Stream}
	s.mu.Lock()
	sn := s.streams[key]
	delete(s.streams, key)
	s.mu.Unlock()
	if sn == nil {
		return
	}
	sn.sub.cancel()
	a := sn.attempt
	if generation, ok := a.detach(sn.sub); ok {
		s.abandonAttempt(a, generation, "caller went away")
	}
}

// handleRequest starts, resumes or refuses an attempt.
func (s *Server) handleRequest(c *wire.Conn, m *wire.Request) {
	s.accepting.Add(1) // before the check of the leaving state, so that Shutdown waits for what passes it
	defer s.accepting.Add(-1)
	if m.Resume {
		s.resume(c, m)
		return
	}
	doc, e := s.checkNewWork()
	if e == nil && m.BudgetMillis <= 0 {
		e = api.NewError(api.DeadlineTooShort, "no time left")
	}
	alone := false
	if e == nil {
		alone, e = s.checkQuarantine(m)
	}
	if !m.Idempotent {
		e = s.keys.begin(m, e)
	}
	if e != nil {
		s.refuse(c, m.Stream, m.Attempt, m.RequestID, e)
		return
	}
	a := s.registerAttempt(m, alone)
	s.subscribe(c, m, a)
	s.limiter.Load().offer(a.ticket, m, organisationWeight(doc, m.Organisation))
}

// registerAttempt creates the attempt for m with a ticket for the limiter, which
// starts or refuses it.
func (s *Server) registerAttempt(m *wire.Request, alone bool) *attempt {
	budget := time.Duration(m.BudgetMillis) * time.Millisecond
	timeoutErr := api.NewError(api.DeadlineExceeded, "at the backend server")
	if !m.Idempotent {
		budget += claimedGracePeriod
	}
	ctx, stop := context.WithTimeoutCause(context.Background(), budget, timeoutErr)
	ctx, cancel := context.WithCancelCause(ctx)
	a := newAttempt(m, cancel)
	if own := s.ownConfig(); own != nil {
		a.limits = limitsFor(s.opt.Memory, min(own.MaxRunning, maxAttempts))
	}
	span := s.startAdmitSpan(m)
	a.ticket = &ticket{
		organisation: m.Organisation,
		fingerprint:  m.Fingerprint,
		alone:        alone,
		start: func() {
			endSpan(span, nil)
			s.pool.Go(func() {
				defer stop()
				s.runAttempt(ctx, a)
			})
		},
		refuse: func(e *api.Error) {
			endSpan(span, e)
			stop()
			s.refusals.Add(m.RequestID, e)
			s.finishAttempt(a, e)
		},
	}
	s.mu.Lock()
	s.attempts[m.RequestID] = a
	s.mu.Unlock()
	return a
}

// resume continues the response of an attempt whose connection was lost.
func (s *Server) resume(c *wire.Conn, m *wire.Request) {
	s.mu.Lock()
	a := s.attempts[m.RequestID]
	s.mu.Unlock()
	if a == nil || a.req.Fingerprint != m.Fingerprint || !s.subscribe(c, m, a) {
		e := api.NewError(api.NotResumable, "")
		s.refuse(c, m.Stream, m.Attempt, m.RequestID, e)
	}
}

// subscribe starts to send the response of a to the stream of m. It returns false
// if a is closed or the chunks from m.ResumeFrom on are not available.
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

// deliver sends the response of a to sub. If that fails, because the connection is
// closed or another subscriber has replaced sub, it calls awaitResume, and also at the
// end of a stream, since the connection may be lost before its peer has received the
// end. Any other attempt is removed once its response was sent. Either deliver or
// Closed may be the first to detect a closed connection.
func (s *Server) deliver(ctx context.Context, key streamKey, a *attempt, sub *subscriber) {
	complete := s.sendResponse(ctx, a, sub)
	s.mu.Lock()
	sn := s.streams[key]
	delete(s.streams, key)
	s.mu.Unlock()
	switch {
	case complete && !a.req.Streaming:
		s.removeAttempt(a)
	case sn != nil:
		s.awaitResume(sn)
	}
}

// handleKeyQuery sends the state of a claim to the front proxy that asked for it.
func (s *Server) handleKeyQuery(c *wire.Conn, m *wire.KeyQuery) {
	answer := s.keys.query(m)
	if m.Seal && answer.State == wire.KeySealed {
		s.opt.Metrics.Sealed()
	}
	c.Send(answer)
}
