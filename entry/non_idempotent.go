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

// lookUpTimeout bounds a look-up of an idempotency key at a backend server.
const lookUpTimeout = 5 * time.Second

// errUnknownSide is returned by Query for a sidecar that is not in the instance list.
var errUnknownSide = eris.New("entry: sidecar is not in the instance list")

// serveNonIdempotent runs a call on a route that is not idempotent: it is executed
// at most once. The error is to be sent to the caller. A quarantined call is
// refused by the sidecar, not here: an earlier call with the same key may have
// run, which only the log and the sidecars know.
func (s *Server) serveNonIdempotent(ctx context.Context, c *call, resp *response) *api.Error {
	c.alone = s.node.Quarantine().Check(c.fingerprint) == admit.RunAlone
	doc := s.opt.Config.Document().Doc
	req := claim.Request{
		Key:      c.key,
		Message:  *c.wireRequest(ctx, 1, time.Now()),
		Deadline: c.deadline,
		MaxAge:   doc.Limits.KeyMaxAge,
		Pick:     s.claimTargets(c),
	}
	if c.route.LookupPath != "" {
		req.LookUp = func(ctx context.Context) (wire.Answer, bool) { return s.lookUp(ctx, c) }
	}
	res, err := s.claims.Do(ctx, req)
	s.opt.Metrics.Claimed(claimResult(&res, err))
	resp.servedBy = res.Side
	resp.attempts = res.Claims
	if err != nil {
		return claimError(err)
	}
	resp.replayed = res.Replayed
	resp.head(&wire.Head{Status: res.Answer.Status, Headers: res.Answer.Headers})
	resp.sendHeader()
	if resp.flush(res.Answer.Body) != nil {
		e := api.NewError(api.Cancelled, "caller went away")
		e.Ran = api.DidRun
		return e
	}
	return nil
}

// claimResult classifies the result of a call's claims for the metrics.
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

// claimError converts an error of a claimed call to an api.Error.
func claimError(err error) *api.Error {
	var e *api.Error
	if asError(err, &e) {
		return e
	}
	return api.NewError(api.Internal, err.Error())
}

// claimTargets returns the function that picks the sidecar for each claim of a
// call. It excludes sidecars that refused an earlier claim of the call.
func (s *Server) claimTargets(c *call) func(last *api.Error) (claim.Target, *api.Error) {
	excluded := make(map[string]bool)
	lastSide := "" // the sidecar named by the latest claim
	return func(last *api.Error) (claim.Target, *api.Error) {
		if last != nil {
			excluded[lastSide] = true
		}
		for {
			l, ok := s.pick(c, excluded)
			if !ok && last != nil {
				return claim.Target{}, last
			}
			if !ok {
				return claim.Target{}, api.NewError(api.NoBackend, c.route.Pool)
			}
			if incarnation := l.incarnation(); incarnation != "" {
				lastSide = l.name
				return claim.Target{Side: l.name, Incarnation: incarnation}, nil
			}
			excluded[l.name] = true
		}
	}
}

// incarnation returns the incarnation of the connected sidecar; "" if not connected.
func (l *link) incarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return ""
	}
	return l.conn.Peer().Incarnation
}

// claimTransport implements claim.Transport over the front proxy's links.
type claimTransport struct{ server *Server }

// Send implements claim.Transport.
func (t claimTransport) Send(ctx context.Context, to claim.Target, m *wire.Request) claim.SendResult {
	l := t.server.links.getOrStart(to.Side)
	if l == nil {
		return notSent(api.NewError(api.Unreachable, to.Side))
	}
	start := time.Now()
	ctx, span := t.server.startAttempt(ctx, l.name, m.Attempt)
	m.Window = windowBytes
	cs, e := l.openOn(to.Incarnation, func(stream uint64) wire.Message {
		m.Stream = stream
		return m
	})
	if e != nil {
		endSpan(span, e)
		return notSent(e)
	}
	defer cs.close()
	asm := newAssembler()
	asm.restart(m.Attempt)
	buf := bufferSink{held: held{buffers: t.server.opt.Buffers}}
	defer buf.held.release()
	asm.held = &buf.held
	out := receiveAnswer(ctx, cs, asm, &buf)
	endSpan(span, out.err)
	t.server.opt.Metrics.AttemptDone(resultCode(out.err))
	t.server.opt.Log.Debug("claimed-attempt", "request", m.RequestID, "side", l.name, "claim", m.ClaimOffset, "took", time.Since(start))
	switch {
	case out.err == nil:
		return claim.SendResult{Status: claim.SendReplied, Answer: buf.answer()}
	case out.connLost:
		return claim.SendResult{Status: claim.SendConnLost}
	}
	return claim.SendResult{Status: claim.SendRefused, Err: out.err}
}

func notSent(e *api.Error) claim.SendResult {
	return claim.SendResult{Status: claim.SendNotStarted, Err: e}
}

func resultCode(e *api.Error) api.Code {
	if e == nil {
		return api.OK
	}
	return e.Code
}

// Query implements claim.Transport.
func (t claimTransport) Query(ctx context.Context, to claim.Target, q *wire.KeyQuery) (*wire.KeyAnswer, error) {
	l := t.server.links.getOrStart(to.Side)
	if l == nil {
		return nil, errUnknownSide
	}
	cs, e := l.open(func(stream uint64) wire.Message {
		q.Stream = stream
		return q
	})
	if e != nil {
		return nil, e
	}
	defer cs.close()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-cs.inbox.ready:
		}
		messages, connErr := cs.inbox.take()
		for _, m := range messages {
			if a, ok := m.(*wire.KeyAnswer); ok {
				return a, nil
			}
		}
		if connErr != nil {
			return nil, connErr
		}
	}
}

// getOrStart returns the link to a sidecar; nil if the instance list does not contain
// it. If there is no link, it starts one, even if the sidecar is outside this
// front proxy's subset, so that any front proxy can query any claim. Such a link
// lasts until the service configuration or the instance list changes.
func (t *linkTable) getOrStart(name string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[name]; l != nil {
		return l
	}
	i := slices.IndexFunc(t.instances, func(inst backing.Instance) bool {
		return inst.Name == name && inst.Role == listRoleSide
	})
	if i < 0 {
		return nil
	}
	t.startLink(t.ctx, t.instances[i])
	return t.links[name]
}

// maxClaimedBytes bounds the answer to a claimed call. No message could carry a longer one.
const maxClaimedBytes = wire.MaxFrameBytes

// bufferSink is a sink that buffers the whole answer. Errors of write: StreamBroken.
type bufferSink struct {
	responseHead *wire.Head
	body         bytes.Buffer
	held         held
}

func (b *bufferSink) head(h *wire.Head) { b.responseHead = h }

func (b *bufferSink) write(data []byte) error {
	if b.body.Len()+len(data) > maxClaimedBytes {
		return api.NewError(api.StreamBroken, "answer is too long")
	}
	if !b.held.reserve(bufferCopies * len(data)) {
		return api.NewError(api.StreamBroken, "no room for the answer")
	}
	b.body.Write(data)
	return nil
}

func (b *bufferSink) answer() wire.Answer {
	a := wire.Answer{Status: http.StatusOK, Body: b.body.Bytes()}
	if b.responseHead != nil {
		a.Status = b.responseHead.Status
		a.Headers = b.responseHead.Headers
	}
	return a
}

// lookUp asks any backend server, on the route's look-up path, for the answer to
// an earlier request with the key of c. It returns false unless the status is 200;
// that does not prove that the request did not run.
func (s *Server) lookUp(ctx context.Context, c *call) (wire.Answer, bool) {
	query := *c
	query.method = http.MethodGet
	query.path = strings.ReplaceAll(c.route.LookupPath, "{key}", c.key)
	query.body = nil
	query.fingerprint = query.contentHash()
	query.deadline = time.Now().Add(lookUpTimeout)
	l, ok := s.pick(&query, nil)
	if !ok {
		return wire.Answer{}, false
	}
	ctx, cancel := context.WithDeadline(ctx, query.deadline)
	defer cancel()
	m := query.wireRequest(ctx, 1, time.Now())
	m.RequestID += ".look-up"
	m.Idempotent = true
	m.Window = windowBytes
	cs, e := l.open(func(stream uint64) wire.Message {
		m.Stream = stream
		return m
	})
	if e != nil {
		return wire.Answer{}, false
	}
	defer cs.close()
	asm := newAssembler()
	asm.restart(1)
	buf := bufferSink{held: held{buffers: s.opt.Buffers}}
	defer buf.held.release()
	asm.held = &buf.held
	if out := receiveAnswer(ctx, cs, asm, &buf); out.err != nil {
		return wire.Answer{}, false
	}
	answer := buf.answer()
	return answer, answer.Status == http.StatusOK
}
