package rebalance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What a coordinator is told of each pass does not grow with the group, and
// every rank has its turn.
func TestRanksTakeTurns(t *testing.T) {
	for _, size := range []int{1, 2, 8, 12, 24, 64} {
		told := make([]int, size)
		const passes = 64
		for step := range int64(passes) {
			n := 0
			for rank := range size {
				if turn(rank, size, step) {
					n++
					told[rank]++
				}
			}
			require.LessOrEqual(t, n, tellEachPass, "size %d", size)
		}
		for rank, n := range told {
			require.GreaterOrEqual(t, n, passes*tellEachPass/(2*max(size, tellEachPass)), "rank %d of %d", rank, size)
		}
	}
}
