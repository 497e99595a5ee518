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
	Places  int // experts that a rank holds at most, a set
}

// Home is the rank at which map 0 puts an expert.
func (s Shape) Home(expert int) int { return expert % s.Ranks }

// Valid reports whether every expert has a place.
func (s Shape) Valid() bool {
	return s.Sets > 0 && s.Experts > 0 && s.Ranks > 0 && s.Places*s.Ranks >= s.Experts
}

// Lists returns the experts by set and rank: the homes, then the replicas.
func (s Shape) Lists(replicas []wire.Replica) [][][]int {
	lists := make([][][]int, s.Sets)
	for set := range lists {
		lists[set] = make([][]int, s.Ranks)
		for e := range s.Experts {
			r := s.Home(e)
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
	Copies int // new experts a rank, all sets together
	Spare  int // new experts a rank and set
	// MinGain is the part of the whole cost by which a copy must shorten it.
	MinGain float64
}

// Cost is the sum over the sets of the load of the most loaded rank, in
// multiples of the mean: the sets' part of a pass, relative to perfect balance.
func Cost(s Shape, loads Loads, replicas []wire.Replica) float64 {
	p := newPlan(s, loads, replicas)
	return p.cost()
}

// Improve returns replicas that lower the cost by few copies, and the cost.
// Replicas that no longer help are dropped where their place is needed.
func Improve(s Shape, loads Loads, replicas []wire.Replica, limits Limits) ([]wire.Replica, float64) {
	p := newPlan(s, loads, replicas)
	p.limits = limits
	p.fresh = make([]int, s.Ranks)
	for p.addBest() {
	}
	return p.replicas(), p.cost()
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
	added  map[wire.Replica]bool
}

func newPlan(s Shape, loads Loads, replicas []wire.Replica) *plan {
	p := &plan{shape: s, loads: loads, added: map[wire.Replica]bool{}}
	for range s.Sets {
		holders := make([][]int, s.Experts)
		for e := range holders {
			holders[e] = []int{s.Home(e)}
		}
		p.copies = append(p.copies, holders)
		p.extra = append(p.extra, make([]int, s.Ranks))
		p.load = append(p.load, make([]float64, s.Ranks))
	}
	for _, c := range replicas {
		p.copies[c.Set][c.Expert] = append(p.copies[c.Set][c.Expert], int(c.Rank))
		p.extra[c.Set][c.Rank]++
	}
	for set := range s.Sets {
		p.weigh(set)
	}
	return p
}

// weigh works out the loads of the ranks of one set.
func (p *plan) weigh(set int) {
	clear(p.load[set])
	for e, holders := range p.copies[set] {
		part := p.loads[set][e] / float64(len(holders))
		for _, r := range holders {
			p.load[set][r] += part
		}
	}
}

func (p *plan) cost() float64 {
	sum := 0.0
	for set := range p.load {
		sum += slices.Max(p.load[set]) * float64(p.shape.Ranks)
	}
	return sum
}

// homes is the number of experts that map 0 puts at a rank.
func (p *plan) homes(rank int) int {
	return (p.shape.Experts - rank + p.shape.Ranks - 1) / p.shape.Ranks
}

// candidate is a copy that may be made.
type candidate struct {
	replica wire.Replica
	gain    float64
}

// addBest makes the copy that gains most; false when none gains enough.
func (p *plan) addBest() bool {
	best := candidate{}
	for set := range p.shape.Sets {
		if c := p.bestOf(set); c.gain > best.gain {
			best = c
		}
	}
	if best.gain <= 0 || best.gain < p.limits.MinGain*p.cost() {
		return false
	}
	p.add(best.replica)
	return true
}

// bestOf is the best copy in one set: of the expert that weighs most on the
// most loaded rank, at the least loaded rank that can take it.
func (p *plan) bestOf(set int) candidate {
	busiest := argMax(p.load[set])
	expert := p.heaviest(set, busiest)
	if expert < 0 {
		return candidate{}
	}
	to := -1
	for r := range p.shape.Ranks {
		if p.takes(set, expert, r) && (to < 0 || p.load[set][r] < p.load[set][to]) {
			to = r
		}
	}
	if to < 0 {
		return candidate{}
	}
	before := p.load[set][busiest]
	gain := before - p.after(set, expert, to)
	c := wire.Replica{Set: uint16(set), Expert: uint16(expert), Rank: uint16(to)}
	return candidate{c, gain * float64(p.shape.Ranks)}
}

// after is the load of the most loaded rank of a set with one more copy.
func (p *plan) after(set, expert, to int) float64 {
	holders := p.copies[set][expert]
	total := p.loads[set][expert]
	less := total/float64(len(holders)) - total/float64(len(holders)+1)
	worst := 0.0
	for r, load := range p.load[set] {
		switch {
		case r == to:
			load += total / float64(len(holders)+1)
		case slices.Contains(holders, r):
			load -= less
		}
		worst = max(worst, load)
	}
	return worst
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
	if slices.Contains(p.copies[set][expert], rank) || p.fresh[rank] >= p.limits.Copies {
		return false
	}
	if p.freshIn(set, rank) >= p.limits.Spare {
		return false
	}
	return p.homes(rank)+p.extra[set][rank] < p.shape.Places || p.idle(set, rank) >= 0
}

func (p *plan) freshIn(set, rank int) int {
	n := 0
	for c := range p.added {
		if int(c.Set) == set && int(c.Rank) == rank {
			n++
		}
	}
	return n
}

// idle is the old replica at a rank that draws least; -1 for none.
func (p *plan) idle(set, rank int) int {
	best, least := -1, 0.0
	for e, holders := range p.copies[set] {
		if p.shape.Home(e) == rank || !slices.Contains(holders, rank) {
			continue
		}
		if p.added[wire.Replica{Set: uint16(set), Expert: uint16(e), Rank: uint16(rank)}] {
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
	if p.homes(rank)+p.extra[set][rank] >= p.shape.Places {
		e := p.idle(set, rank)
		p.copies[set][e] = slices.DeleteFunc(p.copies[set][e], func(r int) bool { return r == rank })
		p.extra[set][rank]--
	}
	p.copies[set][c.Expert] = append(p.copies[set][c.Expert], rank)
	p.extra[set][rank]++
	p.fresh[rank]++
	p.added[c] = true
	p.weigh(set)
}

func (p *plan) replicas() []wire.Replica {
	var list []wire.Replica
	for set := range p.copies {
		for e, holders := range p.copies[set] {
			for _, r := range holders {
				if r != p.shape.Home(e) {
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
