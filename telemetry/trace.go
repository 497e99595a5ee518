package telemetry

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	tracerName    = "marjorampitch"
	traceFileMode = 0o644
)

// Exporter is the destination of spans.
type Exporter string

// Values of Exporter.
const (
	ExporterNone Exporter = "none" // no spans are created; a caller's trace context is propagated
	ExporterFile Exporter = "file" // one JSON object per span
	ExporterOTLP Exporter = "otlp" // OTLP over HTTP
)

// TraceOptions are the options of NewTracing.
type TraceOptions struct {
	Exporter    Exporter
	File        string  // path, for ExporterFile; spans are appended
	Endpoint    string  // URL, for ExporterOTLP, e.g. "http://10.0.0.9:4318"
	SampleRatio float64 // share of the traces started by this process that are recorded, 0 to 1
}

// Tracing is the tracer of a process and its exporter.
type Tracing struct {
	trace.Tracer
	stop []func(context.Context) error
}

// NewTracing starts tracing. Errors: opts.Exporter is unknown, the file cannot be
// opened, the OTLP exporter cannot be created.
func NewTracing(ctx context.Context, opts TraceOptions, id Identity) (*Tracing, error) {
	switch opts.Exporter {
	case ExporterNone, "":
		return &Tracing{Tracer: noop.NewTracerProvider().Tracer(tracerName)}, nil
	case ExporterFile:
		return newFileTracing(opts, id)
	case ExporterOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(opts.Endpoint))
		if err != nil {
			return nil, eris.Wrapf(err, "create OTLP exporter for endpoint %q", opts.Endpoint)
		}
		return newTracing(exporter, opts, id), nil
	}
	return nil, eris.Errorf("unknown trace exporter %q: want none, file or otlp", opts.Exporter)
}

func newFileTracing(opts TraceOptions, id Identity) (*Tracing, error) {
	file, err := os.OpenFile(opts.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, traceFileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "open trace file %q", opts.File)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		file.Close()
		return nil, eris.Wrapf(err, "create exporter to trace file %q", opts.File)
	}
	t := newTracing(exporter, opts, id)
	t.stop = append(t.stop, func(context.Context) error { return file.Close() })
	return t, nil
}

func newTracing(exporter sdktrace.SpanExporter, opts TraceOptions, id Identity) *Tracing {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName+"-"+id.Role),
			attribute.String("service.instance.id", id.Instance),
			attribute.String("cloud.availability_zone", id.DataCentre),
		)),
	)
	return &Tracing{
		Tracer: provider.Tracer(tracerName),
		stop:   []func(context.Context) error{provider.Shutdown},
	}
}

// Shutdown exports the remaining spans and closes the exporter. It returns the first
// error.
func (t *Tracing) Shutdown(ctx context.Context) error {
	var first error
	for _, stop := range t.stop {
		if err := stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
