package directory

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/store"
	"marjorampitch/wire"
)

// memory is a store of one topic that counts its calls.
type memory struct {
	store.Log
	mu      sync.Mutex // guards all below
	records []store.Record
	wake    chan struct{}
	reads   int
	silent  int // so many snapshots are not answered
}

func (m *memory) batch(from int64) store.Batch {
	end := int64(len(m.records))
	return store.Batch{Records: m.records[from:], Next: end, End: end}
}

func (m *memory) Newest(ctx context.Context, _ string) (store.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.silent > 0 {
		m.silent--
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	return m.batch(0), nil
}

func (m *memory) Read(ctx context.Context, _ string, from int64, wait time.Duration) (store.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.mu.Lock()
	m.reads++
	wake := m.wake
	if from < int64(len(m.records)) {
		defer m.mu.Unlock()
		return m.batch(from), nil
	}
	m.mu.Unlock()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.batch(from), nil
}

func (m *memory) Append(_ context.Context, _ string, r store.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = append(m.records, r)
	close(m.wake)
	m.wake = make(chan struct{})
	return nil
}

// A process that starts again as it was writes nothing and wakes nobody; at a
// new address it announces itself.
func TestRestartAnnouncesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{wake: make(chan struct{})}
		start := func(address string) *Directory {
			ctx, stop := context.WithCancel(t.Context())
			d := New(m, time.Second, log.New(io.Discard))
			go d.Run(ctx)
			go d.Announce(ctx, "a", wire.Instance{Address: address})
			time.Sleep(5 * time.Second)
			stop()
			synctest.Wait()
			return d
		}
		start("one")
		require.Len(t, m.records, 1)
		start("one")
		require.Len(t, m.records, 1)
		d := start("two")
		require.Len(t, m.records, 2)
		require.Equal(t, "two", d.Entries()["a"].Address)
	})
}

// Entries that come together are read together: when a hundred processes start
// within a second, each reads a few times, not a hundred.
func TestEntriesAreReadInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{wake: make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		d := New(m, 2*time.Second, log.New(io.Discard))
		go d.Run(ctx)
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			require.NoError(t, m.Append(ctx, topic, store.Record{Key: time.Now().String(), Value: encoded(t)}))
		}
		time.Sleep(5 * time.Second)
		require.Len(t, d.Entries(), 100)
		m.mu.Lock()
		require.LessOrEqual(t, m.reads, 4, "the snapshot, two batches, and the wait for more")
		m.mu.Unlock()
		stop()
		synctest.Wait()
	})
}

// A store that is silent when a process starts keeps it from its peers no longer
// than it is silent (recorded day inc-1af0: gateways knew no peers for 13 s, and
// let too many streams run).
func TestSilentStoreAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{wake: make(chan struct{}), silent: 1, records: []store.Record{{Key: "a", Value: encoded(t)}}}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		d := New(m, time.Second, log.New(io.Discard))
		go d.Run(ctx)
		time.Sleep(callTimeout + 2*retryAfter)
		require.Len(t, d.Entries(), 1)
		stop()
		synctest.Wait()
	})
}

func encoded(t *testing.T) []byte {
	data, err := (&wire.Instance{Address: "x"}).MarshalMsg(nil)
	require.NoError(t, err)
	return data
}
