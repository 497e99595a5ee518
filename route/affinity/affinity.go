// Package affinity implements a routing policy that sends all requests with the
// same prefix to the same backend server, regardless of load. The server is
// chosen by rendezvous hashing: when a server is removed, only its own prefixes
// move.
package affinity

import (
	"math/rand/v2"

	"marjorampitch/route"
)

// Name is the policy's registered name.
const Name = "affinity"

func init() { route.Register(Name, New) }

type picker struct{ source *rand.Rand }

// New returns a Picker. For requests without a prefix it picks at random from source.
func New(source *rand.Rand) route.Picker { return &picker{source: source} }

func (p *picker) Pick(req *route.Request, candidates []route.Candidate) (int, bool) {
	prefix := req.Prefix
	if prefix == 0 {
		prefix = p.source.Uint64()
	}
	best, bestScore := -1, uint64(0)
	for i := range candidates {
		if !candidates[i].Usable() {
			continue
		}
		score := route.Mix(prefix, candidates[i].Hash)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return max(best, 0), best >= 0
}

func (p *picker) Done(route.Feedback) {}
