package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/directory"
	"marjorampitch/fleet"
	"marjorampitch/gateway"
	"marjorampitch/internal/clock"
	"marjorampitch/peerread"
	"marjorampitch/platform"
	"marjorampitch/telemetry"
)

// Parameters of a gateway process.
const (
	logQueueLines   = 2000                    // lines queued for the reader of the log
	logLinesPerKind = 400                     // lines of one kind per second: several times the request rate of a gateway at the target load
	operatorWait    = 1500 * time.Millisecond // long-poll time of a read of the operator's stream
	// serverPauseShare is the pause between reads of the servers' stream as a share
	// of the drain bound. The stream has a record for every heartbeat, so it is read
	// in batches; a read with its retry, and the requests in progress, must fit into
	// the rest of the drain bound.
	serverPauseShare = 0.3
	minServerPause   = 200 * time.Millisecond
	directoryPause   = 400 * time.Millisecond  // between reads of the directory
	storeTimeout     = 1200 * time.Millisecond // for one call to the store, in addition to its long-poll time
	memoryLimitShare = 0.7                     // of the instance's memory, as the soft limit of the garbage collector
	// gatewayGCPercent is the growth of the heap after which garbage is collected.
	// Heaps are a few MB, so that collections are cheap and memory is not.
	gatewayGCPercent = 35
	logFlushTimeout  = 200 * time.Millisecond // for writing the queued lines at exit
	// missingServerShare is the time for which a server whose record disappeared
	// without notice stays usable, as a share of the drain bound.
	missingServerShare = 0.5
	metricsPort        = ":9464" // as deploy/system.toml says
)

// RunGateway runs a gateway with the platform's settings file at path until ctx
// ends. It writes log lines to out. Errors: the settings cannot be read, logLevel is
// unknown, an address cannot be listened on, those of gateway.Gateway.Run.
func RunGateway(ctx context.Context, path, logLevel string, out io.Writer) error {
	return runOnPlatform(ctx, path, logLevel, out, "gateway", func(ctx context.Context, st *platform.Settings, logger *log.Logger) error {
		debug.SetGCPercent(gatewayGCPercent)
		return serveGateway(ctx, st, logger)
	})
}

// runOnPlatform reads the platform's settings file and calls run with a logger of
// the role that never blocks.
func runOnPlatform(ctx context.Context, path, logLevel string, out io.Writer, role string,
	run func(ctx context.Context, st *platform.Settings, logger *log.Logger) error,
) error {
	runtime.MemProfileRate = 0 // these roles serve no heap profile, whose table takes more than a MB
	st, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if m := st.Gateway.MemoryLimit; m > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(m)))
	}
	lines := telemetry.NewLogWriter(out, logQueueLines, logLinesPerKind)
	defer flushLog(lines)
	logger, err := telemetry.NewLogger(lines, logLevel, telemetry.Identity{
		Role: role, Instance: st.Gateway.Instance, DataCentre: st.Gateway.DataCentre,
	})
	if err != nil {
		return err
	}
	watchSettings(ctx, path, logger)
	err = run(ctx, st, logger)
	logger.Info("stopped", "err", err)
	return err
}

// flushLog writes the queued lines. It gives up after logFlushTimeout, in case
// nothing reads the log.
func flushLog(lines *telemetry.LogWriter) {
	select {
	case <-lines.Close():
	case <-time.After(logFlushTimeout):
	}
}

func serveGateway(ctx context.Context, st *platform.Settings, logger *log.Logger) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel() // the cache is updated until the last request has ended
	registry := telemetry.NewRegistry()
	store := platform.NewStore(st.StoreAddress, logger)
	store.Observe = telemetry.NewStoreMetrics(registry).Call
	cache := fleet.NewCache(time.Duration(missingServerShare * float64(st.Gateway.Bounds.DrainBound)))
	dir := directory.New(store, directoryPause, logger)
	go dir.Run(background)
	link := peerread.NewLink(peerread.Options{
		Instance: st.Gateway.Instance, DataCentre: st.Gateway.DataCentre, Entries: dir.Entries, Clock: clock.SinceBoot,
		Observe: telemetry.NewRelayMetrics(registry).Request, Log: logger,
	})
	operator := followOperator(store, link, cache, logger)
	servers := followServers(store, link, cache, st.Gateway.Bounds.DrainBound, logger)
	go operator.Run(background)
	go servers.Run(background)

	g := gateway.New(gateway.Options{
		Settings: st.Gateway, Headers: platform.HeaderNames, PromptParts: platform.PromptParts, RequestSize: platform.RequestSize,
		Cache: cache, FreshnessProof: operator.FreshnessProof, ServersProof: servers.FreshnessProof,
		Log: logger, Registry: registry, Directory: dir, Relay: link,
	})
	if err := serveStatus(background, g.Callers(), st.Gateway.ReadyAddr, readyHandler(g.Ready), logger); err != nil {
		return err
	}
	if err := serveStatus(background, g.Callers(), st.Gateway.Address+metricsPort, telemetry.NewMux(registry, readyError(g.Ready)), logger); err != nil {
		return err
	}
	logger.Info("started", "listen", st.Gateway.Listen, "store", st.StoreAddress)
	return g.Run(ctx)
}

// readyHandler answers the platform's readiness check: 200 while the instance
// accepts new connections, otherwise 503.
func readyHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

var errNotReady = errors.New("not ready")

// readyError returns a check for telemetry.NewMux.
func readyError(ready func() bool) func() error {
	return func() error {
		if !ready() {
			return errNotReady
		}
		return nil
	}
}

// watchSettings reads the settings file again on each SIGHUP and logs whether it is
// valid. The settings in force do not change before the process restarts.
func watchSettings(ctx context.Context, path string, logger *log.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			}
			if _, err := platform.ReadSettings(path); err != nil {
				logger.Warn("settings-refused", "path", path, "err", err)
				continue
			}
			logger.Info("settings-read", "path", path)
		}
	}()
}
