package rebalance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/remap"
	"marjorampitch/store"
)

// Terms keep the order of their claims, and versions can be made of all of them.
func TestTerms(t *testing.T) {
	const lastOffset, lastEra = 1<<termOffsetBits - 1, remap.MaxTerm >> termOffsetBits
	previous := remap.None
	for _, p := range []store.Position{{}, {Offset: 1}, {Offset: lastOffset}, {Era: 1}, {Era: 1, Offset: 7}, {Era: 2}, {Era: lastEra}} {
		term, err := claimTerm(p)
		require.NoError(t, err)
		require.Greater(t, term, previous)
		require.LessOrEqual(t, term, int64(remap.MaxTerm))
		require.Equal(t, p, claimPosition(term))
		previous = term
	}
	for _, p := range []store.Position{store.NoPosition, {Offset: lastOffset + 1}, {Era: -1}, {Era: lastEra, Offset: lastOffset}, {Era: lastEra + 1}, {Era: 1 << 62}} {
		_, err := claimTerm(p)
		require.ErrorIs(t, err, errTermRange, "%+v", p)
	}
}
