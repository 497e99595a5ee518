package rebalance

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/remap"
	"marjorampitch/wire"
)

// Timing of a substitute.
const (
	// silentFor is the time without a word of a rank's process after which the
	// coordinator speaks to the engine itself. It exceeds the lag of engines'
	// reports to other instances, so that nothing the process did is missed.
	silentFor = 350 * time.Millisecond
	// substitutePoll is the time between two looks at the engine: they are dear
	// from another instance.
	substitutePoll = 60 * time.Millisecond
)

// substitute stands in for the process beside a rank, which is dead, frozen or
// cut off while its engine lives. It only ends switches: it makes the engine
// refuse them and drops holds, so that the group does not stand still until the
// process is back.
type substitute struct {
	engine Engine
	log    *log.Logger
	cancel context.CancelFunc

	mu   sync.Mutex // guards goal
	goal wire.MapGoal
}

// setGoal tells the substitute what the coordinator wants.
func (s *substitute) setGoal(g wire.MapGoal) {
	s.mu.Lock()
	s.goal = g
	s.mu.Unlock()
}

// run drives the engine until ctx ends, and sends its reports.
func (s *substitute) run(ctx context.Context, shape MapConfig, out chan<- wire.RankReport) {
	rank := remap.NewRankDriver()
	start := time.Now()
	for ctx.Err() == nil {
		e, err := s.engine.Report(ctx)
		if err != nil {
			s.log.Warn("substitute-failed", "err", err)
		} else {
			s.mu.Lock()
			goal := s.goal
			s.mu.Unlock()
			rank.Observe(e)
			rank.SetGoal(goal)
			if o, ok := rank.Next(time.Since(start)); ok {
				result, _ := s.engine.Order(ctx, shape.Shape, o)
				rank.HandleResult(o, result)
			}
			select {
			case out <- rank.Report():
			case <-ctx.Done():
			}
		}
		time.Sleep(substitutePoll)
	}
}

// ends reports whether a goal only ends switches.
func ends(g *wire.MapGoal) bool {
	s := remap.Stage(g.Stage)
	return s == remap.NoAction || s == remap.Cancel
}

// substitutes starts and stops substitutes as the coordinator needs them.
func (p *Process) substitutes(ctx context.Context) {
	if p.coord == nil || p.coord.Phase() == remap.Idle {
		p.dismiss()
		return
	}
	g := p.coord.Goal()
	if !ends(&g) {
		return
	}
	shape, ok := p.mapShape()
	if !ok {
		return
	}
	for _, rank := range p.coord.Unresponsive(p.now(), silentFor) {
		s := p.standins[rank]
		if s == nil {
			s = p.substitute(ctx, rank, shape)
		}
		if s != nil {
			s.setGoal(g)
		}
	}
}

// substitute starts one for a rank; nil when the rank's engine is not known.
func (p *Process) substitute(ctx context.Context, rank int, shape MapConfig) *substitute {
	engine := p.engineOf(rank)
	if engine == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &substitute{engine: engine, log: p.opts.Log, cancel: cancel}
	p.standins[rank] = s
	p.opts.Log.Warn("rank-substituted", "rank", rank)
	go s.run(ctx, shape, p.remote)
	return s
}

// dismiss stops all substitutes.
func (p *Process) dismiss() {
	for rank, s := range p.standins {
		s.cancel()
		delete(p.standins, rank)
	}
}
