package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// openConns opens connections 1 to n, one a millisecond.
func openConns(t *testing.T, b *ConnBudget, n uint64) {
	for id := uint64(1); id <= n; id++ {
		ok, yielded := b.Open(id, time.Duration(id)*time.Millisecond)
		require.True(t, ok)
		require.Empty(t, yielded)
	}
}

// Connections yield to a new one in the stated order.
func TestConnsYieldInOrder(t *testing.T) {
	const now = 10 * time.Second
	b := NewConnBudget(ConnLimits{Conns: 7, Bytes: 1 << 20, UnreadPerConn: 1 << 20})
	openConns(t, b, 7)
	ok, _ := b.Hold(1, 10, 0) // does not read its answer
	require.True(t, ok)
	b.SetStage(2, StageBody, 0) // its body does not arrive
	b.SetStage(3, StageDone, 0) // answered, its body has not ended
	b.SetStage(4, StageIdle, 0) // idle after an answer of a server
	b.Served(4)
	b.SetStage(5, StageIdle, 0)             // idle after a refusal
	b.SetStage(6, StageHead, 2*time.Second) // the head of its request is not whole
	b.SetStage(7, StageRequest, 0)          // is served
	for i, want := range []uint64{6, 5, 3, 1, 2, 4} {
		id := uint64(100 + i)
		ok, yielded := b.Open(id, now)
		require.True(t, ok)
		require.Equal(t, []uint64{want}, yielded)
		b.SetStage(id, StageRequest, now)
	}
	ok, yielded := b.Open(200, now)
	require.False(t, ok, "all that are left are served")
	require.Empty(t, yielded)
	require.False(t, b.SetStage(6, StageRequest, now), "a connection that has yielded is served no more")
	require.Equal(t, 7, b.open)
}

// Neither a body nor an answer that makes progress yields, and what is sent is not cut off.
func TestConnsThatMakeProgressDoNotYield(t *testing.T) {
	const now = 10 * time.Second
	b := NewConnBudget(ConnLimits{Conns: 3, Bytes: 1 << 20, UnreadPerConn: 1 << 20})
	openConns(t, b, 3)
	b.SetStage(1, StageBody, 0)
	ok, _ := b.SetRequest(1, 16<<10, 0)
	require.True(t, ok)
	require.True(t, b.Received(1, 2<<10, now-Stall+1))
	ok, _ = b.Hold(2, 10, 0)
	require.True(t, ok)
	b.Progress(2, 1, now-Stall+1)
	b.SetStage(3, StageDone, now-sendTime+1)
	ok, yielded := b.Open(4, now)
	require.False(t, ok)
	require.Empty(t, yielded)
}

// A body of which a byte arrives now and then makes no progress.
func TestTrickledBodyYields(t *testing.T) {
	b := NewConnBudget(ConnLimits{Conns: 1, Bytes: 1 << 20, UnreadPerConn: 1 << 20})
	openConns(t, b, 1)
	b.SetStage(1, StageBody, 0)
	ok, _ := b.SetRequest(1, 64<<10, 0)
	require.True(t, ok)
	for at := time.Duration(0); at < Stall; at += 100 * time.Millisecond {
		b.Received(1, 1, at)
	}
	ok, yielded := b.Open(2, Stall)
	require.True(t, ok)
	require.Equal(t, []uint64{1}, yielded)
}

// Of those that have been without progress for about as long, the one that holds most yields.
func TestMostHeldYieldsFirst(t *testing.T) {
	b := NewConnBudget(ConnLimits{Bytes: 100, UnreadPerConn: 100})
	openConns(t, b, 3)
	for id, n := range map[uint64]int64{1: 20, 2: 50, 3: 30} {
		ok, _ := b.SetRequest(id, n, 0)
		require.True(t, ok)
	}
	ok, yielded := b.Open(4, 0)
	require.True(t, ok)
	require.Empty(t, yielded)
	ok, yielded = b.SetRequest(4, 40, 0)
	require.True(t, ok)
	require.Equal(t, []uint64{2}, yielded)
}

// However much large requests want, an ordinary one finds room, and is served beside them.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	const bytes = 10 << 20
	b := NewConnBudget(ConnLimits{Bytes: bytes, UnreadPerConn: bytes})
	refused := false
	for id := range uint64(100) {
		ok, _ := b.Open(id, 0)
		require.True(t, ok)
		b.SetStage(id, StageRequest, 0)
		if ok, _ := b.SetRequest(id, 1<<20, 0); !ok {
			refused = true
			b.Drop(id)
		}
	}
	require.True(t, refused)
	ok, _ := b.Open(1000, 0)
	require.True(t, ok)
	ok, yielded := b.SetRequest(1000, largeBytes, 0)
	require.True(t, ok)
	require.Empty(t, yielded)
}

// A connection takes memory by itself, so that their number is bounded also without a limit.
func TestOpenConnsTakeMemory(t *testing.T) {
	b := NewConnBudget(ConnLimits{Bytes: 100, BytesPerConn: 30, UnreadPerConn: 100})
	openConns(t, b, 3)
	ok, yielded := b.Open(4, time.Second)
	require.True(t, ok)
	require.Equal(t, []uint64{1}, yielded)
}

// crowdOf opens n connections and brings each into the state that set makes.
func crowdOf(t *testing.T, b *ConnBudget, first, n uint64, at time.Duration, set func(id uint64)) {
	for id := first; id < first+n; id++ {
		ok, yielded := b.Open(id, at)
		require.True(t, ok)
		require.Empty(t, yielded)
		set(id)
	}
}

// A crowd of one kind yields to its own kind and to clients of the others, which do not
// yield to it: new connections, slow bodies, and idle ones of clients that have been served.
func TestCrowdYieldsBeforeOthers(t *testing.T) {
	const now, limit = 10 * time.Second, 100
	stages := map[string]func(b *ConnBudget, id uint64, at time.Duration){
		"new":  func(*ConnBudget, uint64, time.Duration) {},
		"body": func(b *ConnBudget, id uint64, at time.Duration) { b.SetStage(id, StageBody, at-Stall) },
		"idle": func(b *ConnBudget, id uint64, at time.Duration) { b.Served(id); b.SetStage(id, StageIdle, at-Stall) },
	}
	for kind, set := range stages {
		t.Run(kind, func(t *testing.T) {
			b := NewConnBudget(ConnLimits{Conns: limit, Bytes: 1 << 30, UnreadPerConn: 1 << 20})
			sound := uint64(0)
			for other, setOther := range stages {
				if other != kind {
					crowdOf(t, b, sound, 3, now, func(id uint64) { setOther(b, id, now) })
					sound += 3
				}
			}
			crowdOf(t, b, 1000, limit-sound, now, func(id uint64) { set(b, id, now) })
			for id := range uint64(limit / 2) {
				ok, yielded := b.Open(2000+id, now)
				require.True(t, ok)
				require.Len(t, yielded, 1)
				require.GreaterOrEqual(t, yielded[0], uint64(1000), "a client of another kind yields")
				set(b, 2000+id, now)
			}
		})
	}
}

// Under a random load no limit is exceeded, what yields is gone, and everything returns.
func TestConnBudgetUnderRandomCrowd(t *testing.T) {
	limits := ConnLimits{Conns: 50, Bytes: 1 << 20, BytesPerConn: 4 << 10, UnreadPerConn: 100 << 10, Unread: 500 << 10}
	rng := rand.New(rand.NewPCG(3, 4))
	b := NewConnBudget(limits)
	open := make(map[uint64]bool)
	yields, refusals := 0, 0
	end := func(list []uint64) {
		for _, id := range list {
			require.True(t, open[id], "connection %d yielded twice, or was never open", id)
			delete(open, id)
			yields++
		}
	}
	pick := func() uint64 {
		n := rng.IntN(len(open))
		for id := uint64(0); ; id++ {
			if open[id] {
				if n--; n < 0 {
					return id
				}
			}
		}
	}
	for step := range 5000 {
		now, id := time.Duration(step)*20*time.Millisecond, uint64(step)
		if ok, yielded := b.Open(id, now); ok {
			end(yielded)
			open[id] = true
		} else {
			require.Empty(t, yielded)
			refusals++
		}
		for range 3 {
			if len(open) == 0 {
				break
			}
			id, yielded := pick(), []uint64(nil)
			switch rng.IntN(8) {
			case 0, 1:
				_, yielded = b.SetRequest(id, rng.Int64N(200<<10), now)
			case 2:
				_, yielded = b.Hold(id, rng.Int64N(50<<10), now)
			case 3:
				b.Progress(id, rng.Int64N(50<<10), now)
			case 4:
				b.Received(id, rng.Int64N(10<<10), now)
			case 5:
				b.Drop(id)
				delete(open, id)
			default:
				require.True(t, b.SetStage(id, ConnStage(rng.IntN(int(StageDone)+1)), now))
			}
			end(yielded)
		}
		held, _ := b.Used()
		require.LessOrEqual(t, held+int64(b.open)*limits.BytesPerConn, limits.Bytes)
		require.LessOrEqual(t, b.open, limits.Conns)
		require.Equal(t, len(open), b.open)
	}
	require.Positive(t, yields)
	require.Positive(t, refusals)
	for id := range open {
		b.Drop(id)
	}
	held, unread := b.Used()
	require.Zero(t, held)
	require.Zero(t, unread)
	require.Zero(t, b.large)
	require.Zero(t, b.unread)
	require.Zero(t, b.open)
}
