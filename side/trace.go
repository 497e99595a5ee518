package side

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"marjorampitch/api"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// startAdmitSpan starts the span that covers a request's wait for admission.
func (s *Server) startAdmitSpan(m *wire.Request) trace.Span {
	ctx := telemetry.WithTraceParent(context.Background(), m.TraceParent)
	_, span := s.opt.Tracer.Start(ctx, "side.admit", trace.WithAttributes(
		attribute.String("request.id", m.RequestID),
		attribute.Int("attempt", int(m.Attempt)),
	))
	return span
}

// startAttemptSpan starts the span of one attempt at the backend server.
func (s *Server) startAttemptSpan(ctx context.Context, m *wire.Request) (context.Context, trace.Span) {
	ctx = telemetry.WithTraceParent(ctx, m.TraceParent)
	return s.opt.Tracer.Start(ctx, "side.backend", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request.id", m.RequestID),
		attribute.Int("attempt", int(m.Attempt)),
	))
}

func endSpan(span trace.Span, e *api.Error) {
	if e != nil {
		span.SetStatus(codes.Error, e.Code.Info().Name)
	}
	span.End()
}
