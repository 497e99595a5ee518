package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"marjorampitch/api"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// maxInFlight bounds the requests that an entry serves at once, so that slow
// callers cost it a bounded amount of memory.
const maxInFlight = 4096

// handle serves one caller's request.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	s.opt.Metrics.RequestBegun()
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > maxInFlight {
		s.refuseEarly(w, r, api.Overloaded)
		return
	}
	doc := s.opt.Config.Document()
	if doc == nil {
		s.refuseEarly(w, r, api.NotReady)
		return
	}
	if !s.opt.Config.Current() {
		s.refuseEarly(w, r, api.NotCurrent)
		return
	}
	c, e := parse(r, doc.Doc, doc.Offset, start)
	a := newAnswer(w, c.id)
	a.between = s.opt.Metrics.BetweenTokens
	defer a.release()
	if e == nil {
		e = s.serve(telemetry.Extract(r.Context(), r.Header), c, a, start)
	}
	s.record(c, a, e, time.Since(start))
	if e != nil {
		a.fail(e)
	}
}

// refuseEarly answers a request that is not looked at any further.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, code api.Code) {
	s.opt.Metrics.RequestDone(code, 0, 0)
	a := newAnswer(w, requestID(r))
	defer a.release()
	a.fail(api.NewError(code, ""))
}

// serve runs the call within its deadline. The error is the caller's final answer.
// start is when the request arrived.
func (s *Server) serve(ctx context.Context, c *call, a *answer, start time.Time) *api.Error {
	ctx, stop := context.WithDeadline(ctx, c.deadline)
	defer stop()
	ctx, span := s.startRequest(ctx, c)
	defer span.End()
	s.traceAdmit(ctx, start)
	if !c.route.Idempotent {
		return s.serveOnce(ctx, c, a)
	}
	if e := s.serveIdempotent(ctx, c, a); e != nil {
		return e
	}
	if a.complete() != nil {
		return api.NewError(api.Cancelled, "caller went away")
	}
	return nil
}

// record writes the log line and the metrics of a request.
func (s *Server) record(c *call, a *answer, e *api.Error, took time.Duration) {
	code, ran, detail := api.OK, api.DidRun, ""
	if e != nil {
		code, ran, detail = e.Code, e.Ran, e.Detail
		s.refusals.Add(c.id, e)
	}
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	s.opt.Metrics.RequestDone(code, a.attempts, took)
	s.opt.Log.Info("request",
		"request", c.id, "route", name, "organisation", c.organisation,
		"code", int(code), "ran", ran, "attempts", a.attempts, "side", a.servedBy,
		"took", took, "detail", detail)
}

// asError is errors.As with a pointer of the wanted type.
func asError[T error](err error, target *T) bool {
	return err != nil && errors.As(err, target)
}

func isEventStream(headers []wire.Header) bool {
	for _, h := range headers {
		if http.CanonicalHeaderKey(h.Name) == "Content-Type" {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}
