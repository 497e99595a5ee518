package rebalance

import (
	"cmp"
	"context"
	"slices"

	"marjorampitch/placement/spread"
	"marjorampitch/wire"
)

// counter turns the engine's counts since its start into counts of single
// passes.
type counter struct {
	epoch, step int64
	last        []int64
}

// since returns what was counted since the last call; nil where that is not
// known, as after a restart of the engine.
func (c *counter) since(epoch, step int64, counts []int64) []int64 {
	last := c.last
	again := c.epoch != epoch || len(last) != len(counts)
	c.epoch, c.step, c.last = epoch, step, counts
	if again {
		return nil
	}
	diff := make([]int64, len(counts))
	for i := range counts {
		diff[i] = counts[i] - last[i]
		if diff[i] < 0 {
			return nil
		}
	}
	return diff
}

// count tells the coordinator which experts were chosen in a new pass.
func (p *Process) count(ctx context.Context) {
	if p.leader == nil && p.coord == nil {
		return
	}
	step, epoch, counts, err := p.opts.Engine.ExpertCounts(ctx)
	if err != nil {
		p.engineLost(err)
		return
	}
	if epoch == p.counts.epoch && step == p.counts.step {
		return
	}
	diff := p.counts.since(epoch, step, counts)
	shape, ok := p.mapShape()
	if diff == nil || !ok || len(diff) != shape.Sets*shape.Experts {
		return
	}
	e, _ := p.rank.EngineState()
	if p.coord == nil && !turn(e.Rank, e.Size, step) {
		return
	}
	sets := summarise(shape.Shape, diff)
	if p.coord != nil {
		p.learn(shape.Shape, sets)
		return
	}
	r := p.rank.Report()
	r.Demand = sets
	p.send(&r)
}

// turn reports whether a rank is to tell of a pass: the ranks of a large group
// take turns, as each one's requests are a sample of the same demand and the
// coordinator's link is narrow.
func turn(rank, size int, step int64) bool {
	turns := int64(max((size+tellEachPass-1)/tellEachPass, 1))
	return (step+int64(rank))%turns == 0
}

// summarise names the most chosen experts of each set.
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

// learn adds one rank's counts to the estimate.
func (p *Process) learn(shape spread.Shape, sets []wire.Demand) {
	if p.demand == nil || p.shape != shape {
		p.demand, p.shape = spread.NewDemandEstimator(shape), shape
	}
	p.demand.AddReport(sets)
}
