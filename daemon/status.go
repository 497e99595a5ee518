package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"marjorampitch/admit"
	"marjorampitch/internal/callerconn"
	"marjorampitch/internal/clock"
	"marjorampitch/internal/idleconn"
	"marjorampitch/telemetry"
)

// Limits of a listener for health checks, metrics and status pages.
const (
	statusTimeout     = 5 * time.Second  // for a whole request
	statusWriteLimit  = 1 * time.Minute  // for an answer; profiles take half a minute
	statusIdleTimeout = 30 * time.Second // between requests of a connection
	statusMaxHead     = 8 << 10          // bytes
	statusMaxInFlight = 8                // requests
)

// newConns returns the connections of a process's listeners, for its memory in bytes and its
// number of sockets.
func newConns(memory int64, sockets int, registry prometheus.Registerer, logger *log.Logger) *callerconn.Conns {
	conns := callerconn.New(admit.NewConnBudget(admit.NewConnLimits(memory, sockets, callerconn.ConnBytes)), clock.SinceBoot)
	yielded, lines := telemetry.NewYieldCounter(registry), &callerconn.YieldLog{Log: logger}
	conns.OnYield = func(y callerconn.Yield) {
		yielded(string(y.Cause))
		lines.Record(y)
	}
	conns.OnCut = func(c callerconn.Cut) { conns.OnYield(callerconn.Yield{Peer: c.Peer, Cause: callerconn.YieldUnread}) }
	return conns
}

// serveStatus serves h on address until ctx ends, within what conns leave. Requests have no
// body. Error: the address cannot be listened on.
func serveStatus(ctx context.Context, conns *callerconn.Conns, address string, h http.Handler, logger *log.Logger) error {
	ln, err := callerconn.Listen(ctx, address, nil)
	if err != nil {
		return eris.Wrap(err, "open status listener")
	}
	srv := &http.Server{
		Handler:     skipBodies(limitInFlight(h)),
		ReadTimeout: statusTimeout, WriteTimeout: statusWriteLimit, IdleTimeout: statusIdleTimeout,
		ErrorLog: logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
	tracker := idleconn.Track(srv, idleconn.Options{MaxHead: func() int { return statusMaxHead }})
	go func() {
		if err := srv.Serve(tracker.Listener(conns.Listener(ln))); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("status-failed", "address", address, "err", err)
		}
	}()
	context.AfterFunc(ctx, func() { srv.Close() })
	return nil
}

// skipBodies answers requests without their bodies, which no handler reads, and ends their
// connections.
func skipBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			idleconn.SkipBody(w, r)
		}
		h.ServeHTTP(w, r)
	})
}

// limitInFlight refuses requests beyond statusMaxInFlight at once, and ends their connections:
// an answer may take far more memory than its request.
func limitInFlight(h http.Handler) http.Handler {
	slots := make(chan struct{}, statusMaxInFlight)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			if c := idleconn.Conn(r); c != nil {
				c.Refused(callerconn.YieldBusy)
			}
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
