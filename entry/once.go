package entry

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/claim"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// lookUpTimeout bounds a look-up by key at the service itself.
const lookUpTimeout = 5 * time.Second

// errNoAnswer says that a side process did not answer a query.
var errNoAnswer = eris.New("entry: no answer to the query")

// serveOnce runs a call that may not repeat. The error is the caller's final
// answer. A call suspected of crashing servers is not refused here but by the
// side process: an earlier call with its key may have run, which only the log
// and the sides can tell.
func (s *Server) serveOnce(ctx context.Context, c *call, a *answer) *api.Error {
	c.alone = s.node.Suspicion().Judge(c.fingerprint) == admit.RunAlone
	doc := s.opt.Config.Document().Doc
	req := claim.Request{
		Key:      c.key,
		Message:  *c.request(ctx, 1, time.Now()),
		Deadline: c.deadline,
		MaxAge:   doc.Limits.KeyMaxAge,
		Pick:     s.onceTargets(c),
	}
	if c.route.LookupPath != "" {
		req.LookUp = func(ctx context.Context) (wire.Answer, bool) { return s.lookUp(ctx, c) }
	}
	res, err := s.claims.Do(ctx, req)
	s.opt.Metrics.Claimed(claimResult(&res, err))
	a.servedBy = res.Side
	a.attempts = res.Claims
	if err != nil {
		return onceError(err)
	}
	a.replayed = res.Replayed
	a.head(&wire.Head{Status: res.Answer.Status, Headers: res.Answer.Headers})
	a.sendHeader()
	if a.flush(res.Answer.Body) != nil {
		e := api.NewError(api.Cancelled, "caller went away")
		e.Ran = api.DidRun
		return e
	}
	return nil
}

// claimResult is the fate of a call's claims, for the metrics.
func claimResult(res *claim.Result, err error) telemetry.ClaimResult {
	var e *api.Error
	switch {
	case err == nil && res.Replayed:
		return telemetry.ClaimLost
	case err == nil:
		return telemetry.ClaimWon
	case asError(err, &e) && e.Ran == api.NotRun:
		return telemetry.ClaimRefused
	}
	return telemetry.ClaimUnknown
}

func onceError(err error) *api.Error {
	var e *api.Error
	if asError(err, &e) {
		return e
	}
	return api.NewError(api.Internal, err.Error())
}

// onceTargets returns the choice of a side for each claim of a call: one that
// has not refused it.
func (s *Server) onceTargets(c *call) func(last *api.Error) (claim.Target, *api.Error) {
	tried := make(map[string]bool)
	named := "" // by the latest claim
	return func(last *api.Error) (claim.Target, *api.Error) {
		if last != nil {
			tried[named] = true
		}
		for {
			l, ok := s.pick(c, tried)
			if !ok && last != nil {
				return claim.Target{}, last
			}
			if !ok {
				return claim.Target{}, api.NewError(api.NoBackend, c.route.Pool)
			}
			if incarnation := l.incarnation(); incarnation != "" {
				named = l.name
				return claim.Target{Side: l.name, Incarnation: incarnation}, nil
			}
			tried[l.name] = true
		}
	}
}

// incarnation returns that of the connected side process, or "".
func (l *link) incarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return ""
	}
	return l.conn.Peer().Incarnation
}

// sides implements claim.Transport over the entry's links.
type sides struct{ server *Server }

// Send implements claim.Transport.
func (t sides) Send(ctx context.Context, to claim.Target, m *wire.Request) claim.SendResult {
	l := t.server.table.link(to.Side)
	if l == nil {
		return notSent(api.NewError(api.Unreachable, to.Side))
	}
	start := time.Now()
	ctx, span := t.server.startAttempt(ctx, l.name, m.Attempt)
	m.Window = windowBytes
	x, e := l.openTo(to.Incarnation, func(stream uint64) wire.Message {
		m.Stream = stream
		return m
	})
	if e != nil {
		endSpan(span, e)
		return notSent(e)
	}
	defer x.close()
	parts := newAssembler()
	parts.restart(m.Attempt)
	var got collector
	out := follow(ctx, x, parts, &got)
	endSpan(span, out.err)
	t.server.opt.Metrics.AttemptDone(code(out.err))
	t.server.opt.Log.Debug("claimed-attempt", "request", m.RequestID, "side", l.name, "claim", m.ClaimOffset, "took", time.Since(start))
	switch {
	case out.err == nil:
		return claim.SendResult{Status: claim.SendReplied, Answer: got.answer()}
	case out.lost:
		return claim.SendResult{Status: claim.SendConnLost}
	}
	return claim.SendResult{Status: claim.SendRefused, Err: out.err}
}

func notSent(e *api.Error) claim.SendResult {
	return claim.SendResult{Status: claim.SendNotStarted, Err: e}
}

func code(e *api.Error) api.Code {
	if e == nil {
		return api.OK
	}
	return e.Code
}

// Query implements claim.Transport.
func (t sides) Query(ctx context.Context, to claim.Target, q *wire.KeyQuery) (*wire.KeyAnswer, error) {
	l := t.server.table.link(to.Side)
	if l == nil {
		return nil, errNoAnswer
	}
	x, e := l.open(func(stream uint64) wire.Message {
		q.Stream = stream
		return q
	})
	if e != nil {
		return nil, e
	}
	defer x.close()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-x.inbox.ready:
		}
		messages, lost := x.inbox.take()
		for _, m := range messages {
			if a, ok := m.(*wire.KeyAnswer); ok {
				return a, nil
			}
		}
		if lost != nil {
			return nil, lost
		}
	}
}

// link returns the link to a side process. One that is not among this entry's
// own is dialled, so that any entry can ask about any claim; it lasts until the
// document or the instance list changes. The result is nil for a name that is
// not on the list.
func (t *table) link(name string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[name]; l != nil {
		return l
	}
	i := slices.IndexFunc(t.instances, func(in backing.Instance) bool {
		return in.Name == name && in.Role == listRoleSide
	})
	if i < 0 {
		return nil
	}
	t.start(t.ctx, t.instances[i])
	return t.links[name]
}

// collector is a sink that keeps the whole answer.
type collector struct {
	first *wire.Head
	body  bytes.Buffer
}

func (c *collector) head(h *wire.Head) { c.first = h }

func (c *collector) write(data []byte) error {
	c.body.Write(data)
	return nil
}

func (c *collector) answer() wire.Answer {
	a := wire.Answer{Status: http.StatusOK, Body: c.body.Bytes()}
	if c.first != nil {
		a.Status = c.first.Status
		a.Headers = c.first.Headers
	}
	return a
}

// lookUp asks the service itself, through any of its sides, what became of a
// key. Only a found answer settles anything.
func (s *Server) lookUp(ctx context.Context, c *call) (wire.Answer, bool) {
	ask := *c
	ask.method = http.MethodGet
	ask.path = strings.ReplaceAll(c.route.LookupPath, "{key}", c.key)
	ask.body = nil
	ask.fingerprint = ask.hash()
	ask.deadline = time.Now().Add(lookUpTimeout)
	l, ok := s.pick(&ask, nil)
	if !ok {
		return wire.Answer{}, false
	}
	ctx, cancel := context.WithDeadline(ctx, ask.deadline)
	defer cancel()
	m := ask.request(ctx, 1, time.Now())
	m.RequestID += ".look-up"
	m.Idempotent = true
	m.Window = windowBytes
	x, e := l.open(func(stream uint64) wire.Message {
		m.Stream = stream
		return m
	})
	if e != nil {
		return wire.Answer{}, false
	}
	defer x.close()
	parts := newAssembler()
	parts.restart(1)
	var got collector
	if out := follow(ctx, x, parts, &got); out.err != nil {
		return wire.Answer{}, false
	}
	answer := got.answer()
	return answer, answer.Status == http.StatusOK
}
