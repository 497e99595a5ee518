// Package leastconn implements a routing policy that picks the backend server
// with the lowest estimated load; see route.Candidate.Load. The load that the request
// makes of a server that works more slowly than usual counts times its slowness.
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
		case best < 0 || load(c) < load(&candidates[best]):
			best, ties = i, 1
		case load(c) == load(&candidates[best]):
			ties++
			if p.source.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return max(best, 0), best >= 0
}

// load returns the candidate's load with the request, at its speed.
func load(c *route.Candidate) float64 { return float64(c.Load()+1) * c.Slow() }

func (p *picker) Done(route.Feedback) {}
