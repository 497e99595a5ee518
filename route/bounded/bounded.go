// Package bounded is the default policy: prefix affinity bounded by load.
//
// A request goes to the first backend server in its prefix's rendezvous order,
// unless that one is loaded beyond a bound relative to the mean; then to the
// second in that order under the same rule; then to the better of two drawn at
// random. Drawing two keeps entries that act on the same lagging reports from
// all choosing the same backend server.
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
	// slack is the load above the mean, as a share of it, that a prefix's own backend server may carry.
	slack = 0.25
	// headroom is the load above the mean, in requests, that is allowed at any mean.
	headroom = 2.0
	// coldPenalty multiplies the cost of a cold backend server.
	coldPenalty = 4.0
	// fullPenalty multiplies the cost of a backend server at its limit.
	fullPenalty = 16.0
	// unknownStep stands in for the step time before the first report, in milliseconds.
	unknownStep = 20.0
)

func init() { route.Register(Name, New) }

type picker struct{ source *rand.Rand }

// New returns a Picker that draws from the source.
func New(source *rand.Rand) route.Picker { return &picker{source: source} }

func (p *picker) Pick(req *route.Request, candidates []route.Candidate) (int, bool) {
	s := survey(req.Prefix, candidates)
	if s.usable == 0 {
		return 0, false
	}
	if req.Prefix != 0 {
		for _, i := range [...]int{s.first, s.second} {
			if i >= 0 && s.within(&candidates[i]) {
				return i, true
			}
		}
	}
	return p.two(candidates, s.usable), true
}

func (p *picker) Done(route.Feedback) {}

// view is what one pass over the candidates finds.
type view struct {
	usable        int
	cost          float64 // mean cost of the usable ones
	first, second int     // the first two in rendezvous order; -1 for none
}

func survey(prefix uint64, candidates []route.Candidate) view {
	v := view{first: -1, second: -1}
	var firstRank, secondRank uint64
	sum := 0.0
	for i := range candidates {
		c := &candidates[i]
		if !c.Usable() {
			continue
		}
		v.usable++
		sum += cost(c)
		rank := route.Mix(prefix, c.Hash)
		switch {
		case v.first < 0 || rank > firstRank:
			v.second, secondRank = v.first, firstRank
			v.first, firstRank = i, rank
		case v.second < 0 || rank > secondRank:
			v.second, secondRank = i, rank
		}
	}
	if v.usable > 0 {
		v.cost = sum / float64(v.usable)
	}
	return v
}

// within reports whether c may be picked for its prefix in spite of its load.
func (v *view) within(c *route.Candidate) bool {
	if c.Full() {
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
