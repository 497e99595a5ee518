// Package roundrobin implements a routing policy that picks the usable backend
// servers in turn.
package roundrobin

import (
	"math/rand/v2"

	"marjorampitch/route"
)

// Name is the policy's registered name.
const Name = "roundrobin"

func init() { route.Register(Name, New) }

type picker struct{ next int }

// New returns a Picker that starts at a random position from source.
func New(source *rand.Rand) route.Picker {
	return &picker{next: source.IntN(1 << 16)}
}

func (p *picker) Pick(_ *route.Request, candidates []route.Candidate) (int, bool) {
	n := len(candidates)
	for range n {
		p.next++
		i := p.next % n
		if candidates[i].Usable() {
			return i, true
		}
	}
	return 0, false
}

func (p *picker) Done(route.Feedback) {}
