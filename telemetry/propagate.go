package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

const keyTraceParent = "traceparent"

// w3c propagates trace context as specified by W3C Trace Context.
var w3c = propagation.TraceContext{}

// Extract returns ctx with the trace context of a caller's headers, or ctx unchanged
// if they have no valid one.
func Extract(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject adds the trace context of ctx to the headers of an outgoing request.
func Inject(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// TraceParent returns the trace context of ctx in text form, for
// wire.Request.TraceParent; empty if there is none.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return carrier.Get(keyTraceParent)
}

// WithTraceParent returns ctx with a trace context in text form, or ctx unchanged if
// traceParent is invalid.
func WithTraceParent(ctx context.Context, traceParent string) context.Context {
	if traceParent == "" {
		return ctx
	}
	return w3c.Extract(ctx, propagation.MapCarrier{keyTraceParent: traceParent})
}
