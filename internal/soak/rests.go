package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"marjorampitch/platform/platformtest"
)

// Rests that servers ask for.
const (
	restSettle   = 500 * time.Millisecond // after an answer that asks for rest, from which it is checked
	restSlack    = 2                      // requests that may arrive in the rest of the time
	restDuration = 5 * time.Second        // for which a server turns requests away
	maxRestGap   = 4 * time.Second        // between the starts of two servers' rests
)

// askForRest lets random servers turn requests away and ask for rest while faults are
// injected. It draws from a source of its own, so that the faults of a seed stay the same.
func (tb *testbed) askForRest(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(tb.opts.Seed, 4))
	lengths := []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}
	for end := time.Now().Add(tb.opts.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		b, length := pick(rnd, tb.backendList()), pick(rnd, lengths)
		if b.State().Rest == 0 {
			tb.recordFault("server %s turns requests away and asks for %v of rest", b.ID, length)
			b.UpdateState(func(s *platformtest.State) { s.Rest = length })
			time.AfterFunc(min(restDuration, time.Until(end)), func() { b.UpdateState(func(s *platformtest.State) { s.Rest = 0 }) })
		}
		sleep(ctx, time.Duration(rnd.Float64()*float64(maxRestGap)))
	}
}

// restKey identifies a server that rests and the gateway that it has asked for it.
type restKey struct{ server, gateway string }

// rest is what one answer has asked for.
type rest struct {
	asked, until time.Time
	arrivals     int // from restSettle after it was asked for
}

// TurnedAway implements platformtest.Observer.
func (c *checker) TurnedAway(b *platformtest.Backend, id string, length time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.requests[id]; q != nil {
		key := restKey{b.ID, q.gateway}
		c.rests[key] = append(c.rests[key], rest{asked: now, until: now.Add(length)})
	}
}

// restingRequestArrived checks a request from a gateway that a server has asked for
// rest. A gateway that has been started or disrupted since is excused. Callers must hold
// c.mu.
func (c *checker) restingRequestArrived(key restKey, now time.Time) {
	list := slices.DeleteFunc(c.rests[key], func(r rest) bool { return now.After(r.until) })
	c.rests[key] = list
	for i := range list {
		r := &list[i]
		if now.Sub(r.asked) < restSettle || r.asked.Before(c.gatewayStart) || r.asked.Before(c.impactEnds[impactTiming]) {
			continue
		}
		if r.arrivals++; r.arrivals > restSlack {
			c.violationLocked("resting server", fmt.Sprintf("%s got %d requests from %s after it had asked for rest", key.server, r.arrivals, key.gateway))
		}
	}
}
