// Package daemon runs the processes of the system from their settings. Both
// roles share their set-up: log, traces, metrics, the configuration's
// follower, the status page and the graceful stop.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/logfold"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// Timing of a daemon.
const (
	stopTimeout     = 10 * time.Minute // a graceful stop waits this long for requests in flight
	traceFlush      = 2 * time.Second
	checkpointEvery = 10 * time.Minute
	statusTimeout   = 5 * time.Second
	traceAll        = 1.0 // share of the traces begun here that are recorded
)

// base is what both roles are built from.
type base struct {
	settings *config.Settings
	log      *log.Logger
	tracing  *telemetry.Tracing
	registry *prometheus.Registry
	platform backing.Log
	runner   *logfold.Runner
	hello    wire.Hello
}

// status is a process's own description for its status page.
type status interface {
	WriteText(w io.Writer) error
}

func newBase(ctx context.Context, st *config.Settings, out io.Writer, role wire.Role) (*base, error) {
	p := st.Process
	id := telemetry.Identity{Role: string(p.Role), Instance: p.Instance, DataCentre: p.DataCentre}
	logger, err := telemetry.NewLogger(out, string(st.Log), id)
	if err != nil {
		return nil, err
	}
	tracing, err := telemetry.NewTracing(ctx, traceOptions(st.Trace), id)
	if err != nil {
		return nil, err
	}
	logService := backing.NewLogClient(st.Platform.LogService)
	return &base{
		settings: st,
		log:      logger,
		tracing:  tracing,
		registry: telemetry.NewRegistry(),
		platform: logService,
		runner:   logfold.NewRunner(logService, followerOptions(p)),
		hello: wire.Hello{
			Role:        role,
			Service:     p.Service,
			Instance:    p.Instance,
			DataCentre:  p.DataCentre,
			Incarnation: uuid.NewString(),
		},
	}, nil
}

// followerOptions makes entries read the log and write checkpoints; sides
// live on what entries tell them and read when they are not told.
func followerOptions(p config.ProcessSettings) logfold.Options {
	opts := logfold.Options{
		Service:    p.Service,
		DataCentre: p.DataCentre,
		ReadMode:   logfold.ReadWhenNeeded,
		Jitter:     rand.Float64,
	}
	if p.Role == config.RoleEntry {
		opts.ReadMode = logfold.ReadAlways
		opts.CheckpointEvery = checkpointEvery
	}
	return opts
}

func traceOptions(t config.TraceSettings) telemetry.TraceOptions {
	opts := telemetry.TraceOptions{Exporter: telemetry.Exporter(t.Exporter), SampleRatio: traceAll}
	switch t.Exporter {
	case config.TraceFile:
		opts.File = t.Target
	case config.TraceOTLP:
		opts.Endpoint = t.Target
	}
	return opts
}

// serveStatus serves health checks, metrics, profiles and the status page until ctx ends.
func (b *base) serveStatus(ctx context.Context, ready func() error, describe func() status) error {
	ln, err := net.Listen("tcp", b.settings.Process.Status)
	if err != nil {
		return eris.Wrap(err, "status")
	}
	mux := telemetry.NewMux(b.registry, ready)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, r, describe())
	})
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: statusTimeout}
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			b.log.Error("status-failed", "err", err)
		}
	}()
	context.AfterFunc(ctx, func() { srv.Close() })
	return nil
}

// writeStatus answers with JSON when it is asked for, else with plain text.
func writeStatus(w http.ResponseWriter, r *http.Request, st status) {
	if r.Header.Get("Accept") == "application/json" || r.URL.Query().Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(st)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	st.WriteText(w)
}

// close flushes what the process still has to export.
func (b *base) close() {
	ctx, stop := context.WithTimeout(context.Background(), traceFlush)
	defer stop()
	if err := b.tracing.Shutdown(ctx); err != nil {
		b.log.Warn("traces-lost", "err", err)
	}
	b.log.Info("stopped")
}

// stopper is a server that can be stopped gracefully.
type stopper interface {
	Shutdown(ctx context.Context) error
}

// stop shuts the server down and reports how that went.
func (b *base) stop(s stopper) error {
	b.log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return s.Shutdown(ctx)
}
