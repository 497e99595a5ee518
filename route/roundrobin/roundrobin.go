// Package roundrobin picks usable backend servers in turn.
package roundrobin

import (
	"math/rand/v2"

	"marjorampitch/route"
)

// Name is the policy's registered name.
const Name = "roundrobin"

func init() { route.Register(Name, New) }

type picker struct{ next int }

// New returns a Picker; the first one picked is drawn from the source.
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
