// Package spread plans expert maps by replicas: every expert stays where map 0
// puts it, and the free places hold further copies of the experts in demand.
//
// A copy takes the link of its rank for a while and demand shifts every few
// seconds, so that a plan makes few copies, at most a given number at each
// rank, which copy at the same time. It answers loads in which a few experts
// draw most of the tokens of a set.
package spread

import (
	"slices"

	"marjorampitch/wire"
)

// Shape is the size of a group's maps.
type Shape struct {
	Sets    int
	Experts int // a set
	Ranks   int
	Slots   int // experts that a rank holds at most, a set
}

// HomeRank is the rank at which map 0 puts an expert.
func (s Shape) HomeRank(expert int) int { return expert % s.Ranks }

// Valid reports whether every expert has a place.
func (s Shape) Valid() bool {
	return s.Sets > 0 && s.Experts > 0 && s.Ranks > 0 && s.Slots*s.Ranks >= s.Experts
}

// ExpertsByRank returns the experts by set and rank: the homes, then the replicas.
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

// Loads are the shares of a set's tokens that each expert draws, by set.
type Loads [][]float64

// Limits bound the copies of one plan.
type Limits struct {
	CopiesPerRank int // new experts a rank, all sets together
	SpareSlots    int // new experts a rank and set
	// MinGainPerCopy is the part of the whole cost by which each copy of a plan must
	// shorten it, on average over the copies of a set.
	MinGainPerCopy float64
	// SwitchCost and CopyCost are what a plan must gain to be worth its while, in parts
	// of the whole cost: for the switch, and for each copy at the rank that
	// makes most.
	SwitchCost, CopyCost float64
}

// Cost is the sum over the sets of the load of the most loaded rank, in
// multiples of the mean: the sets' part of a pass, relative to perfect balance.
func Cost(s Shape, loads Loads, replicas []wire.Replica) float64 {
	p := newPlan(s, loads, replicas)
	return p.cost()
}

// Improve returns the replicas whose gain exceeds most what they must gain, and
// their cost; ok is false when none do. Replicas that no longer help are
// dropped where their place is needed.
func Improve(s Shape, loads Loads, replicas []wire.Replica, limits Limits) (better []wire.Replica, cost float64, ok bool) {
	p := newPlan(s, loads, replicas)
	p.limits = limits
	p.fresh = make([]int, s.Ranks)
	before := p.cost()
	most := 0.0
	for p.limits.CopiesPerRank = 1; p.limits.CopiesPerRank <= limits.CopiesPerRank; p.limits.CopiesPerRank++ {
		if !p.fill(limits.MinGainPerCopy * before) {
			break
		}
		after := p.cost()
		worth := (before-after)/before - limits.SwitchCost - float64(p.limits.CopiesPerRank)*limits.CopyCost
		if worth > most {
			better, cost, ok, most = p.replicas(), after, true, worth
		}
	}
	return better, cost, ok
}

// fill makes copies that each gain at least so much, as far as the limits
// allow. It reports whether there were any.
func (p *plan) fill(least float64) (any bool) {
	runs := make([]run, p.shape.Sets)
	for set := range runs {
		runs[set] = p.bestRun(set)
	}
	for {
		best := 0
		for set := range runs {
			if runs[set].gain > runs[best].gain {
				best = set
			}
		}
		if runs[best].gain <= 0 || runs[best].gain < least {
			return any
		}
		any = true
		for _, c := range runs[best].copies {
			p.add(c)
		}
		for set := range runs { // the ranks of these copies may have no room left for others
			if set == best || !p.fits(runs[set].copies) {
				runs[set] = p.bestRun(set)
			}
		}
	}
}

// plan is a map with its loads.
type plan struct {
	shape  Shape
	loads  Loads
	limits Limits
	copies [][][]int   // ranks that hold each expert, by set and expert
	extra  [][]int     // replicas, by set and rank
	load   [][]float64 // by set and rank
	fresh  []int       // new copies, by rank
	added  [][][]int   // experts of the new copies, by set and rank
}

func newPlan(s Shape, loads Loads, replicas []wire.Replica) *plan {
	p := &plan{shape: s, loads: loads}
	for range s.Sets {
		holders := make([][]int, s.Experts)
		for e := range holders {
			holders[e] = []int{s.HomeRank(e)}
		}
		p.copies = append(p.copies, holders)
		p.extra = append(p.extra, make([]int, s.Ranks))
		p.load = append(p.load, make([]float64, s.Ranks))
		p.added = append(p.added, make([][]int, s.Ranks))
	}
	for _, c := range replicas {
		p.copies[c.Set][c.Expert] = append(p.copies[c.Set][c.Expert], int(c.Rank))
		p.extra[c.Set][c.Rank]++
	}
	for set := range s.Sets {
		for e := range s.Experts {
			p.share(set, e, 1)
		}
	}
	return p
}

func (p *plan) cost() float64 {
	sum := 0.0
	for set := range p.load {
		sum += p.worst(set)
	}
	return sum
}

// worst is the load of the most loaded rank of a set, in multiples of the mean.
func (p *plan) worst(set int) float64 { return slices.Max(p.load[set]) * float64(p.shape.Ranks) }

// homes is the number of experts that map 0 puts at a rank.
func (p *plan) homes(rank int) int {
	return (p.shape.Experts - rank + p.shape.Ranks - 1) / p.shape.Ranks
}

// run is some copies in one set, which help together: one copy alone does not
// where two ranks are loaded alike.
type run struct {
	copies []wire.Replica
	gain   float64 // of each copy, on average
}

// bestRun is the run in one set with the highest gain for each of its copies.
// The plan stays as it is.
func (p *plan) bestRun(set int) run {
	trial := p.only(set)
	before := trial.worst(set)
	var best run
	var copies []wire.Replica
	for {
		c, ok := trial.next(set)
		if !ok {
			return best
		}
		trial.add(c)
		copies = append(copies, c)
		if gain := (before - trial.worst(set)) / float64(len(copies)); gain > best.gain {
			best = run{slices.Clone(copies), gain}
		}
	}
}

// only is a copy of the plan that may be changed in one set.
func (p *plan) only(set int) *plan {
	t := *p
	t.copies, t.extra, t.load, t.added = slices.Clone(p.copies), slices.Clone(p.extra), slices.Clone(p.load), slices.Clone(p.added)
	t.fresh = slices.Clone(p.fresh)
	t.copies[set] = make([][]int, len(p.copies[set]))
	for e, holders := range p.copies[set] {
		t.copies[set][e] = slices.Clone(holders)
	}
	t.added[set] = make([][]int, len(p.added[set]))
	for r, experts := range p.added[set] {
		t.added[set][r] = slices.Clone(experts)
	}
	t.extra[set], t.load[set] = slices.Clone(p.extra[set]), slices.Clone(p.load[set])
	return &t
}

// fits reports whether the ranks of some copies have room for them.
func (p *plan) fits(copies []wire.Replica) bool {
	fresh := slices.Clone(p.fresh)
	for _, c := range copies {
		if fresh[c.Rank]++; fresh[c.Rank] > p.limits.CopiesPerRank {
			return false
		}
	}
	return true
}

// next is the next copy in a set: of the expert that weighs most on the most
// loaded rank, at the least loaded rank that can take it. ok is false when none
// would take load off that rank without loading another as much.
func (p *plan) next(set int) (c wire.Replica, ok bool) {
	busiest := argMax(p.load[set])
	expert := p.heaviest(set, busiest)
	if expert < 0 {
		return c, false
	}
	to := -1
	for r := range p.shape.Ranks {
		if p.takes(set, expert, r) && (to < 0 || p.load[set][r] < p.load[set][to]) {
			to = r
		}
	}
	if to < 0 {
		return c, false
	}
	part := p.loads[set][expert] / float64(len(p.copies[set][expert])+1)
	if p.load[set][to]+part >= p.load[set][busiest] {
		return c, false
	}
	return wire.Replica{Set: uint16(set), Expert: uint16(expert), Rank: uint16(to)}, true
}

// heaviest is the expert that weighs most on a rank; -1 for none.
func (p *plan) heaviest(set, rank int) int {
	best, most := -1, 0.0
	for e, holders := range p.copies[set] {
		if part := p.loads[set][e] / float64(len(holders)); part > most && slices.Contains(holders, rank) {
			best, most = e, part
		}
	}
	return best
}

// takes reports whether a rank can take a copy.
func (p *plan) takes(set, expert, rank int) bool {
	if slices.Contains(p.copies[set][expert], rank) || p.fresh[rank] >= p.limits.CopiesPerRank {
		return false
	}
	if len(p.added[set][rank]) >= p.limits.SpareSlots {
		return false
	}
	return p.homes(rank)+p.extra[set][rank] < p.shape.Slots || p.extra[set][rank] > len(p.added[set][rank])
}

// idle is the old replica at a rank that draws least; -1 for none.
func (p *plan) idle(set, rank int) int {
	best, least := -1, 0.0
	for e, holders := range p.copies[set] {
		if p.shape.HomeRank(e) == rank || !slices.Contains(holders, rank) {
			continue
		}
		if slices.Contains(p.added[set][rank], e) {
			continue
		}
		if x := p.loads[set][e]; best < 0 || x < least {
			best, least = e, x
		}
	}
	return best
}

func (p *plan) add(c wire.Replica) {
	set, rank := int(c.Set), int(c.Rank)
	if p.homes(rank)+p.extra[set][rank] >= p.shape.Slots {
		p.drop(set, p.idle(set, rank), rank)
	}
	holders := p.copies[set][c.Expert]
	p.share(set, int(c.Expert), -1)
	p.copies[set][c.Expert] = append(holders, rank)
	p.share(set, int(c.Expert), 1)
	p.extra[set][rank]++
	p.fresh[rank]++
	p.added[set][rank] = append(p.added[set][rank], int(c.Expert))
}

// drop takes a replica out.
func (p *plan) drop(set, expert, rank int) {
	p.share(set, expert, -1)
	p.copies[set][expert] = slices.DeleteFunc(p.copies[set][expert], func(r int) bool { return r == rank })
	p.share(set, expert, 1)
	p.extra[set][rank]--
}

// share adds an expert's part to the loads of its holders, sign times.
func (p *plan) share(set, expert int, sign float64) {
	holders := p.copies[set][expert]
	part := sign * p.loads[set][expert] / float64(len(holders))
	for _, r := range holders {
		p.load[set][r] += part
	}
}

func (p *plan) replicas() []wire.Replica {
	var list []wire.Replica
	for set := range p.copies {
		for e, holders := range p.copies[set] {
			for _, r := range holders {
				if r != p.shape.HomeRank(e) {
					list = append(list, wire.Replica{Set: uint16(set), Expert: uint16(e), Rank: uint16(r)})
				}
			}
		}
	}
	return list
}

func argMax(list []float64) int {
	best := 0
	for i, x := range list {
		if x > list[best] {
			best = i
		}
	}
	return best
}
