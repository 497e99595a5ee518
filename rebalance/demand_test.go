package rebalance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// At most reportersPerPass ranks report on a pass, regardless of the size of the
// group, and every rank reports regularly.
func TestRanksTakeTurns(t *testing.T) {
	for _, size := range []int{1, 2, 8, 12, 24, 64} {
		reports := make([]int, size)
		const passes = 64
		for step := range int64(passes) {
			n := 0
			for rank := range size {
				if reportsPass(rank, size, step) {
					n++
					reports[rank]++
				}
			}
			require.LessOrEqual(t, n, reportersPerPass, "size %d", size)
		}
		for rank, n := range reports {
			require.GreaterOrEqual(t, n, passes*reportersPerPass/(2*max(size, reportersPerPass)), "rank %d of %d", rank, size)
		}
	}
}
