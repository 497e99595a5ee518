// Package affinity sends every request of a prefix to the same backend server,
// whatever its load. The server is chosen by rendezvous hashing, so that a
// server that leaves moves only its own prefixes.
package affinity

import (
	"math/rand/v2"

	"marjorampitch/route"
)

// Name is the policy's registered name.
const Name = "affinity"

func init() { route.Register(Name, New) }

type picker struct{ source *rand.Rand }

// New returns a Picker; requests without a prefix are drawn from the source.
func New(source *rand.Rand) route.Picker { return &picker{source: source} }

func (p *picker) Pick(req *route.Request, candidates []route.Candidate) (int, bool) {
	prefix := req.Prefix
	if prefix == 0 {
		prefix = p.source.Uint64()
	}
	best, bestRank := -1, uint64(0)
	for i := range candidates {
		if !candidates[i].Usable() {
			continue
		}
		rank := route.Mix(prefix, candidates[i].Hash)
		if best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return max(best, 0), best >= 0
}

func (p *picker) Done(route.Feedback) {}
