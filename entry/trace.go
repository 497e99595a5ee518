package entry

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"marjorampitch/api"
)

// tracer makes the spans of this package; without a provider they cost nothing.
var tracer = otel.Tracer("marjorampitch/entry")

// traceParentKey is the carrier's key of the W3C trace context.
const traceParentKey = "traceparent"

// startRequest begins the span of a caller's request.
func startRequest(ctx context.Context, c *call) (context.Context, trace.Span) {
	return tracer.Start(ctx, "entry.request", trace.WithAttributes(
		attribute.String("request.id", c.id),
		attribute.String("route", c.route.Name),
	))
}

// startAttempt begins the span of one attempt at a backend server.
func startAttempt(ctx context.Context, side string, number uint32) (context.Context, trace.Span) {
	return tracer.Start(ctx, "entry.attempt", trace.WithAttributes(
		attribute.String("side", side),
		attribute.Int("attempt", int(number)),
	))
}

func endAttempt(span trace.Span, e *api.Error) {
	if e != nil {
		span.SetStatus(codes.Error, e.Code.Info().Name)
	}
	span.End()
}

// traceParent is the W3C header value of the span in ctx, or empty.
func traceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentKey]
}
