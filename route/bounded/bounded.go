// Package bounded implements the default routing policy: prefix affinity with
// bounded load.
//
// The home of a prefix is the first backend server in its rendezvous order. A
// prefix with a large share of the requests has several homes, enough to spread
// its load. A request goes to the home with the lowest cost, unless all homes
// exceed a load bound relative to the mean; then to the next server in the order
// if that is within the bound; then to the better of two servers picked at
// random. With two random choices, front proxies that use the same outdated
// reports do not all pick the same backend server.
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
	// loadSlack is how far the load of a home may exceed the mean, relative to the mean.
	loadSlack = 2.0
	// loadHeadroom is the number of requests added to that bound, so that it is not
	// too tight at a low mean.
	loadHeadroom = 5.0
	// maxLimitRatio is the load, relative to the sidecar's limit, at which a home is
	// no longer picked.
	maxLimitRatio = 2.0
	// homeLoadShare is the load that one prefix may bring to each of its homes, relative
	// to the mean load of a backend server.
	homeLoadShare = 0.25
	// maxHomes is the largest number of homes of one prefix.
	maxHomes = 15
	// coldPenalty multiplies the cost of a cold backend server.
	coldPenalty = 4.0
	// coldPickInterval: a cold home is considered for one in this many requests of its
	// prefix, on average.
	coldPickInterval = 16
	// fullPenalty multiplies the cost of a backend server at its limit.
	fullPenalty = 16.0
	// defaultStepMillis is the assumed step time before the first report, in milliseconds.
	defaultStepMillis = 20.0
)

func init() { route.Register(Name, New) }

type picker struct {
	source *rand.Rand
	counts *prefixCounts
}

// New returns a Picker that takes randomness from source.
func New(source *rand.Rand) route.Picker {
	return &picker{source: source, counts: newPrefixCounts()}
}

func (p *picker) Pick(req *route.Request, candidates []route.Candidate) (int, bool) {
	if req.Prefix == 0 {
		v := scan(0, candidates, 0)
		if v.usable == 0 {
			return 0, false
		}
		return p.pickBestOfTwo(candidates, v.usable), true
	}
	homes := p.homeCount(req.Prefix, len(candidates))
	v := scan(req.Prefix, candidates, homes+1)
	if v.usable == 0 {
		return 0, false
	}
	if i, ok := p.pickHome(&v, candidates, homes); ok {
		return i, true
	}
	return p.pickBestOfTwo(candidates, v.usable), true
}

func (p *picker) Done(route.Feedback) {}

// homeCount records a pick of the prefix and returns its number of homes.
func (p *picker) homeCount(prefix uint64, servers int) int {
	share := p.counts.add(prefix)
	return min(maxHomes, 1+int(share*float64(servers)/homeLoadShare))
}

// scanResult is the result of one scan of the candidates.
type scanResult struct {
	usable   int
	meanCost float64              // of the usable candidates
	order    [maxHomes + 1]int    // indices of the first candidates in rendezvous order
	scores   [maxHomes + 1]uint64 // rendezvous scores of order
	n        int                  // length of order and scores
}

// scan computes the mean cost of the usable candidates and the first k of them in
// the prefix's rendezvous order.
func scan(prefix uint64, candidates []route.Candidate, k int) scanResult {
	var v scanResult
	sum := 0.0
	for i := range candidates {
		c := &candidates[i]
		if !c.Usable() {
			continue
		}
		v.usable++
		sum += cost(c)
		v.insert(i, route.Mix(prefix, c.Hash), k)
	}
	if v.usable > 0 {
		v.meanCost = sum / float64(v.usable)
	}
	return v
}

// insert adds candidate i if its score is among the k highest, in descending order.
func (v *scanResult) insert(i int, score uint64, k int) {
	at := v.n
	for at > 0 && score > v.scores[at-1] {
		at--
	}
	if at >= k {
		return
	}
	v.n = min(v.n+1, k)
	copy(v.order[at+1:v.n], v.order[at:v.n-1])
	copy(v.scores[at+1:v.n], v.scores[at:v.n-1])
	v.order[at] = i
	v.scores[at] = score
}

// pickHome returns the home with the lowest cost within the load bound. If there
// is none, it returns the next candidate in the order if that is within the bound.
func (p *picker) pickHome(v *scanResult, candidates []route.Candidate, homes int) (int, bool) {
	best, found := 0, false
	for k, i := range v.order[:v.n] {
		if k >= homes && found {
			break
		}
		c := &candidates[i]
		if c.Cold && (c.Full() || p.source.IntN(coldPickInterval) > 0) || !v.withinBound(c) {
			continue
		}
		if !found || penalisedCost(c) < penalisedCost(&candidates[best]) {
			best, found = i, true
		}
	}
	return best, found
}

// withinBound reports whether c may be picked by prefix affinity at its load.
func (v *scanResult) withinBound(c *route.Candidate) bool {
	if c.Limit > 0 && float64(c.Load()) >= maxLimitRatio*float64(c.Limit) {
		return false
	}
	return cost(c) <= (1+loadSlack)*v.meanCost+loadHeadroom*stepMillis(c)
}

// pickBestOfTwo picks two usable candidates at random and returns the one with
// the lower cost.
func (p *picker) pickBestOfTwo(candidates []route.Candidate, usable int) int {
	a := nthUsable(candidates, p.source.IntN(usable))
	b := nthUsable(candidates, p.source.IntN(usable))
	if penalisedCost(&candidates[b]) < penalisedCost(&candidates[a]) {
		return b
	}
	return a
}

// nthUsable returns the index of the n-th usable candidate, counted from 0.
func nthUsable(candidates []route.Candidate, n int) int {
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

func stepMillis(c *route.Candidate) float64 {
	if c.StepMillis > 0 {
		return c.StepMillis
	}
	return defaultStepMillis
}

// cost estimates the time per token at the load of c, in milliseconds.
func cost(c *route.Candidate) float64 {
	return float64(c.Load()) * stepMillis(c)
}

// penalisedCost returns the cost of c with one more request, including the round trip
// and the penalties of a cold or full server.
func penalisedCost(c *route.Candidate) float64 {
	x := float64(c.Load()+1)*stepMillis(c) + 2*float64(c.Distance)/float64(time.Millisecond)
	if c.Cold {
		x *= coldPenalty
	}
	if c.Full() {
		x *= fullPenalty
	}
	return x
}
