package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"marjorampitch/api"
	"marjorampitch/backend"
	"marjorampitch/fleet"
)

// Limits of streams.
const (
	// silenceTimeout is the time without a whole event after which a stream is sent to
	// another server if its group is active.
	silenceTimeout = 700 * time.Millisecond
	// firstResponseTimeoutFactor is the time without a response after which a request is
	// sent to another server if its group is active, as a multiple of the latency objective.
	// Callers disconnect after four times the objective.
	firstResponseTimeoutFactor = 2
)

// watchFirstResponse has an attempt replaced that has had no response for a while
// although its group is active, for example because the rank's instance is
// frozen: another rank may answer before the caller disconnects. An attempt that no
// other can follow goes on.
func (g *Gateway) watchFirstResponse(c *call, m *fleet.Member, r *backend.Request) {
	limit := g.firstResponseTimeout(c)
	if !c.route.Retryable() || c.attempts+1 >= c.route.MaxAttempts || limit <= 0 {
		return
	}
	r.Silence = limit
	r.OnSilent = func(recheck func()) bool {
		return g.replaceSilent(c, silentAttempt{m, limit, 1, recheck})
	}
}

// firstResponseTimeout returns the time without a response after which a request is sent to
// another server if the group is active; 0 for never.
func (g *Gateway) firstResponseTimeout(c *call) time.Duration {
	if c.ticket == nil {
		return 0
	}
	return max(firstResponseTimeoutFactor*c.route.TargetLatency, 0)
}

// watchStream has the attempt replaced when its connection is silent while its group is
// active and another attempt can follow. It is called once the attempt has been counted.
func (g *Gateway) watchStream(c *call, m *fleet.Member, resp *backend.Response) {
	if !c.route.Retryable() || c.attempts >= c.route.MaxAttempts {
		return
	}
	resp.WatchSilence(silenceTimeout, func(recheck func()) bool {
		return g.replaceSilent(c, silentAttempt{m, silenceTimeout, 0, recheck})
	})
}

// forwardStream forwards the events of a stream as they arrive. done means that
// the stream was delivered to its end.
func (g *Gateway) forwardStream(ctx context.Context, c *call, m *fleet.Member, resp *backend.Response, sent time.Duration) (done bool, failure *api.Error) {
	if !g.validResponse(resp.Response) {
		resp.Abort()
		g.attemptFailed(ctx, c, m, sent, errors.New("stream response is content-encoded or has no seal header"))
		return false, &api.Error{Code: api.Unresolved, Ran: api.MayHaveRun, Detail: m.ID}
	}
	g.dropReplacements(c)
	n, err := g.copyEvents(ctx, c, m, resp, sent)
	if err == io.EOF && n == 0 && !resp.Delimited() {
		err = io.ErrUnexpectedEOF // its end cannot be told from a broken connection
	}
	if err == io.EOF {
		g.dropReplacements(c)
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
	if errors.Is(err, errMoved) {
		c.service.attemptEnded(m, g.now(), severityNone)
		g.metrics.moved.Inc()
		g.opts.Log.Info("stream-moved", "request", c.id, "server", m.ID, "service", c.service.name, "last_event", c.lastEventID)
	} else {
		g.attemptFailed(ctx, c, m, sent, err)
	}
	return false, &api.Error{Code: api.StreamBroken, Ran: api.MayHaveRun, Detail: m.ID + ": " + err.Error()}
}

// copyEvents forwards complete events until the stream ends. It returns the number of
// chunks with events, and io.EOF when the stream ended normally.
func (g *Gateway) copyEvents(ctx context.Context, c *call, m *fleet.Member, resp *backend.Response, sent time.Duration) (n int, err error) {
	events := newEventReader(resp.Body, callRoom{g, ctx, c})
	g.watchStream(c, m, resp)
	flush := http.NewResponseController(c.w)
	previous := time.Duration(-1)
	for {
		chunk, last, err := events.next()
		if err != nil {
			return n, err
		}
		now := g.now()
		if hasEvent(chunk) {
			n++
			g.dropReplacements(c)
			resp.Progress()
			if previous < 0 {
				g.started(c, m, now)
			}
			c.service.eventsWritten(&c.cost, countEvents(chunk))
			g.recordEvent(c, m, now, previous, sent)
			previous = now
		}
		if !c.headSent {
			c.headSent = true
			g.copyHeader(c, resp.Response)
			c.w.WriteHeader(resp.StatusCode)
		}
		if _, err := c.w.Write(chunk); err != nil {
			return n, err
		}
		if err := flush.Flush(); err != nil {
			return n, err
		}
		if written := g.now(); written-now > blockedWrite && previous >= 0 {
			previous = written // the next event may have arrived during the write
		}
		if last >= 0 {
			c.lastEventID = last
			if g.moveFromSlow(c, m, now) {
				return n, errMoved
			}
		}
	}
}

// errMoved ends an attempt whose stream goes on at another server.
var errMoved = errors.New("moved to a faster rank")

// moveFromSlow reports whether to end an attempt after an event that its caller has got,
// because its server is slow and holds up its group. It has then taken the retry of the
// next one from the budget.
func (g *Gateway) moveFromSlow(c *call, m *fleet.Member, now time.Duration) bool {
	if !c.route.Retryable() || c.attempts >= c.route.MaxAttempts || g.stages.startsEnded.Load() {
		return false
	}
	members := g.opts.Cache.View().Services[c.service.name]
	if !c.service.holdsUpGroup(m, members, c.tried, now, g.coldPolicy(c), &c.cost) || !c.service.takeRetry() {
		return false
	}
	c.retryTaken = true
	return true
}

// recordEvent reports an event to the gate and the metrics. previous is negative
// for the first event of an attempt; sent is when the attempt began.
func (g *Gateway) recordEvent(c *call, m *fleet.Member, now, previous, sent time.Duration) {
	if previous < 0 {
		c.service.observeFirstEvent(now, m.ID, now-sent)
		g.metrics.firstEvent.Observe((now - c.arrived).Seconds())
		c.notePace(now-c.arrived, c.route.TargetLatency)
		return
	}
	g.metrics.eventGap.Observe((now - previous).Seconds())
	c.notePace(now-previous, c.route.TargetGap)
	c.service.observeGap(now, c.group(), m.ID, now-previous)
	c.service.observeStreamSpeed(m, now-previous, now)
}
