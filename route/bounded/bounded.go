// Package bounded is the default policy: prefix affinity bounded by load.
//
// A prefix has one home, the first backend server in its rendezvous order; a
// prefix with a large share of the requests has as many as it takes to spread
// it. A request goes to the cheapest of its prefix's homes, unless all are
// loaded beyond a bound relative to the mean; then to the next in the order
// under the same bound; then to the better of two drawn at random. Drawing two
// keeps entries that act on the same lagging reports from all choosing the
// same backend server.
package bounded

import (
	"math/rand/v2"
	"time"

	"marjorampitch/route"
)

// Name is the policy's registered name.
const Name = "bounded"

// Settings of the policy.
const (
	// slack is the load above the mean, as a share of it, that a home may carry.
	slack = 2.0
	// headroom is the load above the mean, in requests, that is allowed at any mean.
	headroom = 5.0
	// overLimit is the load relative to the side's limit at which a home is given up.
	overLimit = 2.0
	// homeShare is the part of a mean backend server's load that one prefix may bring to each of its homes.
	homeShare = 0.25
	// maxHomes is the number of homes of one prefix at most.
	maxHomes = 15
	// coldPenalty multiplies the cost of a cold backend server.
	coldPenalty = 4.0
	// coldOdds: one in this many requests of a prefix whose home is cold goes to it.
	coldOdds = 16
	// fullPenalty multiplies the cost of a backend server at its limit.
	fullPenalty = 16.0
	// unknownStep stands in for the step time before the first report, in milliseconds.
	unknownStep = 20.0
)

func init() { route.Register(Name, New) }

type picker struct {
	source *rand.Rand
	counts *counts
}

// New returns a Picker that draws from the source.
func New(source *rand.Rand) route.Picker {
	return &picker{source: source, counts: newCounts()}
}

func (p *picker) Pick(req *route.Request, candidates []route.Candidate) (int, bool) {
	if req.Prefix == 0 {
		v := survey(0, candidates, 0)
		if v.usable == 0 {
			return 0, false
		}
		return p.two(candidates, v.usable), true
	}
	homes := p.homes(req.Prefix, len(candidates))
	v := survey(req.Prefix, candidates, homes+1)
	if v.usable == 0 {
		return 0, false
	}
	if i, ok := p.cheapest(&v, candidates, homes); ok {
		return i, true
	}
	return p.two(candidates, v.usable), true
}

func (p *picker) Done(route.Feedback) {}

// homes is the number of backend servers that share the prefix.
func (p *picker) homes(prefix uint64, servers int) int {
	share := p.counts.add(prefix)
	return min(maxHomes, 1+int(share*float64(servers)/homeShare))
}

// view is what one pass over the candidates finds.
type view struct {
	usable int
	cost   float64           // mean cost of the usable ones
	order  [maxHomes + 1]int // the first in rendezvous order
	ranks  [maxHomes + 1]uint64
	n      int
}

// survey finds the mean cost and the first few candidates in the prefix's order.
func survey(prefix uint64, candidates []route.Candidate, few int) view {
	var v view
	sum := 0.0
	for i := range candidates {
		c := &candidates[i]
		if !c.Usable() {
			continue
		}
		v.usable++
		sum += cost(c)
		v.insert(i, route.Mix(prefix, c.Hash), few)
	}
	if v.usable > 0 {
		v.cost = sum / float64(v.usable)
	}
	return v
}

// insert keeps the few candidates of the highest ranks in order.
func (v *view) insert(i int, rank uint64, few int) {
	at := v.n
	for at > 0 && rank > v.ranks[at-1] {
		at--
	}
	if at >= few {
		return
	}
	v.n = min(v.n+1, few)
	copy(v.order[at+1:v.n], v.order[at:v.n-1])
	copy(v.ranks[at+1:v.n], v.ranks[at:v.n-1])
	v.order[at] = i
	v.ranks[at] = rank
}

// cheapest returns the cheapest home within the bound, else the candidate
// after the homes if it is.
func (p *picker) cheapest(v *view, candidates []route.Candidate, homes int) (int, bool) {
	best, found := 0, false
	for k, i := range v.order[:v.n] {
		if k >= homes && found {
			break
		}
		c := &candidates[i]
		if c.Cold && (c.Full() || p.source.IntN(coldOdds) > 0) || !v.within(c) {
			continue
		}
		if !found || penalised(c) < penalised(&candidates[best]) {
			best, found = i, true
		}
	}
	return best, found
}

// within reports whether c may be picked for its prefix in spite of its load.
func (v *view) within(c *route.Candidate) bool {
	if c.Limit > 0 && float64(c.Load()) >= overLimit*float64(c.Limit) {
		return false
	}
	return cost(c) <= (1+slack)*v.cost+headroom*step(c)
}

// two returns the cheaper of two usable candidates drawn at random.
func (p *picker) two(candidates []route.Candidate, usable int) int {
	a := nth(candidates, p.source.IntN(usable))
	b := nth(candidates, p.source.IntN(usable))
	if penalised(&candidates[b]) < penalised(&candidates[a]) {
		return b
	}
	return a
}

// nth returns the index of the n-th usable candidate.
func nth(candidates []route.Candidate, n int) int {
	for i := range candidates {
		if !candidates[i].Usable() {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}

func step(c *route.Candidate) float64 {
	if c.StepMillis > 0 {
		return c.StepMillis
	}
	return unknownStep
}

// cost estimates the time that the load of c takes, in milliseconds a token.
func cost(c *route.Candidate) float64 {
	return float64(c.Load()) * step(c)
}

// penalised is the cost of one request more, with distance, cold start and limit.
func penalised(c *route.Candidate) float64 {
	x := float64(c.Load()+1)*step(c) + 2*float64(c.Distance)/float64(time.Millisecond)
	if c.Cold {
		x *= coldPenalty
	}
	if c.Full() {
		x *= fullPenalty
	}
	return x
}
