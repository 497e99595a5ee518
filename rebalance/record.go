package rebalance

import (
	"time"

	"marjorampitch/remap"
)

// Thresholds of the lines on switches and holds.
const (
	// longSwitch is the time after which a switch in progress, or a coordinator that is
	// not ready for the next one, is logged, once in each such time.
	longSwitch = time.Second
	// longHold is the time after which a hold is logged, once in each such time. A switch
	// holds a pass for a tenth of it.
	longHold = time.Second
)

// recordSwitches logs and counts the switches that have ended, and logs one that takes
// long.
func (p *Process) recordSwitches() {
	if p.coord == nil {
		return
	}
	now := p.now()
	for _, r := range p.coord.TakeEnded() {
		outcome := r.Outcome.String()
		p.metrics.switchTime.WithLabelValues(outcome).Add(r.Took.Seconds())
		p.metrics.switchHeld.WithLabelValues(outcome).Add(r.Held.Seconds())
		p.logSwitch("switch-ended", r)
	}
	switch r, ok := p.coord.InProgress(now); {
	case p.coord.Ready(now):
		p.unreadyLoggedAt = now
	case now-p.unreadyLoggedAt < longSwitch:
	case ok:
		p.unreadyLoggedAt = now
		p.logSwitch("switch-underway", r)
	default:
		p.unreadyLoggedAt = now
		p.opts.Log.Info("coordinator-waits", "phase", p.coord.Phase(), "term", p.coord.Term(), "missing", p.coord.Missing(now))
	}
}

// logSwitch logs a switch.
func (p *Process) logSwitch(msg string, r remap.Record) {
	p.opts.Log.Info(msg, "phase", p.coord.Phase(), "term", p.coord.Term(), "version", r.Version, "outcome", r.Outcome,
		"took_ms", r.Took.Milliseconds(), "held_ms", r.Held.Milliseconds(), "missing", r.Missing, "refused", r.Refused)
}

// watchHold records for how long the engine of this process's rank has held a pass.
func (p *Process) watchHold(e *remap.EngineState) {
	now := p.now()
	if e.Held == remap.None || e.Held != p.hold.step {
		if p.hold.loggedAt > 0 {
			p.opts.Log.Info("hold-ended", "group", e.Group, "rank", e.Rank, "step", p.hold.step, "held_ms", (now - p.hold.since).Milliseconds())
		}
		p.hold.step, p.hold.since, p.hold.loggedAt = e.Held, now, 0
	}
	if e.Held == remap.None {
		p.metrics.passHeld.Set(0)
		return
	}
	held := now - p.hold.since
	p.metrics.passHeld.Set(held.Seconds())
	if held >= longHold && (p.hold.loggedAt == 0 || now-p.hold.loggedAt >= longHold) {
		p.hold.loggedAt = now
		p.opts.Log.Warn("hold-lasts", "group", e.Group, "rank", e.Rank, "epoch", e.Epoch, "step", e.Held, "last_step", e.Step,
			"held_ms", held.Milliseconds(), "term", p.driver.Term(), "goal_age_ms", (now - p.coordSeenAt).Milliseconds())
	}
}
