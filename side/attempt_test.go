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
