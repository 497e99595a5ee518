package fleet

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/store"
)

// restoredSource is a source whose store has come back from an older copy, which has no
// records, at a given time.
type restoredSource struct {
	start    time.Time
	restored time.Duration
	newest   []Change // before that
}

func (s *restoredSource) era() int64 {
	if time.Since(s.start) < s.restored {
		return 0
	}
	return 1
}

func (s *restoredSource) Snapshot(context.Context) (Batch, error) {
	if s.era() > 0 {
		return Batch{Next: store.Position{Era: 1}}, nil
	}
	return Batch{Next: store.Position{Offset: 9}, Changes: s.newest}, nil
}

func (s *restoredSource) Read(_ context.Context, from store.Position, wait time.Duration) (Batch, error) {
	time.Sleep(wait)
	if from.Era != s.era() {
		return Batch{}, store.ErrRestored
	}
	return Batch{Next: from, Complete: true}, nil
}

// The proof of before counts until what a restored store has lost has been written again;
// data centres that were disabled, and servers, stay as they were for a while.
func TestRestoredStoreProvesNothingAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoredSource{start: time.Now(), restored: 2 * time.Second, newest: []Change{&CentreDisabled{"z"}}}
		clock := func() time.Duration { return time.Hour + time.Since(s.start) }
		cache := NewCache(0)
		f := NewFollower(s, cache, FollowOptions{Operator: true, Wait: 400 * time.Millisecond, Timeout: time.Second, Clock: clock}, log.New(io.Discard))
		ctx, stop := context.WithCancel(t.Context())
		go f.Run(ctx)
		age := func() time.Duration {
			at, ok := f.FreshnessProof()
			require.True(t, ok)
			return clock() - at
		}
		time.Sleep(1900 * time.Millisecond)
		require.LessOrEqual(t, age(), 800*time.Millisecond)
		time.Sleep(rewriteTime)
		require.GreaterOrEqual(t, age(), rewriteTime-100*time.Millisecond, "reads of the copy prove nothing")
		require.True(t, cache.View().DisabledCentres["z"])
		time.Sleep(200 * time.Millisecond)
		require.Less(t, age(), 200*time.Millisecond, "the first read that counts does not wait for records")
		require.True(t, cache.View().DisabledCentres["z"], "the operator may not have disabled it again yet")
		time.Sleep(disabledTTL)
		require.False(t, cache.View().DisabledCentres["z"])
		stop()
		time.Sleep(time.Second) // until the last read has ended
	})
}

// After a return the operator's newest word on a data centre counts, whichever it is.
func TestCentresAfterReturn(t *testing.T) {
	cache := NewCache(0)
	cache.Apply([]Change{&CentreDisabled{"a"}, &CentreDisabled{"b"}, &CentreDisabled{"c"}}, 1)
	cache.Reset(true, true, []Change{&CentreDisabled{"a"}}, 2)
	require.Equal(t, map[string]bool{"a": true, "b": true, "c": true}, cache.View().DisabledCentres)
	cache.Apply([]Change{&CentreEnabled{"b"}, &CentreDisabled{"c"}}, 3)
	require.Equal(t, map[string]bool{"a": true, "c": true}, cache.View().DisabledCentres)
	cache.Apply(nil, time.Hour)
	require.Equal(t, map[string]bool{"a": true, "c": true}, cache.View().DisabledCentres)
}
