package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"marjorampitch/platform/platformtest"
)

// Limits that servers state.
const (
	limitWindow    = 4 * time.Second // over which the requests to a server are counted
	limitTolerance = 1.5             // requests in it, as a multiple of the rate stated
	limitSlack     = 5               // further requests in it
	limitSettle    = 3 * time.Second // after a server first states its limit, from which it is checked
	maxLimitGap    = 3 * time.Second // between the starts of two limits
	limitDuration  = 9 * time.Second
)

// stateLimits lets random servers state limits while faults are injected. It draws
// from a source of its own, so that the faults of a seed stay the same.
func (tb *testbed) stateLimits(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(tb.opts.Seed, 3))
	for end := time.Now().Add(tb.opts.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		b, rate := pick(rnd, tb.backendList()), pick(rnd, []float64{0.5, 1, 2.5, 6})
		if b.State().Limit == 0 {
			tb.recordFault("server %s states a limit of %g a second", b.ID, rate)
			b.UpdateState(func(s *platformtest.State) { s.Limit = rate })
			time.AfterFunc(min(limitDuration, time.Until(end)), func() { b.UpdateState(func(s *platformtest.State) { s.Limit = 0 }) })
		}
		sleep(ctx, time.Duration(rnd.Float64()*float64(maxLimitGap)))
	}
}

// started records that a process has been started.
func (c *checker) started(p *process) {
	if p.role != "gateway" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gatewayStart = time.Now()
}

// limitedRequestArrived checks the number of requests that a server received while it
// states a limit. Requests sent while gateways could not know of it do not count.
// Callers must hold c.mu.
func (c *checker) limitedRequestArrived(id string, rate float64, stated, now time.Time) {
	from := stated.Add(limitSettle)
	for _, t := range []time.Time{c.impactEnds[impactTiming], c.gatewayStart} {
		if t := t.Add(timingMargin); t.After(from) {
			from = t
		}
	}
	if window := now.Add(-limitWindow); window.After(from) {
		from = window
	}
	list := append(c.limited[id], now)
	for len(list) > 0 && list[0].Before(from) {
		list = list[1:]
	}
	c.limited[id] = list
	if float64(len(list)) > limitTolerance*rate*limitWindow.Seconds()+limitSlack {
		c.violationLocked("server limit", fmt.Sprintf("%s got %d requests in %v at %g a second", id, len(list), limitWindow, rate))
	}
}
