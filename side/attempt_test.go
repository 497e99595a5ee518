package side

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/wire"
)

// The response of a non-idempotent call is stored under its key even if no
// subscriber receives it.
func TestClaimedResponseIsStoredWithoutSubscriber(t *testing.T) {
	a := newAttempt(&wire.Request{Key: "k"}, nil)
	a.setHead(201, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	block := make([]byte, maxChunkBytes)
	for range maxStoredBody / maxChunkBytes {
		require.NoError(t, a.addChunk(ctx, block))
	}
	require.Len(t, a.completeResponse().Body, maxStoredBody)
	require.NoError(t, a.addChunk(ctx, block))
	require.Zero(t, a.completeResponse().Status, "larger than maxStoredBody")
}

// orphaned reports whether the attempt has no subscriber.
func (a *attempt) orphaned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sub == nil
}

// What all attempts may hold at once fits the share of the memory that is theirs, as long as
// each has room for a few chunks.
func TestLimitsOfAttemptsFitMemory(t *testing.T) {
	for _, memory := range []int64{16 << 20, 96 << 20, 152 << 20, 4 << 30} {
		for _, running := range []int{1, 12, 32, 100, maxAttempts} {
			l := limitsFor(memory, running)
			require.GreaterOrEqual(t, min(l.kept, l.event), minKeptBytes)
			if l.kept > minKeptBytes {
				require.LessOrEqual(t, running*(l.kept+l.event), int(responseMemoryShare*float64(memory)), "%d of %d bytes", running, memory)
			}
		}
	}
	require.Equal(t, responseLimits{maxKeptBytes, maxEventBytes}, limitsFor(0, 100))
	require.Equal(t, responseLimits{maxKeptBytes, maxEventBytes}, limitsFor(152<<20, 12))
}
