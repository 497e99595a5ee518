package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjorampitch/wire"

	"marjorampitch/internal/fuzztest"
)

// TestMain fixes the seed of the randomized tests, so that runs are reproducible.
// With FUZZ=1 the seed is random.
func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Defaults{Seed: 20261203, Checks: 100})
}

// event returns the n-th event of an answer. The two variants of an answer differ from event 3 on.
func event(n, variant int) []byte {
	token := n
	if n >= 3 {
		token += 100 * variant
	}
	return fmt.Appendf(nil, "data: {\"id\":\"a\",\"created\":%d,\"choices\":[{\"index\":%d}]}\n\n", variant, token)
}

// oneAnswer reports whether the events are a prefix of a single variant of the answer.
func oneAnswer(events [][]byte) bool {
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

// Attempts fail, resume and restart while their chunks arrive late, duplicated and
// out of order, and a restarted attempt may produce a different answer. The
// delivered chunks must be a prefix of a single answer, and the whole of it if the
// assembler reports it as complete.
func TestFuzzAssembler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 8).Draw(t, "events")
		a := newAssembler()
		variants := []int{0} // by attempt
		var delivered [][]byte
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			next := uint32(len(variants) + 1)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				variants = append(variants, rapid.IntRange(0, 1).Draw(t, "variant"))
				a.restart(next)
			case 1:
				variants = append(variants, variants[len(variants)-1])
				a.resume(next)
			case 2:
				from := rapid.IntRange(1, len(variants)).Draw(t, "from")
				a.end(&wire.End{Attempt: uint32(from), Count: uint64(total)})
			default:
				if total == 0 {
					continue
				}
				from := rapid.IntRange(1, len(variants)).Draw(t, "from")
				seq := rapid.IntRange(0, total-1).Draw(t, "seq")
				data := event(seq, variants[from-1])
				delivered = append(delivered, a.add(&wire.Chunk{Attempt: uint32(from), Seq: uint64(seq), Data: data})...)
			}
			require.LessOrEqual(t, len(delivered), total)
			require.True(t, oneAnswer(delivered))
			if a.complete() {
				require.Len(t, delivered, total)
			}
		}
	})
}

func TestAssemblerRejectsDifferentAnswer(t *testing.T) {
	a := newAssembler()
	require.Len(t, a.add(&wire.Chunk{Attempt: 1, Seq: 0, Data: event(0, 0)}), 1)
	a.restart(2)
	require.Empty(t, a.add(&wire.Chunk{Attempt: 2, Seq: 0, Data: event(5, 0)}))
	a.end(&wire.End{Attempt: 2, Count: 1})
	require.True(t, a.diverged)
	require.False(t, a.complete())
}

func TestAssemblerIgnoresCreationTime(t *testing.T) {
	x := []byte("data: {\"id\":\"a\",\"created\":1,\"choices\":[1]}\n\n")
	y := []byte("data: {\"id\":\"a\",\"created\":2,\"choices\":[1]}\n\n")
	z := []byte("data: {\"id\":\"b\",\"created\":2,\"choices\":[1]}\n\n")
	require.True(t, sameEvent(x, y))
	require.False(t, sameEvent(x, z))
}

func TestAssemblerDropsHistoryOfLongAnswers(t *testing.T) {
	a := newAssembler()
	a.add(&wire.Chunk{Attempt: 1, Seq: 0, Data: make([]byte, maxRetainedBytes+1)})
	require.True(t, a.started())
	require.False(t, a.restartable())
}
