// Package leastconn implements a routing policy that picks the backend server
// with the lowest estimated load; see route.Candidate.Load.
package leastconn

import (
	"math/rand/v2"

	"marjorampitch/route"
)

// Name is the policy's registered name.
const Name = "leastconn"

func init() { route.Register(Name, New) }

type picker struct{ source *rand.Rand }

// New returns a Picker that breaks ties at random from source.
func New(source *rand.Rand) route.Picker { return &picker{source: source} }

func (p *picker) Pick(_ *route.Request, candidates []route.Candidate) (int, bool) {
	best, ties := -1, 0
	for i := range candidates {
		c := &candidates[i]
		if !c.Usable() {
			continue
		}
		switch {
		case best < 0 || c.Load() < candidates[best].Load():
			best, ties = i, 1
		case c.Load() == candidates[best].Load():
			ties++
			if p.source.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return max(best, 0), best >= 0
}

func (p *picker) Done(route.Feedback) {}
