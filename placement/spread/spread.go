// Package spread plans expert maps by replication: every expert stays on its rank
// of the initial map, its home, and the remaining slots hold replicas of the experts
// in high demand. A set is a set of layers with a map of its own.
//
// The ranks that hold an expert receive equal parts of its tokens, so that replicas
// elsewhere do not take all load off a rank that is slow. Such a rank gives up experts
// that another rank holds, its own ones included. A list of replicas states this by an
// entry with the number of ranks as its rank; see Shape.GivesUp.
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

// Fits reports whether the sets, experts and ranks of all replicas exist, and none is on
// the expert's home.
func (s Shape) Fits(replicas []wire.Replica) bool {
	return !slices.ContainsFunc(replicas, func(r wire.Replica) bool {
		return int(r.Set) >= s.Sets || int(r.Expert) >= s.Experts ||
			int(r.Rank) >= s.Ranks && !s.GivesUp(r) || int(r.Rank) == s.HomeRank(int(r.Expert))
	})
}

// ExpertsByRank returns the experts that each rank holds, by set and rank: those of
// the initial map that it has not given up, then the replicas, which fit the shape. No
// list is nil.
func (s Shape) ExpertsByRank(replicas []wire.Replica) [][][]int {
	lists := make([][][]int, s.Sets)
	for set := range lists {
		lists[set] = make([][]int, s.Ranks)
		for r := range lists[set] {
			lists[set][r] = []int{}
		}
		for e := range s.Experts {
			r := s.HomeRank(e)
			lists[set][r] = append(lists[set][r], e)
		}
	}
	for _, c := range replicas {
		if s.GivesUp(c) {
			home := &lists[c.Set][s.HomeRank(int(c.Expert))]
			*home = slices.DeleteFunc(*home, func(e int) bool { return e == int(c.Expert) })
		} else {
			lists[c.Set][c.Rank] = append(lists[c.Set][c.Rank], int(c.Expert))
		}
	}
	return lists
}

// GivesUp reports whether an entry of a list of replicas states that the expert's home has
// given the expert up. Its rank does not exist, so that builds that know replicas only
// refuse the map instead of preparing one with other content.
func (s Shape) GivesUp(c wire.Replica) bool { return int(c.Rank) == s.Ranks }

// Loads holds the share of its set's tokens that each expert receives, by set and
// expert. The shares of a set add up to 1.
type Loads [][]float64

// Limits bounds the copies of one plan and sets the gain that it must reach.
type Limits struct {
	CopiesPerRank int // maximum number of new replicas per rank, over all sets
	// SpareSlots is the maximum number of new replicas per rank and set. A rank gives
	// up no more experts of the initial map in a set, so that one switch can lead back
	// to that map.
	SpareSlots int
	// MinGainPerCopy is the minimum reduction of the cost per copy, as a fraction of
	// the current cost, averaged over copies that are added together in one set.
	MinGainPerCopy float64
	// The reduction of the cost by a plan must exceed SwitchCost plus CopyCost for
	// each copy of the rank that makes the most copies, as fractions of the current
	// cost.
	SwitchCost, CopyCost float64
	// Slowness is the factor by which work takes longer than at the other ranks, by
	// rank; nil if all ranks are equally fast.
	Slowness []float64
}

// Cost returns the sum over the sets of the load of the most loaded rank, in
// multiples of the mean rank load. It is proportional to the time of the sets in a
// forward pass; a perfectly balanced map costs the number of sets.
func Cost(s Shape, loads Loads, replicas []wire.Replica) float64 {
	return WeightedCost(s, loads, replicas, nil)
}

// WeightedCost is Cost with the load of each rank multiplied by its slowness.
func WeightedCost(s Shape, loads Loads, replicas []wire.Replica, slowness []float64) float64 {
	p := newPlan(s, loads, replicas)
	p.limits.Slowness = slowness
	return p.cost()
}

// Improve plans new replicas and returns the list of all replicas and its cost, weighted
// by limits.Slowness. Of
// the plans with 1 to limits.CopiesPerRank copies per rank it chooses the one whose
// gain exceeds the required gain most; ok is false if no plan exceeds it. Replicas
// of experts with low load are dropped where their slot is needed, and slow ranks give
// up experts.
func Improve(s Shape, loads Loads, replicas []wire.Replica, limits Limits) (better []wire.Replica, cost float64, ok bool) {
	p := newPlan(s, loads, replicas)
	p.limits = limits
	p.newPerRank = make([]int, s.Ranks)
	before := p.cost()
	bestNet := 0.0
	for p.limits.CopiesPerRank = 1; p.limits.CopiesPerRank <= limits.CopiesPerRank; p.limits.CopiesPerRank++ {
		if !p.addBatches(limits.MinGainPerCopy * before) {
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

// addBatches applies batches of changes with an average gain per copy of at least
// minGain, as far as the limits allow. It reports whether it applied any.
func (p *plan) addBatches(minGain float64) (added bool) {
	batches := make([]batch, p.shape.Sets)
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
		for _, c := range batches[best].changes {
			p.apply(c)
		}
		for set := range batches { // the ranks of the added copies may have reached a limit
			if set == best || !p.fits(batches[set].changes) {
				batches[set] = p.bestBatch(set)
			}
		}
	}
}

// plan is an expert map with the resulting rank loads.
type plan struct {
	shape      Shape
	loads      Loads
	limits     Limits
	holders    [][][]int   // ranks that hold each expert, by set and expert
	extra      [][]int     // replicas less experts of the initial map that were given up, by set and rank
	load       [][]float64 // by set and rank, as shares of the set's tokens
	newPerRank []int       // copies added by the plan, by rank
	newExperts [][][]int   // experts of the replicas added by the plan, by set and rank
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
		p.extra = append(p.extra, make([]int, s.Ranks))
		p.load = append(p.load, make([]float64, s.Ranks))
		p.newExperts = append(p.newExperts, make([][]int, s.Ranks))
	}
	for _, c := range replicas {
		if s.GivesUp(c) {
			p.removeHolder(int(c.Set), int(c.Expert), s.HomeRank(int(c.Expert)))
			continue
		}
		p.holders[c.Set][c.Expert] = append(p.holders[c.Set][c.Expert], int(c.Rank))
		p.extra[c.Set][c.Rank]++
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
func (p *plan) maxLoad(set int) float64 {
	busiest := p.busiest(set)
	return p.weigh(p.load[set][busiest], busiest) * float64(p.shape.Ranks)
}

// busiest returns the most loaded rank of a set.
func (p *plan) busiest(set int) int {
	best, most := 0, 0.0
	for r, load := range p.load[set] {
		if x := p.weigh(load, r); x > most {
			best, most = r, x
		}
	}
	return best
}

// isSlow reports whether a rank is slower than others.
func (p *plan) isSlow(rank int) bool { return p.weigh(1, rank) > 1 }

// weigh returns a load of a rank multiplied by the rank's slowness.
func (p *plan) weigh(load float64, rank int) float64 {
	if p.limits.Slowness == nil {
		return load
	}
	return load * p.limits.Slowness[rank]
}

// homeExperts returns the number of experts of a set that the initial map places on
// a rank.
func (p *plan) homeExperts(rank int) int {
	return (p.shape.Experts - rank + p.shape.Ranks - 1) / p.shape.Ranks
}

// cloneFor returns a copy of the plan in which one set may be modified.
func (p *plan) cloneFor(set int) *plan {
	t := *p
	t.holders, t.extra, t.load, t.newExperts = slices.Clone(p.holders), slices.Clone(p.extra), slices.Clone(p.load), slices.Clone(p.newExperts)
	t.newPerRank = slices.Clone(p.newPerRank)
	t.holders[set] = make([][]int, len(p.holders[set]))
	for e, holders := range p.holders[set] {
		t.holders[set][e] = slices.Clone(holders)
	}
	t.newExperts[set] = make([][]int, len(p.newExperts[set]))
	for r, experts := range p.newExperts[set] {
		t.newExperts[set][r] = slices.Clone(experts)
	}
	t.extra[set], t.load[set] = slices.Clone(p.extra[set]), slices.Clone(p.load[set])
	return &t
}

// fits reports whether the ranks of the changes stay within CopiesPerRank.
func (p *plan) fits(changes []change) bool {
	count := slices.Clone(p.newPerRank)
	for _, c := range changes {
		if c.to == none {
			continue
		}
		if count[c.to]++; count[c.to] > p.limits.CopiesPerRank {
			return false
		}
	}
	return true
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
	return p.homeExperts(rank)+p.extra[set][rank] < p.shape.Slots || p.leastUsedReplica(set, rank) >= 0
}

// leastUsedReplica returns the expert with the lowest load among the replicas of a
// rank that the plan did not add and that another rank holds, too, or -1.
func (p *plan) leastUsedReplica(set, rank int) int {
	best, least := -1, 0.0
	for e, holders := range p.holders[set] {
		if p.shape.HomeRank(e) == rank || !slices.Contains(holders, rank) {
			continue
		}
		if len(holders) == 1 || slices.Contains(p.newExperts[set][rank], e) {
			continue
		}
		if x := p.loads[set][e]; best < 0 || x < least {
			best, least = e, x
		}
	}
	return best
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
			home := p.shape.HomeRank(e)
			if !slices.Contains(holders, home) {
				list = append(list, wire.Replica{Set: uint16(set), Expert: uint16(e), Rank: uint16(p.shape.Ranks)})
			}
			for _, r := range holders {
				if r != home {
					list = append(list, wire.Replica{Set: uint16(set), Expert: uint16(e), Rank: uint16(r)})
				}
			}
		}
	}
	return list
}
