package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConnBudgetBounds(t *testing.T) {
	b := NewConnBudget(ConnLimits{Bytes: 100, UnreadPerConn: 40})
	for id := range uint64(3) {
		ok, evicted := b.Hold(id, 30, 0)
		require.True(t, ok)
		require.Empty(t, evicted)
	}
	ok, _ := b.Hold(0, 11, 0)
	require.False(t, ok, "more than one holder may have")
	ok, _ = b.Hold(0, 10, 0)
	require.True(t, ok)
	ok, evicted := b.Reserve(1, Stall-1)
	require.False(t, ok, "nothing is left")
	require.Empty(t, evicted, "and no holder is stalled")
	b.Progress(1, 30, 0)
	ok, _ = b.Reserve(30, 0)
	require.True(t, ok)
	b.Release(30)
	b.Drop(0)
	used, holders := b.Used()
	require.EqualValues(t, 30, used)
	require.Equal(t, 1, holders)
}

// Holders that make progress stay, the others go in the order of their last progress.
func TestConnBudgetEvictsLongestStalled(t *testing.T) {
	b := NewConnBudget(ConnLimits{Bytes: 100, UnreadPerConn: 100})
	for id, at := range []time.Duration{3: 30, 2: 20, 1: 10, 0: 0} {
		ok, _ := b.Hold(uint64(id), 25, at)
		require.True(t, ok)
	}
	now := Stall + 25
	b.Progress(0, 5, now-1) // slow but steady
	ok, evicted := b.Hold(9, 20, now)
	require.True(t, ok)
	require.Equal(t, []uint64{1}, evicted)
	ok, evicted = b.Hold(9, 80, now)
	require.False(t, ok, "not even without the stalled holders")
	require.Empty(t, evicted)
	ok, evicted = b.Hold(2, 30, now)
	require.False(t, ok, "the holder itself is the one stalled longest")
	require.Equal(t, []uint64{2}, evicted)
}

// A random load never exceeds the bounds, and all bytes return.
func TestConnBudgetUnderRandomLoad(t *testing.T) {
	const limit, perHolder, holders = 1000, 200, 20
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewConnBudget(ConnLimits{Bytes: limit, UnreadPerConn: perHolder})
	held := make(map[uint64]int64)
	evictions := 0
	for step := range 20_000 {
		now, id := time.Duration(step)*10*time.Millisecond, rng.Uint64N(holders)
		if id%5 != 0 && rng.IntN(2) == 0 && held[id] > 0 { // the others never read
			n := 1 + rng.Int64N(held[id])
			b.Progress(id, n, now)
			held[id] -= n
			continue
		}
		n := 1 + rng.Int64N(100)
		ok, evicted := b.Hold(id, n, now)
		for _, x := range evicted {
			require.Positive(t, held[x])
			held[x] = 0
			evictions++
		}
		if ok {
			held[id] += n
		}
		var sum int64
		for _, h := range held {
			require.LessOrEqual(t, h, int64(perHolder))
			sum += h
		}
		used, _ := b.Used()
		require.Equal(t, sum, used)
		require.LessOrEqual(t, used, int64(limit))
	}
	require.Positive(t, evictions)
	for id := range held {
		b.Drop(id)
	}
	used, n := b.Used()
	require.Zero(t, used)
	require.Zero(t, n)
}

// Holders that make progress are never evicted; they leave room for reservations.
func TestConnBudgetHoldersLeaveRoomForReservations(t *testing.T) {
	b := NewConnBudget(ConnLimits{Bytes: 100, UnreadPerConn: 30, Unread: 60})
	for id := range uint64(2) {
		ok, _ := b.Hold(id, 30, 0)
		require.True(t, ok)
	}
	ok, evicted := b.Hold(2, 1, 0)
	require.False(t, ok)
	require.Empty(t, evicted)
	ok, _ = b.Reserve(40, 0)
	require.True(t, ok)
	ok, evicted = b.Hold(2, 1, Stall)
	require.True(t, ok, "a stalled holder gives way")
	require.Equal(t, []uint64{0}, evicted)
}

// The buffer of an evicted holder may write, and hold, a little more before it is dropped.
func TestConnBudgetEvictedHolderReturnsNoBytesTwice(t *testing.T) {
	b := NewConnBudget(ConnLimits{Bytes: 100, UnreadPerConn: 100})
	ok, _ := b.Hold(1, 80, 0)
	require.True(t, ok)
	ok, evicted := b.Reserve(50, Stall)
	require.True(t, ok)
	require.Equal(t, []uint64{1}, evicted)
	ok, _ = b.Hold(1, 10, Stall)
	require.True(t, ok)
	b.Progress(1, 80, Stall)
	used, _ := b.Used()
	require.EqualValues(t, 50, used)
}
