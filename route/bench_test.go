package route_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"marjorampitch/route"
)

func benchmarkPool(n int) []route.Candidate {
	candidates := make([]route.Candidate, n)
	for i := range candidates {
		name := fmt.Sprintf("engine-%d", i)
		candidates[i] = route.Candidate{
			Name: name, Hash: route.HashName(name), Limit: 16, Running: i % 12, StepMillis: 12, Leaving: i%10 == 9,
		}
	}
	return candidates
}

// BenchmarkPick measures the cost of a pick by the number of candidates. Subsets
// keep that number at a few tens for a front proxy, whatever the fleet size.
func BenchmarkPick(b *testing.B) {
	for _, name := range route.Names() {
		for _, n := range []int{10, 32, 100, 1000, 3100} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				picker, err := route.Build(name, 1)
				if err != nil {
					b.Fatal(err)
				}
				candidates := benchmarkPool(n)
				req := route.Request{Session: "s"}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					req.Prefix = route.Mix(uint64(i%5000), 1)
					picker.Pick(&req, candidates)
				}
			})
		}
	}
}

// BenchmarkSubset measures the computation of one front proxy's subset of one pool.
func BenchmarkSubset(b *testing.B) {
	entries, sides := members("entry", 440), members("side", poolSides)
	b.ReportAllocs()
	for b.Loop() {
		route.Subset("entry-7", entries, sides, subsetSize)
	}
}

// TestFuzzPick checks for every policy that it picks a usable candidate if there
// is one and nothing otherwise, and that equal seeds give equal picks.
func TestFuzzPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(route.Names()).Draw(t, "policy")
		seed := rapid.Uint64().Draw(t, "seed")
		a, _ := route.Build(name, seed)
		b, _ := route.Build(name, seed)
		for range rapid.IntRange(1, 30).Draw(t, "picks") {
			candidates := rapid.SliceOfN(rapid.Custom(drawCandidate), 0, 8).Draw(t, "candidates")
			req := route.Request{Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix")}
			i, ok := a.Pick(&req, candidates)
			j, okAgain := b.Pick(&req, candidates)
			if i != j || ok != okAgain {
				t.Fatalf("%s: picked %d and %d with the same seed", name, i, j)
			}
			usable := false
			for k := range candidates {
				usable = usable || candidates[k].Usable()
			}
			if ok != usable || ok && !candidates[i].Usable() {
				t.Fatalf("%s: picked %d, ok %v, from %+v", name, i, ok, candidates)
			}
		}
	})
}

func drawCandidate(t *rapid.T) route.Candidate {
	return route.Candidate{
		Hash:           rapid.Uint64().Draw(t, "hash"),
		Leaving:        rapid.Bool().Draw(t, "leaving"),
		Excluded:       rapid.Bool().Draw(t, "excluded"),
		Cold:           rapid.Bool().Draw(t, "cold"),
		Limit:          rapid.IntRange(0, 4).Draw(t, "limit"),
		Running:        rapid.IntRange(0, 9).Draw(t, "running"),
		Waiting:        rapid.IntRange(0, 9).Draw(t, "waiting"),
		OwnInFlight:    rapid.IntRange(0, 9).Draw(t, "own"),
		OwnSinceReport: rapid.IntRange(-9, 9).Draw(t, "since"),
		StepMillis:     rapid.Float64Range(0, 100).Draw(t, "step"),
	}
}
