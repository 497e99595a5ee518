package rebalance

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/remap"
	"marjorampitch/wire"
)

// Timing of a substituteDriver.
const (
	// processTimeout is the time without a report of a rank's process after which
	// the coordinator drives the rank's engine itself. It exceeds the lag of engine
	// states read from other instances, so that no action of the process is missed.
	processTimeout = 350 * time.Millisecond
	// substitutePollInterval is the time between reads of the engine state, which are
	// expensive from another instance.
	substitutePollInterval = 60 * time.Millisecond
)

// substituteDriver drives a rank's engine in place of the process beside it, which
// is dead, frozen or unreachable while the engine still runs. It only ends
// switches: it makes the engine refuse them and releases holds, so that the
// group makes passes before the process is back.
type substituteDriver struct {
	engine Engine
	log    *log.Logger
	cancel context.CancelFunc

	mu   sync.Mutex // guards goal
	goal wire.MapGoal
}

// setGoal replaces the coordinator's goal.
func (x *substituteDriver) setGoal(g wire.MapGoal) {
	x.mu.Lock()
	x.goal = g
	x.mu.Unlock()
}

// run drives the engine until ctx is done, and sends the rank's reports to reports.
func (x *substituteDriver) run(ctx context.Context, config MapConfig, reports chan<- wire.RankReport) {
	driver := remap.NewRankDriver()
	start := time.Now()
	for ctx.Err() == nil {
		e, err := x.engine.State(ctx)
		if err != nil {
			x.log.Warn("substitute-failed", "err", err)
		} else {
			x.mu.Lock()
			goal := x.goal
			x.mu.Unlock()
			driver.Observe(e)
			driver.SetGoal(goal)
			if o, ok := driver.Next(time.Since(start)); ok {
				result, _ := x.engine.Order(ctx, config.Shape, o)
				driver.HandleResult(o, result)
			}
			select {
			case reports <- driver.Report():
			case <-ctx.Done():
			}
		}
		time.Sleep(substitutePollInterval)
	}
}

// endsSwitches reports whether a goal can only end switches.
func endsSwitches(g *wire.MapGoal) bool {
	s := remap.Stage(g.Stage)
	return s == remap.NoAction || s == remap.Cancel
}

// updateSubstitutes starts substitutes for the processes of unresponsive ranks when
// the goal ends a switch, and stops them all when no switch is in progress.
func (p *Process) updateSubstitutes(ctx context.Context) {
	if p.coord == nil || p.coord.Phase() == remap.Idle {
		p.stopSubstitutes()
		return
	}
	g := p.coord.Goal()
	if !endsSwitches(&g) {
		return
	}
	config, ok := p.mapConfig()
	if !ok {
		return
	}
	for _, rank := range p.coord.Unresponsive(p.now(), processTimeout) {
		if p.substitutes[rank] == nil {
			p.startSubstitute(ctx, rank, config)
		}
	}
	for _, substitute := range p.substitutes {
		substitute.setGoal(g)
	}
}

// startSubstitute starts the substitute of a rank's process, unless the rank's engine is
// unknown. It acts once it is given a goal.
func (p *Process) startSubstitute(ctx context.Context, rank int, config MapConfig) {
	engine := p.engineOf(rank)
	if engine == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	substitute := &substituteDriver{engine: engine, log: p.opts.Log, cancel: cancel}
	p.substitutes[rank] = substitute
	p.opts.Log.Warn("rank-substituted", "rank", rank)
	go substitute.run(ctx, config, p.substituteReports)
}

// stopSubstitutes stops all substitutes.
func (p *Process) stopSubstitutes() {
	for rank, substitute := range p.substitutes {
		substitute.cancel()
		delete(p.substitutes, rank)
	}
}
