// Package daemon runs the processes of the system from their settings. The roles
// entry and side share their set-up: logs, traces, metrics, the follower of the
// service configuration, the status page and graceful shutdown. So do the roles
// gateway and rebalancer, which run with the platform's settings file.
//
// The roles run in two external environments. The roles entry and side use the
// services of package backing: the log service, the instance list, the weight
// store and the engines. The roles gateway and rebalancer run on the users'
// platform, to which package platform is the adapter: its settings file, store,
// model engines and backend servers.
package daemon

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/internal/callerconn"
	"marjorampitch/logfold"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// Time limits and intervals of a daemon.
const (
	stopTimeout        = 10 * time.Minute // for requests in flight during a graceful shutdown
	traceFlushTimeout  = 2 * time.Second
	checkpointInterval = 10 * time.Minute
	traceSampleRatio   = 1.0 // share of the traces started by this process that are recorded
)

// base is the set-up that the roles entry and side share.
type base struct {
	settings   *config.Settings
	log        *log.Logger
	tracing    *telemetry.Tracing
	registry   *prometheus.Registry
	logService backing.Log
	runner     *logfold.Runner
	hello      wire.Hello
	conns      *callerconn.Conns // of all listeners for HTTP
}

// status is the content of a process's status page. It is served as text or, through
// encoding/json, as JSON.
type status interface {
	WriteText(w io.Writer) error
}

func newBase(ctx context.Context, st *config.Settings, out io.Writer, role wire.Role) (*base, error) {
	p := st.Process
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(int64(p.MemoryMB)<<20)))
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
	registry := telemetry.NewRegistry()
	return &base{
		settings:   st,
		log:        logger,
		tracing:    tracing,
		registry:   registry,
		logService: logService,
		runner:     logfold.NewRunner(logService, followerOptions(p)),
		conns:      newConns(int64(p.MemoryMB)<<20, p.Sockets, registry, logger),
		hello: wire.Hello{
			Role:        role,
			Service:     p.Service,
			Instance:    p.Instance,
			DataCentre:  p.DataCentre,
			Incarnation: uuid.NewString(),
		},
	}, nil
}

// followerOptions returns options with which front proxies always read the log and
// write checkpoints, and sidecars read it only if front proxies do not supply the
// configuration.
func followerOptions(p config.ProcessSettings) logfold.Options {
	opts := logfold.Options{
		Service:    p.Service,
		DataCentre: p.DataCentre,
		ReadMode:   logfold.ReadWhenNeeded,
		Jitter:     rand.Float64,
	}
	if p.Role == config.RoleEntry {
		opts.ReadMode = logfold.ReadAlways
		opts.CheckpointEvery = checkpointInterval
	}
	return opts
}

func traceOptions(t config.TraceSettings) telemetry.TraceOptions {
	opts := telemetry.TraceOptions{Exporter: telemetry.Exporter(t.Exporter), SampleRatio: traceSampleRatio}
	switch t.Exporter {
	case config.TraceFile:
		opts.File = t.Target
	case config.TraceOTLP:
		opts.Endpoint = t.Target
	}
	return opts
}

// serveStatus serves health checks, metrics, profiles and the status page until ctx
// ends, within what conns leave. Error: the status address cannot be listened on.
func (b *base) serveStatus(ctx context.Context, conns *callerconn.Conns, ready func() error, describe func() status) error {
	mux := telemetry.NewMux(b.registry, ready)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, r, describe())
	})
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	return serveStatus(ctx, conns, b.settings.Process.Status, mux, b.log)
}

// writeStatus answers with JSON if the request asks for it, otherwise with plain
// text.
func writeStatus(w http.ResponseWriter, r *http.Request, st status) {
	if r.Header.Get("Accept") == "application/json" || r.URL.Query().Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(st)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	st.WriteText(w)
}

// close exports the remaining spans.
func (b *base) close() {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if err := b.tracing.Shutdown(ctx); err != nil {
		b.log.Warn("traces-lost", "err", err)
	}
	b.log.Info("stopped")
}

// shutdowner is a server that supports graceful shutdown.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

// stop shuts s down gracefully, within stopTimeout.
func (b *base) stop(s shutdowner) error {
	b.log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return s.Shutdown(ctx)
}
