package rebalance

import (
	"cmp"
	"context"
	"slices"

	"marjorampitch/placement/spread"
	"marjorampitch/wire"
)

// counter computes the difference between successive cumulative counts of the
// engine.
type counter struct {
	epoch, step int64
	last        []int64
}

// diff returns the counts since the last call; nil if they are unknown, as after a
// restart of the engine.
func (c *counter) diff(epoch, step int64, counts []int64) []int64 {
	last := c.last
	reset := c.epoch != epoch || len(last) != len(counts)
	c.epoch, c.step, c.last = epoch, step, counts
	if reset {
		return nil
	}
	delta := make([]int64, len(counts))
	for i := range counts {
		delta[i] = counts[i] - last[i]
		if delta[i] < 0 {
			return nil
		}
	}
	return delta
}

// reportExpertCounts reads the engine's cumulative expert counts and reports their
// increase since the last read to the coordinator, which may run in this process.
// If it runs elsewhere, the ranks of a large group take turns, see reportsPass.
func (p *Process) reportExpertCounts(ctx context.Context) {
	if p.coordAddr == nil && p.coord == nil {
		return
	}
	step, epoch, counts, err := p.opts.Engine.ExpertCounts(ctx)
	if err != nil {
		p.handleEngineError(err)
		return
	}
	if epoch == p.counter.epoch && step == p.counter.step {
		return
	}
	delta := p.counter.diff(epoch, step, counts)
	config, ok := p.mapConfig()
	if delta == nil || !ok || len(delta) != config.Sets*config.Experts {
		return
	}
	e, _ := p.driver.EngineState()
	if p.coord == nil && !reportsPass(e.Rank, e.Size, step) {
		return
	}
	sets := summarise(config.Shape, delta)
	if p.coord != nil {
		p.addDemand(config.Shape, sets)
		return
	}
	r := p.driver.Report()
	r.Demand = sets
	p.sendReport(&r)
}

// reportsPass reports whether a rank sends its counts of a pass. The ranks of a
// large group take turns, because the requests of each are a sample of the same
// demand and the coordinator's link is narrow.
func reportsPass(rank, size int, step int64) bool {
	turns := int64(max((size+reportersPerPass-1)/reportersPerPass, 1))
	return (step+int64(rank))%turns == 0
}

// summarise returns the counts of the most chosen experts of each set, and the sum
// of the others.
func summarise(s spread.Shape, counts []int64) []wire.Demand {
	sets := make([]wire.Demand, s.Sets)
	order := make([]uint16, s.Experts)
	for set := range sets {
		row := counts[set*s.Experts : (set+1)*s.Experts]
		for e := range order {
			order[e] = uint16(e)
		}
		slices.SortFunc(order, func(a, b uint16) int { return cmp.Compare(row[b], row[a]) })
		for i, e := range order {
			n := uint32(row[e])
			if i < topExperts && n > 0 {
				sets[set].Experts = append(sets[set].Experts, e)
				sets[set].Counts = append(sets[set].Counts, n)
			} else {
				sets[set].Others += n
			}
		}
	}
	return sets
}

// addDemand adds the counts of one rank to the demand estimate.
func (p *Process) addDemand(shape spread.Shape, sets []wire.Demand) {
	if p.demand == nil || p.demandShape != shape {
		p.demand, p.demandShape = spread.NewDemandEstimator(shape), shape
	}
	p.demand.AddReport(sets)
}
