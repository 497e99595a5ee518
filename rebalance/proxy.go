package rebalance

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/remap"
	"marjorampitch/wire"
)

// Timing of an engineProxy.
const (
	// processTimeout is the time without a report of a rank's process after which
	// the coordinator drives the rank's engine itself. It exceeds the lag of engine
	// states read from other instances, so that no action of the process is missed.
	processTimeout = 350 * time.Millisecond
	// proxyPollInterval is the time between reads of the engine state, which are
	// expensive from another instance.
	proxyPollInterval = 60 * time.Millisecond
)

// engineProxy drives a rank's engine in place of the process beside it, which is
// dead, frozen or unreachable while the engine still runs. It only ends
// switches: it makes the engine refuse them and releases holds, so that the
// group makes passes before the process is back.
type engineProxy struct {
	engine Engine
	log    *log.Logger
	cancel context.CancelFunc

	mu   sync.Mutex // guards goal
	goal wire.MapGoal
}

// setGoal replaces the coordinator's goal.
func (x *engineProxy) setGoal(g wire.MapGoal) {
	x.mu.Lock()
	x.goal = g
	x.mu.Unlock()
}

// run drives the engine until ctx is done, and sends the rank's reports to reports.
func (x *engineProxy) run(ctx context.Context, config MapConfig, reports chan<- wire.RankReport) {
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
		time.Sleep(proxyPollInterval)
	}
}

// endsSwitches reports whether a goal at most ends switches and starts none.
func endsSwitches(g *wire.MapGoal) bool {
	s := remap.Stage(g.Stage)
	return s == remap.NoAction || s == remap.Cancel
}

// updateProxies starts proxies for unresponsive ranks when the goal ends a switch,
// and stops all proxies when no switch is in progress.
func (p *Process) updateProxies(ctx context.Context) {
	if p.coord == nil || p.coord.Phase() == remap.Idle {
		p.stopProxies()
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
		proxy := p.proxies[rank]
		if proxy == nil {
			proxy = p.startProxy(ctx, rank, config)
		}
		if proxy != nil {
			proxy.setGoal(g)
		}
	}
}

// startProxy starts the proxy of a rank. It returns nil if the rank's engine is
// unknown.
func (p *Process) startProxy(ctx context.Context, rank int, config MapConfig) *engineProxy {
	engine := p.engineOf(rank)
	if engine == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	proxy := &engineProxy{engine: engine, log: p.opts.Log, cancel: cancel}
	p.proxies[rank] = proxy
	p.opts.Log.Warn("rank-substituted", "rank", rank)
	go proxy.run(ctx, config, p.proxyReports)
	return proxy
}

// stopProxies stops all proxies.
func (p *Process) stopProxies() {
	for rank, proxy := range p.proxies {
		proxy.cancel()
		delete(p.proxies, rank)
	}
}
