package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"marjorampitch/api"
)

// startRequest starts the span of a request.
func (s *Server) startRequest(ctx context.Context, c *call) (context.Context, trace.Span) {
	return s.opt.Tracer.Start(ctx, "entry.request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request.id", c.id),
		attribute.String("route", c.route.Name),
	))
}

// traceAdmit records the span of reading and validating the request, from start,
// its arrival, until now.
func (s *Server) traceAdmit(ctx context.Context, start time.Time) {
	_, span := s.opt.Tracer.Start(ctx, "entry.admit", trace.WithTimestamp(start))
	span.End()
}

// startPick starts the span of picking a backend server.
func (s *Server) startPick(ctx context.Context) trace.Span {
	_, span := s.opt.Tracer.Start(ctx, "entry.pick")
	return span
}

// startAttempt starts the span of one attempt at a backend server.
func (s *Server) startAttempt(ctx context.Context, side string, number uint32) (context.Context, trace.Span) {
	return s.opt.Tracer.Start(ctx, "entry.attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("side", side),
		attribute.Int("attempt", int(number)),
	))
}

func endSpan(span trace.Span, e *api.Error) {
	if e != nil {
		span.SetStatus(codes.Error, e.Code.Info().Name)
	}
	span.End()
}
