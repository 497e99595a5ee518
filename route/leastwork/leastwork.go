// Package leastwork implements a routing policy that picks the backend server with the
// least work left of two drawn at random. Servers whose slots are all taken are
// passed over while others have one free, and servers whose memory the request would not
// fit are not picked at all.
//
// What front proxies know of each other's requests is some tens of milliseconds old. If
// all of them chose the server with the least work, they would send their next requests
// to the same one. A front proxy that knows of its own requests only picks the least of
// all, which is up to date.
//
// Servers that work more slowly than usual are passed over, too, while the others have
// enough slots free: the ranks of a group wait for the slowest in each pass. When the
// others are nearly full, the work of a server counts times its slowness.
package leastwork

import (
	"math/rand/v2"
	"time"

	"marjorampitch/route"
)

// Name is the policy's registered name.
const Name = "leastwork"

const (
	// draws is the number of servers among which the one with the least work is picked.
	draws = 2
	// slowRatio is the slowness, relative to the fastest of the servers that could be
	// picked, from which a server is passed over while the others have slots free.
	slowRatio = 1.2
	// minFreeShare is the part of all slots that must be free at the other servers for
	// slow ones to be passed over. With fewer, front proxies that do not know of each
	// other's newest requests would fill the same servers.
	minFreeShare = 1.0 / 16
)

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
	if free {
		p.passOverSlow(candidates)
	}
	n := len(p.usable)
	if shared {
		n = min(n, draws)
	}
	return p.pick(req, candidates, n), true
}

// passOverSlow drops the slow ones of the usable candidates, which all have free slots,
// if the others have enough of them.
func (p *picker) passOverSlow(candidates []route.Candidate) {
	fastest, slowest := candidates[p.usable[0]].Slow(), 1.0
	for _, i := range p.usable {
		fastest, slowest = min(fastest, candidates[i].Slow()), max(slowest, candidates[i].Slow())
	}
	limit := fastest * slowRatio
	if slowest < limit {
		return
	}
	slots, left := 0, 0
	for i := range candidates {
		if candidates[i].Usable() {
			slots += max(candidates[i].Limit, 1)
		}
	}
	for _, i := range p.usable {
		if c := &candidates[i]; c.Slow() < limit {
			left += max(c.Limit-c.Load(), 1)
		}
	}
	if float64(left) < minFreeShare*float64(slots) {
		return
	}
	kept := p.usable[:0]
	for _, i := range p.usable {
		if candidates[i].Slow() < limit {
			kept = append(kept, i)
		}
	}
	p.usable = kept
}

// pick returns the candidate with the least work of n that are drawn from the usable
// ones.
func (p *picker) pick(req *route.Request, candidates []route.Candidate, n int) int {
	best := p.draw(0)
	for k := 1; k < n; k++ {
		if i := p.draw(k); less(req, &candidates[i], &candidates[best]) {
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

// less orders candidates by the time that they need for their work and the request, then
// by the number of requests.
func less(req *route.Request, a, b *route.Candidate) bool {
	if x, y := timeFor(req, a), timeFor(req, b); x != y {
		return x < y
	}
	return a.Load() < b.Load()
}

// timeFor returns how long a candidate needs for its work and the request.
func timeFor(req *route.Request, c *route.Candidate) time.Duration {
	if c.Slow() == 1 {
		return c.Work + req.Work
	}
	return time.Duration(float64(c.Work+req.Work) * c.Slow())
}

func (p *picker) Done(route.Feedback) {}
