package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

const keyTraceParent = "traceparent"

// w3c carries trace context as the W3C trace-context recommendation says.
var w3c = propagation.TraceContext{}

// Extract returns ctx with the trace context of a caller's headers, if any is valid.
func Extract(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the trace context of ctx to the headers of an outgoing request.
func Inject(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// TraceParent returns the trace context of ctx in text form, for
// wire.Request.TraceParent; empty when there is none.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return carrier.Get(keyTraceParent)
}

// WithTraceParent returns ctx with the trace context in text form; an invalid one is passed over.
func WithTraceParent(ctx context.Context, traceParent string) context.Context {
	if traceParent == "" {
		return ctx
	}
	return w3c.Extract(ctx, propagation.MapCarrier{keyTraceParent: traceParent})
}
