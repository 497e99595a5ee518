package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"marjorampitch/api"
	"marjorampitch/backend"
	"marjorampitch/fleet"
)

// Limits of streams.
const (
	// silenceTimeout is the time without an event after which a stream's connection is
	// aborted if its group is active.
	silenceTimeout = 700 * time.Millisecond
	// firstResponseTimeoutFactor is the time without a response after which an attempt
	// is cancelled if its group is active, as a multiple of the latency objective.
	// Callers disconnect after four times the objective.
	firstResponseTimeoutFactor = 2
	// groupActivityWindow is the age of another stream's event up to which its
	// group counts as active.
	groupActivityWindow = 300 * time.Millisecond
)

// errSilent reports a connection that silenceWatch has aborted.
var errSilent = errors.New("gateway: connection silent while the group goes on")

// silenceWatch aborts a stream whose connection is silent while its group is active.
type silenceWatch struct {
	timer  *time.Timer
	silent atomic.Bool
}

// watchFirstResponse cancels an attempt that has had no response for a while
// although its group is active, for example because the rank's instance is
// frozen: another rank may answer before the caller disconnects.
func (g *Gateway) watchFirstResponse(c *call, cancel func()) *time.Timer {
	if c.ticket == nil || !c.route.Retryable() || c.attempts+1 >= c.route.MaxAttempts {
		return time.NewTimer(0) // not watched
	}
	return time.AfterFunc(firstResponseTimeoutFactor*c.route.TargetLatency, func() {
		if c.service.activeSince(c.group(), g.now()-groupActivityWindow) {
			cancel()
		}
	})
}

// watchStream starts the silenceWatch of a stream.
func (g *Gateway) watchStream(c *call, resp *backend.Response) *silenceWatch {
	w := &silenceWatch{}
	w.timer = time.AfterFunc(silenceTimeout, func() {
		if c.service.activeSince(c.group(), g.now()-groupActivityWindow) {
			w.silent.Store(true)
			resp.Abort()
			return
		}
		w.timer.Reset(silenceTimeout)
	})
	return w
}

// forwardStream forwards the events of a stream as they arrive. done means that
// the stream was delivered to its end.
func (g *Gateway) forwardStream(ctx context.Context, c *call, m *fleet.Member, resp *backend.Response, sent time.Duration) (done bool, failure *api.Error) {
	if !g.validResponse(resp.Response) {
		resp.Abort()
		g.attemptFailed(ctx, c, m, sent, errors.New("stream response is content-encoded or has no seal header"))
		return false, &api.Error{Code: api.Unresolved, Ran: api.MayHaveRun, Detail: m.ID}
	}
	err := g.copyEvents(c, m, resp, sent)
	if err == io.EOF {
		resp.Finish()
		c.service.attemptEnded(m, g.now(), severityNone)
		if !c.headSent { // no event arrived
			g.copyHeader(c, resp.Response)
			c.w.WriteHeader(resp.StatusCode)
		}
		g.recordEnd(c, api.OK, "server", m.ID, "last_event", c.lastEventID)
		return true, nil
	}
	resp.Abort()
	g.attemptFailed(ctx, c, m, sent, err)
	return false, &api.Error{Code: api.StreamBroken, Ran: api.MayHaveRun, Detail: m.ID + ": " + err.Error()}
}

// copyEvents forwards complete events until the stream ends. It returns io.EOF
// when the stream ended normally.
func (g *Gateway) copyEvents(c *call, m *fleet.Member, resp *backend.Response, sent time.Duration) error {
	events := newEventReader(resp.Body)
	watch := g.watchStream(c, resp)
	defer watch.timer.Stop()
	flush := http.NewResponseController(c.w)
	previous := time.Duration(-1)
	for {
		chunk, last, err := events.next()
		if err != nil {
			if watch.silent.Load() {
				return errSilent
			}
			return err
		}
		now := g.now()
		watch.timer.Reset(silenceTimeout)
		if previous < 0 {
			g.started(c, m, now)
		}
		g.recordEvent(c, now, previous, sent)
		previous = now
		if !c.headSent {
			c.headSent = true
			g.copyHeader(c, resp.Response)
			c.w.WriteHeader(resp.StatusCode)
		}
		if _, err := c.w.Write(chunk); err != nil {
			return err
		}
		if err := flush.Flush(); err != nil {
			return err
		}
		if last >= 0 {
			c.lastEventID = last
		}
	}
}

// recordEvent reports an event to the gate and the metrics. previous is negative
// for the first event of an attempt; sent is when the attempt began.
func (g *Gateway) recordEvent(c *call, now, previous, sent time.Duration) {
	if previous < 0 {
		c.service.observeFirstEvent(now, c.group(), now-sent)
		g.metrics.firstEvent.Observe((now - c.arrived).Seconds())
		return
	}
	g.metrics.eventGap.Observe((now - previous).Seconds())
	c.service.observeGap(now, c.group(), now-previous)
}
