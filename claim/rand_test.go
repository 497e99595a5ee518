package claim

import "math/rand/v2"

// seededIntN returns a seeded function that returns random numbers in [0, n).
func seededIntN(seed uint64) func(n int) int {
	r := rand.New(rand.NewPCG(seed, 1))
	return r.IntN
}
