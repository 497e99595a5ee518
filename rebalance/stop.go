package rebalance

import (
	"time"

	"marjorampitch/remap"
)

// maxStopTime is the time after which a process that is told to stop ends, whatever its part in
// a switch. It leaves most of the grace period that platforms give.
const maxStopTime = 2 * time.Second

// tellToStop has the process end as soon as it may. A switch that holds no pass yet is
// abandoned if the coordinator runs here.
func (p *Process) tellToStop() {
	p.stopping, p.stopAt = true, p.now()
	p.opts.Log.Info("stopping", "term", p.driver.Term())
	if p.coord != nil {
		p.coord.Abandon(p.stopAt)
		p.sendGoal()
	}
}

// mayEnd reports whether the process, told to stop, may end: a group whose switch holds a
// pass would be held until another process has taken over its part.
func (p *Process) mayEnd() bool {
	switch since := p.now() - p.stopAt; {
	case !p.stopping:
		return false
	case since >= maxStopTime:
		p.opts.Log.Warn("stopped-in-switch", "term", p.driver.Term(), "after_ms", since.Milliseconds())
		return true
	case p.coord != nil && p.coord.Phase() != remap.Idle && p.coord.Phase() != remap.Sealing:
		return false
	default:
		return p.driver.MayEnd(since)
	}
}
