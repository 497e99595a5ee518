package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"marjorampitch/directory"
	"marjorampitch/fleet"
	"marjorampitch/gateway"
	"marjorampitch/internal/clock"
	"marjorampitch/platform"
	"marjorampitch/telemetry"
)

// Settings of a gateway process.
const (
	logRoom     = 2000                    // lines that wait for a reader of the log
	logPerKind  = 400                     // lines of one kind in a second: several times the requests of a gateway at the target
	operatorEnd = 1500 * time.Millisecond // longest wait of a read of the operator's stream
	// serverPause is the part of the drain time between reads of the servers'
	// stream, which has a record for every heartbeat; a read and its retry, and
	// requests underway, must fit into the rest.
	serverPause    = 0.3
	serverPauseMin = 200 * time.Millisecond
	directoryPause = 400 * time.Millisecond  // between reads of the directory
	storeWait      = 1200 * time.Millisecond // for an answer of the store
	memoryShare    = 0.7                     // of the instance's memory at which the collector works harder
	logEnd         = 200 * time.Millisecond  // for the last lines at the end
	// keepLapsed is the share of the drain time for which a server is used
	// whose entry has vanished without a word.
	keepLapsed  = 0.5
	metricsPort = ":9464" // as deploy/system.toml says
)

// RunGateway runs a gateway with the platform's settings file at path until
// ctx ends. Error: settings that cannot be read, or an unknown level.
func RunGateway(ctx context.Context, path, logLevel string, out io.Writer) error {
	return runOnPlatform(ctx, path, logLevel, out, "gateway", func(ctx context.Context, st *platform.Settings, logger *log.Logger) error {
		if m := st.Gateway.MemoryLimit; m > 0 {
			debug.SetMemoryLimit(int64(memoryShare * float64(m)))
		}
		return serveGateway(ctx, st, logger)
	})
}

// runOnPlatform reads the platform's settings file and runs a process of the
// role with a log that never blocks.
func runOnPlatform(ctx context.Context, path, logLevel string, out io.Writer, role string,
	run func(ctx context.Context, st *platform.Settings, logger *log.Logger) error,
) error {
	st, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	lines := telemetry.NewLogWriter(out, logRoom, logPerKind)
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

// flushLog lets the last lines out, if somebody reads them.
func flushLog(lines *telemetry.LogWriter) {
	select {
	case <-lines.Close():
	case <-time.After(logEnd):
	}
}

func serveGateway(ctx context.Context, st *platform.Settings, logger *log.Logger) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel() // beliefs are kept up to date until the last request has ended
	registry := telemetry.NewRegistry()
	store := platform.NewStore(st.StoreAddress, logger)
	store.Observe = telemetry.NewStoreMetrics(registry).Call
	belief := fleet.NewCache(time.Duration(keepLapsed * float64(st.Gateway.Bounds.DrainBound)))
	operator := fleet.NewFollower(store.OperatorSource(), belief, fleet.FollowOptions{
		Name: "operator", Operator: true, Wait: operatorEnd, Timeout: storeWait, Clock: clock.Boot,
	}, logger)
	servers := fleet.NewFollower(store.ServerSource(), belief, fleet.FollowOptions{
		Name: "servers", Wait: 0, Pause: max(time.Duration(serverPause*float64(st.Gateway.Bounds.DrainBound)), serverPauseMin), Timeout: storeWait, Clock: clock.Boot,
	}, logger)
	go operator.Run(background)
	go servers.Run(background)

	dir := directory.New(store, directoryPause, logger)
	go dir.Run(background)

	g := gateway.New(gateway.Options{
		Settings: st.Gateway, Headers: platform.HeaderNames, Cache: belief, FreshnessProof: operator.FreshnessProof, Log: logger, Registry: registry, Directory: dir,
	})
	if err := serveHTTP(background, st.Gateway.ReadyAddr, readyHandler(g.Ready)); err != nil {
		return err
	}
	if err := serveHTTP(background, st.Gateway.Address+metricsPort, telemetry.NewMux(registry, readiness(g.Ready))); err != nil {
		return err
	}
	logger.Info("started", "listen", st.Gateway.Listen, "store", st.StoreAddress)
	return g.Run(ctx)
}

// readyHandler answers whether the instance takes new connections.
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

func readiness(ready func() bool) func() error {
	return func() error {
		if !ready() {
			return errNotReady
		}
		return nil
	}
}

// serveHTTP serves until ctx ends. Error: the address cannot be listened on.
func serveHTTP(ctx context.Context, address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: statusTimeout}
	go srv.Serve(ln) //nolint:errcheck // ends with the process
	context.AfterFunc(ctx, func() { srv.Close() })
	return nil
}

// watchSettings checks the settings file again at each SIGHUP. What a process
// is bound to holds until its restart; a file that cannot be read is refused.
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
