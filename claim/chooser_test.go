package claim

import "math/rand/v2"

// newChooser returns a seeded source of choices.
func newChooser(seed uint64) func(n int) int {
	r := rand.New(rand.NewPCG(seed, 1))
	return r.IntN
}
