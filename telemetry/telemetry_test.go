package telemetry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"marjorampitch/api"
	"marjorampitch/telemetry"
)

var id = telemetry.Identity{Role: "entry", Instance: "e1", DataCentre: "north"}

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// A line break in a value must not split a log line, and an unknown log level must
// be refused.
func TestLoggerWritesOneLine(t *testing.T) {
	var out bytes.Buffer
	logger, err := telemetry.NewLogger(&out, "info", id)
	require.NoError(t, err)
	logger.Debug("hidden")
	logger.Info("request", "id", "r1", "detail", "two\nlines")
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `level=info msg=request role=entry instance=e1 dc=north id=r1 detail="two\nlines"`)
	_, err = telemetry.NewLogger(&out, "loud", id)
	require.Error(t, err)
}

// The caller's trace id must reach the outgoing request whether or not spans are
// exported; otherwise a trace ends at this process.
func TestTraceContextIsPropagated(t *testing.T) {
	for _, exporter := range []telemetry.Exporter{telemetry.ExporterNone, telemetry.ExporterFile} {
		t.Run(string(exporter), func(t *testing.T) {
			opts := telemetry.TraceOptions{Exporter: exporter, File: filepath.Join(t.TempDir(), "spans"), SampleRatio: 1}
			tracing, err := telemetry.NewTracing(t.Context(), opts, id)
			require.NoError(t, err)

			ctx := telemetry.Extract(t.Context(), http.Header{"Traceparent": {parent}})
			ctx, span := tracing.Start(ctx, "entry.admit")
			text := telemetry.TraceParent(ctx)
			require.Contains(t, text, "0af7651916cd43dd8448eb211c80319c")
			span.End()

			h := http.Header{}
			telemetry.Inject(telemetry.WithTraceParent(context.Background(), text), h)
			require.Equal(t, text, h.Get("traceparent"))
			require.NoError(t, tracing.Shutdown(t.Context()))
			if exporter == telemetry.ExporterFile {
				spans, err := os.ReadFile(opts.File)
				require.NoError(t, err)
				require.Contains(t, string(spans), `"Name":"entry.admit"`)
			}
		})
	}
}

// Spans must be sent to the configured URL path before Shutdown returns; otherwise
// the last ones are lost.
func TestOTLPExportsOverHTTP(t *testing.T) {
	paths := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.URL.Path }))
	defer srv.Close()
	opts := telemetry.TraceOptions{Exporter: telemetry.ExporterOTLP, Endpoint: srv.URL + "/v1/traces", SampleRatio: 1}
	tracing, err := telemetry.NewTracing(t.Context(), opts, id)
	require.NoError(t, err)
	_, span := tracing.Start(t.Context(), "side.admit")
	span.End()
	require.NoError(t, tracing.Shutdown(t.Context()))
	require.Equal(t, "/v1/traces", <-paths)
}

// An unknown exporter and a file that cannot be opened must be errors at the start,
// and an invalid trace context from a peer must be ignored.
func TestTraceErrors(t *testing.T) {
	_, err := telemetry.NewTracing(t.Context(), telemetry.TraceOptions{Exporter: "unknown"}, id)
	require.Error(t, err)
	_, err = telemetry.NewTracing(t.Context(), telemetry.TraceOptions{Exporter: telemetry.ExporterFile}, id)
	require.Error(t, err)
	require.Equal(t, trace.SpanContext{}, trace.SpanContextFromContext(telemetry.WithTraceParent(t.Context(), "invalid")))
}

// Guards against wrong metric names and labels (an unknown result code is counted as
// 901), and against a readiness check that does not follow its reason.
func TestMuxAndMetrics(t *testing.T) {
	registry := telemetry.NewRegistry()
	entry := telemetry.NewEntryMetrics(registry)
	side := telemetry.NewSideMetrics(registry)
	entry.RequestBegun()
	entry.RequestDone(api.Unresolved, 2, time.Second)
	entry.AttemptDone(api.Code(12345))
	entry.Claimed(telemetry.ClaimWon)
	side.Admitted()
	side.SetLimit(3, true)

	var reason error
	mux := telemetry.NewMux(registry, func() error { return reason })
	status := func(path string) (int, string) {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code, w.Body.String()
	}
	code, text := status("/metrics")
	require.Equal(t, http.StatusOK, code)
	for _, line := range []string{
		`marjorampitch_entry_requests_total{code="301"} 1`,
		`marjorampitch_entry_attempts_total{code="901"} 1`,
		`marjorampitch_entry_claims_total{result="won"} 1`,
		`marjorampitch_entry_unresolved_total 1`,
		`marjorampitch_side_limit 3`,
		`marjorampitch_side_cold 1`,
	} {
		require.Contains(t, text, line+"\n")
	}
	code, _ = status("/readyz")
	require.Equal(t, http.StatusOK, code)
	reason = errors.New("no configuration yet")
	code, text = status("/readyz")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, text, "no configuration yet")
	code, _ = status("/healthz")
	require.Equal(t, http.StatusOK, code)
}

func ExampleNewEntryMetrics() {
	registry := prometheus.NewRegistry()
	metrics := telemetry.NewEntryMetrics(registry)
	metrics.RequestBegun()
	metrics.RequestDone(api.OK, 1, 20*time.Millisecond)
	families, _ := registry.Gather()
	for _, f := range families {
		if f.GetName() == "marjorampitch_entry_answer_seconds" {
			fmt.Println(f.GetMetric()[0].GetHistogram().GetSampleCount())
		}
	}
	// Output: 1
}
