// Package leastwork implements a routing policy that picks the backend server with the
// least work left of two drawn at random. Servers whose slots are all taken are
// passed over while others have one free, and servers whose memory the request would not
// fit are not picked at all.
//
// What front proxies know of each other's requests is some tens of milliseconds old. If
// all of them chose the server with the least work, they would send their next requests
// to the same one. A front proxy that knows of its own requests only picks the least of
// all, which is up to date.
package leastwork

import (
	"math/rand/v2"

	"marjorampitch/route"
)

// Name is the policy's registered name.
const Name = "leastwork"

// draws is the number of servers among which the one with the least work is picked.
const draws = 2

func init() { route.Register(Name, New) }

type picker struct {
	source *rand.Rand
	usable []int // indices; kept to save allocations
}

// New returns a Picker that draws from source.
func New(source *rand.Rand) route.Picker { return &picker{source: source} }

func (p *picker) Pick(req *route.Request, candidates []route.Candidate) (int, bool) {
	p.usable = p.usable[:0]
	free, shared := false, false
	for i := range candidates {
		c := &candidates[i]
		shared = shared || c.Load() > c.OwnInFlight
		if !c.Usable() || !c.Fits(req) || free && c.Full() {
			continue
		}
		if !free && !c.Full() { // forget those that are full
			free = true
			p.usable = p.usable[:0]
		}
		p.usable = append(p.usable, i)
	}
	if len(p.usable) == 0 {
		return 0, false
	}
	n := len(p.usable)
	if shared {
		n = min(n, draws)
	}
	return p.pick(candidates, n), true
}

// pick returns the candidate with the least work of n that are drawn from the usable
// ones.
func (p *picker) pick(candidates []route.Candidate, n int) int {
	best := p.draw(0)
	for k := 1; k < n; k++ {
		if i := p.draw(k); less(&candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

// draw moves a random one of the usable candidates from n on to position n and returns
// it.
func (p *picker) draw(n int) int {
	i := n + p.source.IntN(len(p.usable)-n)
	p.usable[n], p.usable[i] = p.usable[i], p.usable[n]
	return p.usable[n]
}

// less orders candidates by work, then by the number of requests.
func less(a, b *route.Candidate) bool {
	if a.Work != b.Work {
		return a.Work < b.Work
	}
	return a.Load() < b.Load()
}

func (p *picker) Done(route.Feedback) {}
