// Package random implements a routing policy that picks a usable backend server
// uniformly at random.
package random

import (
	"math/rand/v2"

	"marjorampitch/route"
)

// Name is the policy's registered name.
const Name = "random"

func init() { route.Register(Name, New) }

type picker struct{ source *rand.Rand }

// New returns a Picker that takes randomness from source.
func New(source *rand.Rand) route.Picker { return &picker{source: source} }

func (p *picker) Pick(_ *route.Request, candidates []route.Candidate) (int, bool) {
	chosen, seen := 0, 0
	for i := range candidates {
		if !candidates[i].Usable() {
			continue
		}
		seen++
		if p.source.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen, seen > 0
}

func (p *picker) Done(route.Feedback) {}
