package spread

import "slices"

// change is one change of the map of a set: a copy of an expert to rank to, if to is
// not none, and then the removal of the expert from rank from, if from is not none.
type change struct {
	set, expert, to, from int
}

// none is the rank of the absent part of a change.
const none = -1

// batch is a sequence of changes in one set that are applied together: if two ranks
// are equally loaded, a single copy does not reduce the cost.
type batch struct {
	changes []change
	gain    float64 // reduction of the cost per copy
}

// bestBatch returns the batch of changes in one set with the highest gain per copy,
// empty if none has a gain. It does not modify the plan.
func (p *plan) bestBatch(set int) batch {
	trial := p.cloneFor(set)
	before := trial.maxLoad(set)
	var best batch
	var changes []change
	copies := 0
	for {
		c, ok := trial.nextChange(set)
		if !ok {
			return best
		}
		trial.apply(c)
		changes = append(changes, c)
		if c.to != none {
			copies++
		}
		if gain := (before - trial.maxLoad(set)) / float64(max(copies, 1)); gain > best.gain {
			best = batch{slices.Clone(changes), gain}
		}
	}
}

// nextChange returns the next change of a set. It concerns the expert that contributes
// most to the load of the most loaded rank: that rank gives it up if it is slow and the
// other holders can take its part; else the expert is copied to the rank that is least
// loaded with it, of those that can take it, and a slow rank gives it up. ok is false if
// there is no such expert or rank, or if a rank would become as loaded as the most
// loaded one.
func (p *plan) nextChange(set int) (c change, ok bool) {
	busiest := p.busiest(set)
	expert := p.heaviest(set, busiest)
	if expert < 0 {
		return c, false
	}
	c = change{set: set, expert: expert, to: none, from: none}
	holders := len(p.holders[set][expert])
	if p.isSlow(busiest) && p.canGiveUp(set, expert, busiest) {
		c.from = busiest
		if p.othersCanTake(set, expert, busiest) {
			return c, true
		}
		holders--
	}
	part := p.loads[set][expert] / float64(holders+1)
	load := 0.0 // of rank c.to with the copy
	for r := range p.shape.Ranks {
		if !p.canTake(set, expert, r) {
			continue
		}
		x := p.weigh(p.load[set][r]+part, r)
		if c.to == none || x < load || x == load && p.load[set][r] < p.load[set][c.to] {
			c.to, load = r, x
		}
	}
	return c, c.to != none && load < p.weigh(p.load[set][busiest], busiest)
}

// canGiveUp reports whether a rank may give up an expert once another rank holds it.
func (p *plan) canGiveUp(set, expert, rank int) bool {
	if p.shape.HomeRank(expert) != rank {
		return true
	}
	givenUp := 0
	for e := rank; e < p.shape.Experts; e += p.shape.Ranks {
		if !slices.Contains(p.holders[set][e], rank) {
			givenUp++
		}
	}
	return givenUp < p.limits.SpareSlots
}

// othersCanTake reports whether the other holders of an expert remain less loaded than
// a rank that gives the expert up.
func (p *plan) othersCanTake(set, expert, rank int) bool {
	holders := p.holders[set][expert]
	n := float64(len(holders))
	if n == 1 {
		return false
	}
	more := p.loads[set][expert] * (1/(n-1) - 1/n)
	for _, r := range holders {
		if r != rank && p.weigh(p.load[set][r]+more, r) >= p.weigh(p.load[set][rank], rank) {
			return false
		}
	}
	return true
}

// apply applies a change.
func (p *plan) apply(c change) {
	if c.to != none {
		p.addCopy(c.set, c.expert, c.to)
	}
	if c.from != none {
		p.drop(c.set, c.expert, c.from)
	}
}

// addCopy adds a copy. If the rank has no empty slot, the copy replaces the rank's
// least used replica.
func (p *plan) addCopy(set, expert, rank int) {
	if p.homeExperts(rank)+p.extra[set][rank] >= p.shape.Slots {
		p.drop(set, p.leastUsedReplica(set, rank), rank)
	}
	p.addLoad(set, expert, -1)
	p.holders[set][expert] = append(p.holders[set][expert], rank)
	p.addLoad(set, expert, 1)
	p.extra[set][rank]++
	p.newPerRank[rank]++
	p.newExperts[set][rank] = append(p.newExperts[set][rank], expert)
}

// drop removes an expert from a rank.
func (p *plan) drop(set, expert, rank int) {
	p.addLoad(set, expert, -1)
	p.removeHolder(set, expert, rank)
	p.addLoad(set, expert, 1)
}

// removeHolder removes a rank from those that hold an expert.
func (p *plan) removeHolder(set, expert, rank int) {
	p.holders[set][expert] = slices.DeleteFunc(p.holders[set][expert], func(r int) bool { return r == rank })
	p.extra[set][rank]--
}
