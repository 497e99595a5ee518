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

// Settings of streams.
const (
	// silentAfter is the pause after which a stream is looked at.
	silentAfter = 700 * time.Millisecond
	// headTargets is the number of latency objectives after which a stream that
	// has not begun is looked at: callers leave after four.
	headTargets = 2
	// othersWithin is how recent an event of another stream must be to show that
	// the group goes on without this one.
	othersWithin = 300 * time.Millisecond
)

var errSilent = errors.New("gateway: connection silent while the group goes on")

// watch ends a stream whose connection went silent.
type watch struct {
	timer  *time.Timer
	silent atomic.Bool
}

// watchHead gives an attempt up that has had no answer for a while although the
// group goes on, as at a rank whose instance is frozen: another rank may answer
// before the caller leaves.
func (g *Gateway) watchHead(c *call, giveUp func()) *time.Timer {
	if c.ticket == nil || !c.route.Retryable() || c.attempts+1 >= c.route.MaxAttempts {
		return time.NewTimer(0)
	}
	return time.AfterFunc(headTargets*c.route.TargetLatency, func() {
		if c.service.progressed(c.group(), g.now()-othersWithin) {
			giveUp()
		}
	})
}

// watchStream looks at the stream whenever it has had no event for a while.
func (g *Gateway) watchStream(c *call, resp *backend.Response) *watch {
	w := &watch{}
	w.timer = time.AfterFunc(silentAfter, func() {
		if c.service.progressed(c.group(), g.now()-othersWithin) {
			w.silent.Store(true)
			resp.Abort()
			return
		}
		w.timer.Reset(silentAfter)
	})
	return w
}

// relay passes the events of a stream on as they arrive. done means that the
// stream was delivered to its end.
func (g *Gateway) relay(ctx context.Context, c *call, m *fleet.Member, resp *backend.Response, sent time.Duration) (done bool, failure *api.Error) {
	if !g.genuine(resp.Response) {
		resp.Abort()
		g.attemptFailed(c, m, errors.New("stream without the server's proof"))
		return false, &api.Error{Code: api.Unresolved, Ran: api.MayHaveRun, Detail: m.ID}
	}
	err := g.pump(c, resp, sent)
	if err == io.EOF {
		resp.Finish()
		c.service.ended(m, g.now(), sound)
		if !c.began { // a stream without events
			g.copyHead(c, resp.Response)
			c.w.WriteHeader(resp.StatusCode)
		}
		g.ended(c, api.OK, "server", m.ID, "last_event", c.lastID)
		return true, nil
	}
	resp.Abort()
	g.attemptFailed(c, m, err)
	return false, &api.Error{Code: api.StreamBroken, Ran: api.MayHaveRun, Detail: m.ID + ": " + err.Error()}
}

// pump delivers whole events until the stream ends; io.EOF is its proper end.
func (g *Gateway) pump(c *call, resp *backend.Response, sent time.Duration) error {
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
		watch.timer.Reset(silentAfter)
		g.noteEvent(c, now, previous, sent)
		previous = now
		if !c.began {
			c.began = true
			g.copyHead(c, resp.Response)
			c.w.WriteHeader(resp.StatusCode)
		}
		if _, err := c.w.Write(chunk); err != nil {
			return err
		}
		if err := flush.Flush(); err != nil {
			return err
		}
		if last >= 0 {
			c.lastID = last
		}
	}
}

// noteEvent tells the pacing of an event.
func (g *Gateway) noteEvent(c *call, now, previous, sent time.Duration) {
	if previous < 0 {
		c.service.began(now, c.group(), now-sent)
		g.metrics.first.Observe((now - c.arrived).Seconds())
		return
	}
	g.metrics.between.Observe((now - previous).Seconds())
	c.service.event(now, c.group(), now-previous)
}
