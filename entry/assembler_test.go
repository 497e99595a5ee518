package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjorampitch/wire"

	"marjorampitch/internal/fuzztest"
)

// TestMain fixes the seed, so that every run of the tests is the same one;
// with FUZZ=1 the seed is fresh.
func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Fixed{Seed: 20261203, Checks: 100})
}

// event is the n-th event of an answer; answers of two variants differ from event 3 on.
func event(n, variant int) []byte {
	token := n
	if n >= 3 {
		token += 100 * variant
	}
	return fmt.Appendf(nil, "data: {\"id\":\"a\",\"created\":%d,\"choices\":[{\"index\":%d}]}\n\n", variant, token)
}

// single reports whether the events are the start of one variant's answer.
func single(events [][]byte) bool {
	for variant := range 2 {
		same := true
		for i, data := range events {
			want, _ := parseEvent(event(i, variant))
			got, _ := parseEvent(data)
			same = same && string(want.Choices) == string(got.Choices)
		}
		if same {
			return true
		}
	}
	return false
}

// TestFuzzAssembler lets attempts break off, resume and restart while their
// chunks arrive late, doubled and out of order, and a restarted run may give
// another answer. The oracle: what left is the start of one answer, and all of
// it when the assembler calls it whole.
func TestFuzzAssembler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 8).Draw(t, "events")
		a := newAssembler()
		runs := []int{0} // variant of each attempt
		var left [][]byte
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			next := uint32(len(runs) + 1)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				runs = append(runs, rapid.IntRange(0, 1).Draw(t, "variant"))
				a.restart(next)
			case 1:
				runs = append(runs, runs[len(runs)-1])
				a.resume(next)
			case 2:
				from := rapid.IntRange(1, len(runs)).Draw(t, "from")
				a.end(&wire.End{Attempt: uint32(from), Count: uint64(total)})
			default:
				if total == 0 {
					continue
				}
				from := rapid.IntRange(1, len(runs)).Draw(t, "from")
				seq := rapid.IntRange(0, total-1).Draw(t, "seq")
				data := event(seq, runs[from-1])
				left = append(left, a.add(&wire.Chunk{Attempt: uint32(from), Seq: uint64(seq), Data: data})...)
			}
			require.LessOrEqual(t, len(left), total)
			require.True(t, single(left))
			if a.whole() {
				require.Len(t, left, total)
			}
		}
	})
}

func TestAssemblerStopsAtADifferentAnswer(t *testing.T) {
	a := newAssembler()
	require.Len(t, a.add(&wire.Chunk{Attempt: 1, Seq: 0, Data: event(0, 0)}), 1)
	a.restart(2)
	require.Empty(t, a.add(&wire.Chunk{Attempt: 2, Seq: 0, Data: event(5, 0)}))
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
