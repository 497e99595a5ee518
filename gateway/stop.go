package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"marjorampitch/internal/idleconn"
)

// Timing of a graceful stop.
const (
	// deregistrationDelay is how long the platform takes to notice that an
	// instance is not ready: two readiness checks one second apart, plus a margin.
	deregistrationDelay = 2500 * time.Millisecond
	// startShare is the share of the time between the refusal of new requests and
	// the final answers in which requests may still be passed on, so that the last of them have
	// as long to be served.
	startShare = 0.5
	// finalAnswerTime is the time for the final answers of the requests that are
	// still underway.
	finalAnswerTime = 250 * time.Millisecond
	// graceMargin is the part of the grace period that is left unused, so that
	// the process exits before it is killed.
	graceMargin      = 500 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// errStopped is the cause with which requests are cancelled that are underway at the end of a
// stop.
var errStopped = errors.New("gateway: stopped")

// stopStages are the stages of a graceful stop, in this order. They are safe for concurrent
// use.
type stopStages struct {
	stopping    atomic.Bool // reported as not ready, still accepts requests
	leaving     atomic.Bool // refuses new requests
	startsEnded atomic.Bool // passes no request on any more but streams that have begun
	// requests is the parent of the contexts of all requests. It ends with errStopped.
	requests context.Context
	end      context.CancelCauseFunc
	// endsAt is when requests ends, in ns on the gateway's clock; 0 if no stop has begun.
	endsAt atomic.Int64
}

func (s *stopStages) init() {
	s.requests, s.end = context.WithCancelCause(context.Background())
}

// mayStart reports whether a request may be passed on to a server. A stream that has begun may
// go on at another one as long as the process serves: what its caller has got would be lost.
func (g *Gateway) mayStart(c *call) bool { return c.headSent || !g.stages.startsEnded.Load() }

// endStarts begins the stage of startsEnded, and refuses the requests that wait.
func (g *Gateway) endStarts() {
	if g.stages.startsEnded.Swap(true) {
		return
	}
	refused := 0
	for _, s := range g.allServices() {
		refused += s.refuseWaiting()
	}
	g.opts.Log.Info("stop-starts-ended", "refused", refused)
}

// stopped reports whether a request was cancelled by the end of a stop, and not by its caller.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// timeToStop returns the time until requests underway get their final answers; ok is false if
// no stop has begun.
func (g *Gateway) timeToStop() (left time.Duration, ok bool) {
	at := g.stages.endsAt.Load()
	return time.Duration(at) - g.now(), at != 0
}

// stop shuts down gracefully. It reports not ready, serves requests that still
// arrive during deregistrationDelay, then refuses new ones, and returns when no
// request is in flight and no connection is open, or the grace period is nearly over.
// Responses carry "Connection: close". Idle connections stay open while requests are
// in flight, because a request may already be on its way on one of them; a request
// that arrives after deregistrationDelay is refused so that the running ones can
// finish in time. So is one that has not been passed on to a server when half of the time
// that is left then is over. Whatever is underway shortly before the end is cancelled and gets
// its final answer.
func (g *Gateway) stop(srv *http.Server, ln net.Listener, conns *idleconn.Tracker, served <-chan error) error {
	began := g.now()
	end := g.opts.Settings.Bounds.GracePeriod - graceMargin
	final := end - finalAnswerTime
	lastStart := deregistrationDelay + time.Duration(startShare*float64(final-deregistrationDelay))
	g.stages.endsAt.Store(int64(began + final))
	g.stages.stopping.Store(true)
	g.opts.Relay.Stop()
	g.opts.Log.Info("stopping")
	for {
		time.Sleep(stopPollInterval)
		since := g.now() - began
		if since >= deregistrationDelay && !g.stages.leaving.Swap(true) {
			ln.Close()
			<-served // from now on every accepted connection is tracked
		}
		if since >= deregistrationDelay {
			conns.ExpireBodies()
		}
		if since >= deregistrationDelay && g.inFlight.none() {
			conns.ExpireIdle(0)
			conns.ExpireReading(idleconn.HeadTimeout)
			if _, holding := g.callers.Used(); conns.Open() == 0 && holding == 0 {
				return srv.Close()
			}
		}
		if since >= min(lastStart, final) {
			g.endStarts()
		}
		if since >= final && g.stages.requests.Err() == nil {
			g.opts.Log.Warn("stop-ends-requests")
			g.stages.end(errStopped)
		}
		if since >= end {
			g.inFlight.close()
			g.opts.Log.Warn("stopped-with-requests-underway")
			return srv.Close()
		}
	}
}
