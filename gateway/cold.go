package gateway

import (
	"math"
	"time"

	"marjorampitch/internal/clock"
)

// Settings of the treatment of cold servers.
const (
	// defaultEntryInterval applies if the settings have no EntryInterval.
	defaultEntryInterval = 1500 * time.Millisecond
	// outdatedAfterIntervals is the age of the entries, in entry intervals, from
	// which they do not show which servers are cold.
	outdatedAfterIntervals = 2
)

// coldPolicy says how cold servers of a service are treated.
type coldPolicy struct {
	perSecond float64       // requests per second that this instance may send to one cold server; 0 for no limit
	cacheNow  time.Duration // present time on the clock of the Cache, for Member.ColdUntil
	// entriesSince is the time up to which a failed server's present entry is known
	// to be newer than its failure. A server that failed later may have restarted
	// cold under the same id.
	entriesSince time.Duration
	// outdated means that the entries are too old to show which servers are cold.
	outdated bool
}

// coldPolicy returns how cold servers of the request's service are treated.
func (g *Gateway) coldPolicy(c *call) coldPolicy {
	p := coldPolicy{cacheNow: clock.SinceBoot()}
	svc := c.view.Document.Services[c.service.name]
	if svc == nil || svc.ColdPerSecond <= 0 {
		return p
	}
	p.perSecond = math.Max(1, math.Floor(svc.ColdPerSecond/float64(g.instances())))
	age, ok := g.entriesAge()
	p.entriesSince = g.entriesSince(age)
	p.outdated = !ok || age > outdatedAfterIntervals*g.opts.Settings.EntryInterval
	return p
}

// entriesAge returns the time since the servers' entries were known to be the newest.
func (g *Gateway) entriesAge() (age time.Duration, ok bool) {
	at, ok := g.opts.ServersProof()
	return clock.SinceBoot() - at, ok
}

// entriesSince returns the time up to which the entries, of this age, show what
// happened to their servers.
func (g *Gateway) entriesSince(age time.Duration) time.Duration {
	return g.now() - age - g.opts.Settings.EntryInterval
}

// mayBeCold reports whether the server's entry cannot show that it is warm: the
// entries are outdated, or the server has failed since its entry was read.
func (s *serverState) mayBeCold(p coldPolicy) bool {
	failedSince := s.failedAt > 0 && s.failedAt > p.entriesSince
	return p.perSecond > 0 && (p.outdated || failedSince)
}
