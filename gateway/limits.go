package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/fleet"
	"marjorampitch/internal/clock"
	"marjorampitch/wire"
)

// observeLimit records the limit that an answer of a server states, or that it states none.
func (x *serverStatements) observeLimit(m *fleet.Member, h http.Header, now time.Duration) {
	if x.limitHeader == "" {
		return
	}
	rate, limited := x.parseLimit(m, h)
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

// parseLimit returns the lowest limit in the header of an answer, in requests per second.
// Values that are no limit are logged and do not count.
func (x *serverStatements) parseLimit(m *fleet.Member, h http.Header) (rate float64, limited bool) {
	for _, v := range h.Values(x.limitHeader) {
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

// limited returns the number of the members that state a limit.
func (x *serverStatements) limited(members []*fleet.Member) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.limits.Limited(incarnationsOf(members))
}

// report returns the limits that are due to be sent to the other gateways.
func (x *serverStatements) report(now time.Duration) []wire.ServerLimit {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.limits.Report(now)
}

// merge adds the report of another gateway.
func (x *serverStatements) merge(r *wire.LimitReport, now time.Duration) {
	x.mu.Lock()
	learned := x.limits.Merge(r, now)
	x.mu.Unlock()
	if learned > 0 {
		x.log.Info("server-limits-learned", "from", r.Instance, "servers", learned)
	}
}

// handleLimits merges a peer's report of limits.
func (p *peers) handleLimits(data []byte) error {
	var r wire.LimitReport
	if _, err := r.UnmarshalMsg(data); err != nil {
		return eris.Wrap(err, "decode limits of servers")
	}
	p.g.statements.merge(&r, p.g.now())
	return nil
}

// limitReport returns the message that carries limits. It is dated by a clock that
// goes on while the instance is suspended.
func (p *peers) limitReport(limits []wire.ServerLimit) *wire.LimitReport {
	return &wire.LimitReport{
		Instance: p.g.opts.Settings.Instance, Incarnation: p.g.start.UnixNano(), SentAt: clock.SinceBoot().Milliseconds(), Limits: limits,
	}
}
