package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/fleet"
	"marjorampitch/internal/clock"
	"marjorampitch/route"
	"marjorampitch/wire"
)

// crashSuspicionTTL is how long a server that broke off a request is suspected of
// having crashed.
const crashSuspicionTTL = 10 * time.Second

// crashGuard keeps evidence of crashes of backend servers, across requests and
// together with the other gateways, and refuses the requests that cause them. It is
// safe for concurrent use.
type crashGuard struct {
	log     *log.Logger
	metrics *metrics

	mu        sync.Mutex // guards all below
	ledgers   [crashCauses]crashLedger
	suspected map[string]suspectedServer // by id
	delays    admit.DelayFilter
}

// crashCause is a kind of feature of requests that may crash servers.
type crashCause int

// Values of crashCause. Each has evidence of its own: a request that is sent again
// has the rarest possible fingerprint, which would explain crashes that are due to a
// part of its prompt.
const (
	causePart    crashCause = iota // a part of the prompt that other requests may share
	causeRequest                   // the whole request
	crashCauses
)

// String returns the name of the cause in logs.
func (k crashCause) String() string { return [crashCauses]string{"part", "request"}[k] }

// datagram returns the kind of the datagrams that carry the evidence.
func (k crashCause) datagram() byte {
	return [crashCauses]byte{wire.KindPartEvidence, wire.KindRequestEvidence}[k]
}

// crashFeatures are the features of a request that may crash servers.
type crashFeatures [crashCauses][]uint64

// crashLedger is the evidence for one crashCause.
type crashLedger struct {
	*admit.PartQuarantine
	refused map[uint64]struct{} // features for which a request was refused, while that lasts
}

// suspectedServer is a server that has broken off a request.
type suspectedServer struct {
	member *fleet.Member
	at     time.Duration
}

func newCrashGuard(logger *log.Logger, m *metrics) *crashGuard {
	x := &crashGuard{log: logger, metrics: m, suspected: make(map[string]suspectedServer)}
	for k, q := range [crashCauses]*admit.PartQuarantine{admit.NewPartQuarantine(), admit.NewRequestQuarantine()} {
		x.ledgers[k] = crashLedger{q, make(map[uint64]struct{})}
	}
	return x
}

// crashFeatures returns the features of a request that may crash servers.
func (g *Gateway) crashFeatures(c *call) (f crashFeatures) {
	if g.opts.PromptParts != nil {
		f[causePart] = g.opts.PromptParts(c.r.Header)
	}
	f[causeRequest] = []uint64{route.Fingerprint(c.r.Method, c.r.RequestURI, c.org, c.body)}
	return f
}

// arrived records the arrival of a request.
func (x *crashGuard) arrived(c *call, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for k, l := range x.ledgers {
		l.Arrived(c.features[k], now)
	}
}

// check returns the refusal of a request with a quarantined feature; nil for none. A
// crash that the view shows counts.
func (x *crashGuard) check(c *call, view *fleet.View, now time.Duration) *api.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.confirmReplaced(view, now)
	for k, l := range x.ledgers {
		if _, refuse := l.Check(c.features[k], now); refuse {
			return x.refusal(crashCause(k), c.features[k], now)
		}
	}
	return nil
}

// trialRetryAfter is when to return with a request of which copies run one at a time.
const trialRetryAfter = 500 * time.Millisecond

// begin returns the refusal of an attempt because of a feature of its request; nil for
// none. Without one, the attempt counts as in flight until end.
func (x *crashGuard) begin(c *call, view *fleet.View, now time.Duration) *api.Error {
	if refusal := x.check(c, view, now); refusal != nil {
		return refusal
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for k, l := range x.ledgers {
		if l.Begin(c.features[k], now) {
			continue
		}
		for j := range k {
			x.ledgers[j].End(c.features[j])
		}
		x.log.Warn("copy-refused", "request", c.id, "cause", crashCause(k), "feature", featureNames(c.features[k]))
		e := api.NewError(api.CrashSuspect, "copies run one at a time: "+crashCause(k).String()+" "+featureName(c.features[k][0]))
		e.RetryAfter = trialRetryAfter
		return e
	}
	return nil
}

// end records the end of an attempt for which begin returned nil.
func (x *crashGuard) end(c *call) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for k, l := range x.ledgers {
		l.End(c.features[k])
	}
}

// refusal returns the refusal of a request because of one of its features. Callers
// hold mu.
func (x *crashGuard) refusal(k crashCause, features []uint64, now time.Duration) *api.Error {
	l := x.ledgers[k]
	e := api.NewError(api.CrashSuspect, "")
	e.RetryAfter = 0
	for _, f := range features {
		after, refuse := l.Check([]uint64{f}, now)
		if !refuse {
			continue
		}
		if after > e.RetryAfter {
			e.RetryAfter, e.Detail = after, k.String()+" "+featureName(f)
		}
		if _, known := l.refused[f]; !known {
			l.refused[f] = struct{}{}
			x.log.Warn("quarantined", "cause", k, "feature", featureName(f), "for_ms", after.Milliseconds())
		}
	}
	return e
}

// mayRepeat reports whether a request that a server has broken off may be sent to
// another one.
func (x *crashGuard) mayRepeat(c *call, now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for k, l := range x.ledgers {
		if !l.MayRepeat(c.features[k], now) {
			return false
		}
	}
	return true
}

// started records that a server has begun an answer to the request.
func (g *Gateway) started(c *call, m *fleet.Member, now time.Duration) {
	age, _ := g.entriesAge()
	g.crashes.started(c, m, g.entriesSince(age), now)
}

// started implements Gateway.started. An answer shows that the incarnation of a
// suspected server has not crashed only if its entry is known to be newer than the
// broken request; otherwise the server may have restarted under its id.
func (x *crashGuard) started(c *call, m *fleet.Member, entriesSince, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	alive := admit.ServerIncarnation{} // none
	if s, ok := x.suspected[m.ID]; ok && s.member.StartedAt == m.StartedAt && s.at < entriesSince {
		delete(x.suspected, m.ID)
		alive = incarnationOf(m)
	}
	for k, l := range x.ledgers {
		l.Started(c.features[k], alive, now)
	}
}

// broke records that a server has closed the connection of an attempt that was sent
// at sent, before it had begun an answer.
func (x *crashGuard) broke(c *call, m *fleet.Member, sent, now time.Duration) {
	x.mu.Lock()
	x.suspected[m.ID] = suspectedServer{m, now}
	for k, l := range x.ledgers {
		l.Broke(c.features[k], incarnationOf(m), sent, now)
	}
	x.mu.Unlock()
	x.metrics.crashesSuspected.Inc()
	x.log.Warn("crash-suspected", "request", c.id, "server", m.ID, "started_at", m.StartedAt,
		"parts", featureNames(c.features[causePart]), "fingerprint", featureName(c.features[causeRequest][0]))
}

// serverDown records that a server has crashed or is gone. by says how that is known.
func (x *crashGuard) serverDown(id, by string, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.markDown(id, by, now)
}

// markDown implements serverDown. Callers hold mu.
func (x *crashGuard) markDown(id, by string, now time.Duration) {
	for _, l := range x.ledgers {
		l.ServerDown(id, now)
	}
	s, ok := x.suspected[id]
	if !ok {
		return
	}
	delete(x.suspected, id)
	x.metrics.crashesConfirmed.Inc()
	x.log.Warn("crash-confirmed", "server", id, "by", by, "after_ms", (now - s.at).Milliseconds())
}

// setGateways sets the names of this gateway and of all gateways.
func (x *crashGuard) setGateways(self string, all []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ledgers[causeRequest].SetGateways(self, all)
}

// observe takes from the view which of the suspected servers are gone, and logs the
// features whose quarantine has ended. It is called periodically.
func (x *crashGuard) observe(view *fleet.View, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.confirmReplaced(view, now)
	for k, l := range x.ledgers {
		for f := range l.refused {
			if _, refuse := l.Check([]uint64{f}, now); !refuse {
				delete(l.refused, f)
				x.log.Info("quarantine-ended", "cause", crashCause(k), "feature", featureName(f))
			}
		}
	}
}

// confirmReplaced takes from the view which of the suspected servers are gone. Callers
// hold mu.
func (x *crashGuard) confirmReplaced(view *fleet.View, now time.Duration) {
	for id, s := range x.suspected {
		switch {
		case now-s.at > crashSuspicionTTL:
			delete(x.suspected, id)
		case replaced(view, s.member):
			x.markDown(id, "entry", now)
		}
	}
}

// replaced reports whether the view shows that an incarnation of a server has ended:
// its entry is gone, or a later one has its id or address.
func replaced(view *fleet.View, m *fleet.Member) bool {
	current := view.Members[m.ID]
	if current == nil || current.StartedAt != m.StartedAt {
		return true
	}
	for _, o := range view.Members {
		if o.Address == m.Address && o.StartedAt > m.StartedAt {
			return true
		}
	}
	return false
}

// evidence returns the evidence that is due to be sent to the other gateways.
func (x *crashGuard) evidence(k crashCause, now time.Duration) []wire.PartEvidence {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ledgers[k].Evidence(now)
}

// merge adds evidence of another gateway, unless it comes late: its ages would be too low.
func (x *crashGuard) merge(k crashCause, r *wire.PartReport, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.delays.Accept(r.Instance, r.Incarnation, time.Duration(r.SentAt)*time.Millisecond, clock.SinceBoot()) {
		x.ledgers[k].Merge(r.Evidence, now)
	}
}

func incarnationOf(m *fleet.Member) admit.ServerIncarnation {
	return admit.ServerIncarnation{ID: m.ID, StartedAt: m.StartedAt}
}

// featureName returns a feature as it appears in logs.
func featureName(f uint64) string { return strconv.FormatUint(f, 16) }

func featureNames(features []uint64) []string {
	names := make([]string, len(features))
	for i, f := range features {
		names[i] = featureName(f)
	}
	return names
}
