package gateway

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/fleet"
	"marjorampitch/internal/clock"
	"marjorampitch/wire"
)

// serverLimits keeps to the request rates that backend servers state, together with
// the other gateways. It is safe for concurrent use. Its mu is taken while a
// service's is held.
type serverLimits struct {
	log    *log.Logger
	header string // of answers; empty if servers state no limits

	mu     sync.Mutex // guards limits
	limits *admit.ServerLimits
}

func newServerLimits(instance, header string, logger *log.Logger) *serverLimits {
	source := rand.New(rand.NewPCG(rand.Uint64(), 0))
	return &serverLimits{log: logger, header: header, limits: admit.NewServerLimits(instance, source)}
}

// observe records what an answer of a server states.
func (x *serverLimits) observe(m *fleet.Member, answer *http.Response, now time.Duration) {
	if x.header == "" || answer.StatusCode == http.StatusMisdirectedRequest { // of another server
		return
	}
	rate, limited := x.parse(m, answer.Header)
	x.mu.Lock()
	changed := x.limits.Stated(incarnationOf(m), rate, limited, now)
	x.mu.Unlock()
	switch {
	case changed && limited:
		x.log.Info("server-limited", "server", m.ID, "started_at", m.StartedAt, "service", m.Service, "rate", rate)
	case changed:
		x.log.Info("server-limit-ended", "server", m.ID, "started_at", m.StartedAt, "service", m.Service)
	}
}

// parse returns the lowest limit in the header of an answer, in requests per second.
// Values that are no limit are logged and do not count.
func (x *serverLimits) parse(m *fleet.Member, h http.Header) (rate float64, limited bool) {
	for _, v := range h.Values(x.header) {
		r, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(r) || math.IsInf(r, 0) || r < 0 {
			x.log.Warn("server-limit-invalid", "server", m.ID, "value", v)
			continue
		}
		if !limited || r < rate {
			rate, limited = r, true
		}
	}
	return rate, limited
}

// allows reports whether a server may get a request now.
func (x *serverLimits) allows(m *fleet.Member, now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.limits.Allows(incarnationOf(m), now)
}

// sent records that a request is being sent to a server.
func (x *serverLimits) sent(m *fleet.Member, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.limits.Sent(incarnationOf(m), now)
}

// refusal returns the refusal of a request because servers of its service have reached
// their limits and no other can take it; nil if none of them has.
func (x *serverLimits) refusal(service string, members []*fleet.Member, now time.Duration) *api.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	servers := incarnationsOf(members)
	n := x.limits.AtLimit(servers, now)
	if n == 0 {
		return nil
	}
	e := api.NewError(api.Overloaded, strconv.Itoa(n)+" of "+strconv.Itoa(len(members))+" servers are at their limits")
	e.RetryAfter = x.limits.RetryAfter(service, servers, now)
	return e
}

// limited returns the number of the members that state a limit.
func (x *serverLimits) limited(members []*fleet.Member) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.limits.Limited(incarnationsOf(members))
}

// update takes the present gateways and servers over.
func (x *serverLimits) update(gateways []string, view *fleet.View, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.limits.SetGateways(gateways)
	if x.limits.Empty() {
		return
	}
	members := make([]*fleet.Member, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, m)
	}
	x.limits.Prune(incarnationsOf(members), now)
}

// report returns the limits that are due to be sent to the other gateways.
func (x *serverLimits) report(now time.Duration) []wire.ServerLimit {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.limits.Report(now)
}

// merge adds the report of another gateway.
func (x *serverLimits) merge(r *wire.LimitReport, now time.Duration) {
	x.mu.Lock()
	learned := x.limits.Merge(r, now)
	x.mu.Unlock()
	if learned > 0 {
		x.log.Info("server-limits-learned", "from", r.Instance, "servers", learned)
	}
}

func incarnationsOf(members []*fleet.Member) []admit.ServerIncarnation {
	list := make([]admit.ServerIncarnation, len(members))
	for i, m := range members {
		list[i] = incarnationOf(m)
	}
	return list
}

// handleLimits merges a peer's report of limits.
func (p *peers) handleLimits(data []byte) error {
	var r wire.LimitReport
	if _, err := r.UnmarshalMsg(data); err != nil {
		return eris.Wrap(err, "decode limits of servers")
	}
	p.g.limits.merge(&r, p.g.now())
	return nil
}

// limitReport returns the message that carries limits. It is dated by a clock that
// goes on while the instance is suspended.
func (p *peers) limitReport(limits []wire.ServerLimit) *wire.LimitReport {
	return &wire.LimitReport{
		Instance: p.g.opts.Settings.Instance, Incarnation: p.g.start.UnixNano(), SentAt: clock.SinceBoot().Milliseconds(), Limits: limits,
	}
}
