package entry

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjorampitch/wire"
)

// TestMain fixes the seed, so that every run of the tests is the same one;
// with FUZZ=1 the seed is fresh.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUZZ") == "" {
		flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

// event is the n-th event of the answer that every run gives.
func event(n int) []byte {
	return fmt.Appendf(nil, "data: {\"id\":\"a\",\"created\":%d,\"choices\":[{\"index\":%d}]}\n\n", n, n)
}

// TestFuzzAssembler lets attempts break off, resume and restart while their
// chunks arrive late, doubled and out of order. The oracle is the list of
// events: what left is always a prefix of it, and whole exactly when it is all.
func TestFuzzAssembler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 8).Draw(t, "events")
		a := newAssembler()
		attempts := []uint32{1}
		var left [][]byte
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			current := attempts[len(attempts)-1]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				attempts = append(attempts, current+1)
				a.restart(current + 1)
			case 1:
				attempts = append(attempts, current+1)
				a.resume(current + 1)
			case 2:
				from := rapid.SampledFrom(attempts).Draw(t, "from")
				a.end(&wire.End{Attempt: from, Count: uint64(total)})
			default:
				if total == 0 {
					continue
				}
				from := rapid.SampledFrom(attempts).Draw(t, "from")
				seq := rapid.IntRange(0, total-1).Draw(t, "seq")
				left = append(left, a.add(&wire.Chunk{Attempt: from, Seq: uint64(seq), Data: event(seq)})...)
			}
			require.LessOrEqual(t, len(left), total)
			for i, data := range left {
				require.Equal(t, string(event(i)), string(data))
			}
			if a.whole() {
				require.Len(t, left, total)
			}
		}
	})
}

func TestAssemblerStopsAtADifferentAnswer(t *testing.T) {
	a := newAssembler()
	require.Len(t, a.add(&wire.Chunk{Attempt: 1, Seq: 0, Data: event(0)}), 1)
	a.restart(2)
	require.Empty(t, a.add(&wire.Chunk{Attempt: 2, Seq: 0, Data: event(5)}))
	a.end(&wire.End{Attempt: 2, Count: 1})
	require.True(t, a.diverged)
	require.False(t, a.whole())
}

func TestAssemblerIgnoresTimesOfCreation(t *testing.T) {
	x := []byte("data: {\"id\":\"a\",\"created\":1,\"choices\":[1]}\n\n")
	y := []byte("data: {\"id\":\"a\",\"created\":2,\"choices\":[1]}\n\n")
	z := []byte("data: {\"id\":\"b\",\"created\":2,\"choices\":[1]}\n\n")
	require.True(t, sameEvent(x, y))
	require.False(t, sameEvent(x, z))
}

func TestAssemblerForgetsLongAnswers(t *testing.T) {
	a := newAssembler()
	a.add(&wire.Chunk{Attempt: 1, Seq: 0, Data: make([]byte, maxDelivered+1)})
	require.True(t, a.started())
	require.False(t, a.restartable())
}
