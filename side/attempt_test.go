package side

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/wire"
)

// The answer of a call that may not repeat is kept for its key, also when its
// receiver is gone.
func TestClaimedAnswerNeedsNoReceiver(t *testing.T) {
	a := newAttempt(&wire.Request{Key: "k"}, nil)
	a.setHead(201, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	block := make([]byte, maxChunkBytes)
	for range maxClaimedBody / maxChunkBytes {
		require.NoError(t, a.add(ctx, block))
	}
	require.Len(t, a.whole().Body, maxClaimedBody)
	require.NoError(t, a.add(ctx, block))
	require.Zero(t, a.whole().Status, "too large to be kept")
}
