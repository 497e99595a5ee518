package entry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"marjorampitch/api"
)

// startRequest begins the span of a caller's request.
func (s *Server) startRequest(ctx context.Context, c *call) (context.Context, trace.Span) {
	return s.opt.Tracer.Start(ctx, "entry.request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request.id", c.id),
		attribute.String("route", c.route.Name),
	))
}

// startAttempt begins the span of one attempt at a backend server.
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
