// Package spread plans expert maps by replication: every expert stays on its rank
// of the initial map, and the remaining slots hold replicas of the experts in high
// demand. A set is a set of layers with a map of its own.
//
// A copy occupies the link of its rank while it is made, and demand shifts every
// few seconds. A plan therefore makes few copies, up to a limit per rank; the ranks
// copy in parallel. This suits loads in which a few experts receive most of the
// tokens of a set.
package spread

import (
	"slices"

	"marjorampitch/wire"
)

// Shape gives the dimensions of a group's expert maps.
type Shape struct {
	Sets    int // sets of layers, each with a map of its own
	Experts int // experts per set
	Ranks   int
	Slots   int // expert slots per rank and set
}

// HomeRank returns the rank that holds an expert in the initial map.
func (s Shape) HomeRank(expert int) int { return expert % s.Ranks }

// Valid reports whether all dimensions are positive and a set has at least as many
// slots as experts.
func (s Shape) Valid() bool {
	return s.Sets > 0 && s.Experts > 0 && s.Ranks > 0 && s.Slots*s.Ranks >= s.Experts
}

// Fits reports whether the sets, experts and ranks of all replicas exist.
func (s Shape) Fits(replicas []wire.Replica) bool {
	return !slices.ContainsFunc(replicas, func(r wire.Replica) bool {
		return int(r.Set) >= s.Sets || int(r.Expert) >= s.Experts || int(r.Rank) >= s.Ranks
	})
}

// ExpertsByRank returns the experts that each rank holds, by set and rank: those of
// the initial map, then the replicas, which fit the shape.
func (s Shape) ExpertsByRank(replicas []wire.Replica) [][][]int {
	lists := make([][][]int, s.Sets)
	for set := range lists {
		lists[set] = make([][]int, s.Ranks)
		for e := range s.Experts {
			r := s.HomeRank(e)
			lists[set][r] = append(lists[set][r], e)
		}
	}
	for _, c := range replicas {
		lists[c.Set][c.Rank] = append(lists[c.Set][c.Rank], int(c.Expert))
	}
	return lists
}

// Loads holds the share of its set's tokens that each expert receives, by set and
// expert. The shares of a set add up to 1.
type Loads [][]float64

// Limits bounds the copies of one plan and sets the gain that it must reach.
type Limits struct {
	CopiesPerRank int // maximum number of new replicas per rank, over all sets
	SpareSlots    int // maximum number of new replicas per rank and set
	// MinGainPerCopy is the minimum reduction of the cost per copy, as a fraction of
	// the current cost, averaged over copies that are added together in one set.
	MinGainPerCopy float64
	// The reduction of the cost by a plan must exceed SwitchCost plus CopyCost for
	// each copy of the rank that makes the most copies, as fractions of the current
	// cost.
	SwitchCost, CopyCost float64
}

// Cost returns the sum over the sets of the load of the most loaded rank, in
// multiples of the mean rank load. It is proportional to the time of the sets in a
// forward pass; a perfectly balanced map costs the number of sets.
func Cost(s Shape, loads Loads, replicas []wire.Replica) float64 {
	p := newPlan(s, loads, replicas)
	return p.cost()
}

// Improve plans new replicas and returns the list of all replicas and its cost. Of
// the plans with 1 to limits.CopiesPerRank copies per rank it chooses the one whose
// gain exceeds the required gain most; ok is false if no plan exceeds it. Replicas
// of experts with low load are dropped where their slot is needed.
func Improve(s Shape, loads Loads, replicas []wire.Replica, limits Limits) (better []wire.Replica, cost float64, ok bool) {
	p := newPlan(s, loads, replicas)
	p.limits = limits
	p.newPerRank = make([]int, s.Ranks)
	before := p.cost()
	bestNet := 0.0
	for p.limits.CopiesPerRank = 1; p.limits.CopiesPerRank <= limits.CopiesPerRank; p.limits.CopiesPerRank++ {
		if !p.addCopies(limits.MinGainPerCopy * before) {
			break
		}
		after := p.cost()
		net := (before-after)/before - limits.SwitchCost - float64(p.limits.CopiesPerRank)*limits.CopyCost
		if net > bestNet {
			better, cost, ok, bestNet = p.replicas(), after, true, net
		}
	}
	return better, cost, ok
}

// addCopies adds batches of copies with an average gain per copy of at least
// minGain, as far as the limits allow. It reports whether it added any.
func (p *plan) addCopies(minGain float64) (added bool) {
	batches := make([]copyBatch, p.shape.Sets)
	for set := range batches {
		batches[set] = p.bestBatch(set)
	}
	for {
		best := 0
		for set := range batches {
			if batches[set].gain > batches[best].gain {
				best = set
			}
		}
		if batches[best].gain <= 0 || batches[best].gain < minGain {
			return added
		}
		added = true
		for _, c := range batches[best].copies {
			p.addCopy(c)
		}
		for set := range batches { // the ranks of the added copies may have reached a limit
			if set == best || !p.fits(batches[set].copies) {
				batches[set] = p.bestBatch(set)
			}
		}
	}
}

// plan is an expert map with the resulting rank loads.
type plan struct {
	shape        Shape
	loads        Loads
	limits       Limits
	holders      [][][]int   // ranks that hold each expert, by set and expert
	replicaCount [][]int     // replicas, by set and rank
	load         [][]float64 // by set and rank, as shares of the set's tokens
	newPerRank   []int       // replicas added by the plan, by rank
	newExperts   [][][]int   // experts of the replicas added by the plan, by set and rank
}

// newPlan returns the map with the given replicas. The caller sets the limits and
// newPerRank before it adds copies.
func newPlan(s Shape, loads Loads, replicas []wire.Replica) *plan {
	p := &plan{shape: s, loads: loads}
	for range s.Sets {
		holders := make([][]int, s.Experts)
		for e := range holders {
			holders[e] = []int{s.HomeRank(e)}
		}
		p.holders = append(p.holders, holders)
		p.replicaCount = append(p.replicaCount, make([]int, s.Ranks))
		p.load = append(p.load, make([]float64, s.Ranks))
		p.newExperts = append(p.newExperts, make([][]int, s.Ranks))
	}
	for _, c := range replicas {
		p.holders[c.Set][c.Expert] = append(p.holders[c.Set][c.Expert], int(c.Rank))
		p.replicaCount[c.Set][c.Rank]++
	}
	for set := range s.Sets {
		for e := range s.Experts {
			p.addLoad(set, e, 1)
		}
	}
	return p
}

// cost returns the cost of the map, as defined at Cost.
func (p *plan) cost() float64 {
	sum := 0.0
	for set := range p.load {
		sum += p.maxLoad(set)
	}
	return sum
}

// maxLoad returns the load of the most loaded rank of a set, in multiples of the
// mean rank load.
func (p *plan) maxLoad(set int) float64 { return slices.Max(p.load[set]) * float64(p.shape.Ranks) }

// homeExperts returns the number of experts of a set that the initial map places on
// a rank.
func (p *plan) homeExperts(rank int) int {
	return (p.shape.Experts - rank + p.shape.Ranks - 1) / p.shape.Ranks
}

// copyBatch is a sequence of copies in one set that are added together: if two
// ranks are equally loaded, a single copy does not reduce the cost.
type copyBatch struct {
	copies []wire.Replica
	gain   float64 // reduction of the cost per copy
}

// bestBatch returns the batch of copies in one set with the highest gain per copy,
// empty if none has a gain. It does not modify the plan.
func (p *plan) bestBatch(set int) copyBatch {
	trial := p.cloneFor(set)
	before := trial.maxLoad(set)
	var best copyBatch
	var copies []wire.Replica
	for {
		c, ok := trial.nextCopy(set)
		if !ok {
			return best
		}
		trial.addCopy(c)
		copies = append(copies, c)
		if gain := (before - trial.maxLoad(set)) / float64(len(copies)); gain > best.gain {
			best = copyBatch{slices.Clone(copies), gain}
		}
	}
}

// cloneFor returns a copy of the plan in which one set may be modified.
func (p *plan) cloneFor(set int) *plan {
	t := *p
	t.holders, t.replicaCount, t.load, t.newExperts = slices.Clone(p.holders), slices.Clone(p.replicaCount), slices.Clone(p.load), slices.Clone(p.newExperts)
	t.newPerRank = slices.Clone(p.newPerRank)
	t.holders[set] = make([][]int, len(p.holders[set]))
	for e, holders := range p.holders[set] {
		t.holders[set][e] = slices.Clone(holders)
	}
	t.newExperts[set] = make([][]int, len(p.newExperts[set]))
	for r, experts := range p.newExperts[set] {
		t.newExperts[set][r] = slices.Clone(experts)
	}
	t.replicaCount[set], t.load[set] = slices.Clone(p.replicaCount[set]), slices.Clone(p.load[set])
	return &t
}

// fits reports whether the ranks of the copies stay within CopiesPerRank.
func (p *plan) fits(copies []wire.Replica) bool {
	count := slices.Clone(p.newPerRank)
	for _, c := range copies {
		if count[c.Rank]++; count[c.Rank] > p.limits.CopiesPerRank {
			return false
		}
	}
	return true
}

// nextCopy returns the next copy to add in a set: the expert that contributes most
// to the load of the most loaded rank, copied to the least loaded rank that can
// take it. ok is false if there is no such expert or rank, or if that rank would
// become as loaded as the most loaded one.
func (p *plan) nextCopy(set int) (c wire.Replica, ok bool) {
	busiest := argMax(p.load[set])
	expert := p.heaviest(set, busiest)
	if expert < 0 {
		return c, false
	}
	to := -1
	for r := range p.shape.Ranks {
		if p.canTake(set, expert, r) && (to < 0 || p.load[set][r] < p.load[set][to]) {
			to = r
		}
	}
	if to < 0 {
		return c, false
	}
	part := p.loads[set][expert] / float64(len(p.holders[set][expert])+1)
	if p.load[set][to]+part >= p.load[set][busiest] {
		return c, false
	}
	return wire.Replica{Set: uint16(set), Expert: uint16(expert), Rank: uint16(to)}, true
}

// heaviest returns the expert that contributes most to the load of a rank, or -1.
func (p *plan) heaviest(set, rank int) int {
	best, most := -1, 0.0
	for e, holders := range p.holders[set] {
		if part := p.loads[set][e] / float64(len(holders)); part > most && slices.Contains(holders, rank) {
			best, most = e, part
		}
	}
	return best
}

// canTake reports whether a rank can take a copy of an expert: it does not hold the
// expert, is within the limits and has an empty slot or an old replica to replace.
func (p *plan) canTake(set, expert, rank int) bool {
	if slices.Contains(p.holders[set][expert], rank) || p.newPerRank[rank] >= p.limits.CopiesPerRank {
		return false
	}
	if len(p.newExperts[set][rank]) >= p.limits.SpareSlots {
		return false
	}
	return p.homeExperts(rank)+p.replicaCount[set][rank] < p.shape.Slots || p.replicaCount[set][rank] > len(p.newExperts[set][rank])
}

// leastUsedReplica returns the expert with the lowest load among the replicas of a
// rank that the plan did not add, or -1.
func (p *plan) leastUsedReplica(set, rank int) int {
	best, least := -1, 0.0
	for e, holders := range p.holders[set] {
		if p.shape.HomeRank(e) == rank || !slices.Contains(holders, rank) {
			continue
		}
		if slices.Contains(p.newExperts[set][rank], e) {
			continue
		}
		if x := p.loads[set][e]; best < 0 || x < least {
			best, least = e, x
		}
	}
	return best
}

// addCopy adds a copy. If the rank has no empty slot, the copy replaces the rank's
// least used replica.
func (p *plan) addCopy(c wire.Replica) {
	set, rank := int(c.Set), int(c.Rank)
	if p.homeExperts(rank)+p.replicaCount[set][rank] >= p.shape.Slots {
		p.dropReplica(set, p.leastUsedReplica(set, rank), rank)
	}
	holders := p.holders[set][c.Expert]
	p.addLoad(set, int(c.Expert), -1)
	p.holders[set][c.Expert] = append(holders, rank)
	p.addLoad(set, int(c.Expert), 1)
	p.replicaCount[set][rank]++
	p.newPerRank[rank]++
	p.newExperts[set][rank] = append(p.newExperts[set][rank], int(c.Expert))
}

// dropReplica removes a replica of an expert from a rank.
func (p *plan) dropReplica(set, expert, rank int) {
	p.addLoad(set, expert, -1)
	p.holders[set][expert] = slices.DeleteFunc(p.holders[set][expert], func(r int) bool { return r == rank })
	p.addLoad(set, expert, 1)
	p.replicaCount[set][rank]--
}

// addLoad adds the load of an expert, multiplied by sign, to its holders in equal
// parts.
func (p *plan) addLoad(set, expert int, sign float64) {
	holders := p.holders[set][expert]
	part := sign * p.loads[set][expert] / float64(len(holders))
	for _, r := range holders {
		p.load[set][r] += part
	}
}

func (p *plan) replicas() []wire.Replica {
	var list []wire.Replica
	for set := range p.holders {
		for e, holders := range p.holders[set] {
			for _, r := range holders {
				if r != p.shape.HomeRank(e) {
					list = append(list, wire.Replica{Set: uint16(set), Expert: uint16(e), Rank: uint16(r)})
				}
			}
		}
	}
	return list
}

// argMax returns the index of the first maximum of list.
func argMax(list []float64) int {
	best := 0
	for i, x := range list {
		if x > list[best] {
			best = i
		}
	}
	return best
}
