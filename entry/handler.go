package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"marjorampitch/api"
	"marjorampitch/internal/idleconn"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// maxInFlight bounds the number of concurrent requests, and so the memory that
// slow callers can occupy.
const maxInFlight = 4096

// handle serves one request.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	s.opt.Metrics.RequestBegun()
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > maxInFlight {
		s.reject(w, r, api.Overloaded)
		return
	}
	doc := s.opt.Config.Document()
	if doc == nil {
		s.reject(w, r, api.NotReady)
		return
	}
	if !s.opt.Config.Current() {
		s.reject(w, r, api.NotCurrent)
		return
	}
	c, e := parse(r, doc.Doc, doc.Offset, start)
	resp := newResponse(w, c.id)
	resp.observeGap = s.opt.Metrics.BetweenTokens
	defer resp.clearWriteDeadline()
	if e == nil {
		e = s.serve(telemetry.Extract(r.Context(), r.Header), c, resp, start)
	}
	s.recordRequest(c, resp, e, time.Since(start))
	if e != nil {
		idleconn.FinishBody(w, r)
		resp.fail(e)
	}
}

// reject answers a request with code without parsing it.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, code api.Code) {
	s.opt.Metrics.RequestDone(code, 0, 0)
	resp := newResponse(w, requestID(r))
	defer resp.clearWriteDeadline()
	idleconn.FinishBody(w, r)
	resp.fail(api.NewError(code, ""))
}

// serve runs the call within its deadline and writes the response if it succeeds.
// The error is to be sent to the caller. start is the arrival time of the request.
func (s *Server) serve(ctx context.Context, c *call, resp *response, start time.Time) *api.Error {
	ctx, stop := context.WithDeadline(ctx, c.deadline)
	defer stop()
	ctx, span := s.startRequest(ctx, c)
	defer span.End()
	s.traceAdmit(ctx, start)
	if !c.route.Idempotent {
		return s.serveNonIdempotent(ctx, c, resp)
	}
	if e := s.serveIdempotent(ctx, c, resp); e != nil {
		return e
	}
	if resp.complete() != nil {
		return api.NewError(api.Cancelled, "caller went away")
	}
	return nil
}

// recordRequest logs a finished request and updates the metrics.
func (s *Server) recordRequest(c *call, resp *response, e *api.Error, elapsed time.Duration) {
	code, ran, detail := api.OK, api.DidRun, ""
	if e != nil {
		code, ran, detail = e.Code, e.Ran, e.Detail
		s.refusals.Add(c.id, e)
	}
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	s.opt.Metrics.RequestDone(code, resp.attempts, elapsed)
	s.opt.Log.Info("request",
		"request", c.id, "route", name, "organisation", c.organisation,
		"code", int(code), "ran", ran, "attempts", resp.attempts, "side", resp.servedBy,
		"took", elapsed, "detail", detail)
}

// asError is errors.As with a type-checked target; it is false for a nil error.
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
