package directory

import (
	"bytes"
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/store"
	"marjorampitch/wire"
)

// memoryStore is a store with one topic that counts its reads.
type memoryStore struct {
	store.Log
	mu         sync.Mutex // guards all below
	records    []store.Record
	wake       chan struct{}
	reads      int
	unanswered int // number of snapshots that are not answered
	era        int64
}

// restore has the store come back from a copy.
func (m *memoryStore) restore(records ...store.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = records
	m.era++
	close(m.wake)
	m.wake = make(chan struct{})
}

// size returns the number of records.
func (m *memoryStore) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.records)
}

func (m *memoryStore) batch(from int64) store.Batch {
	end := int64(len(m.records))
	return store.Batch{Records: m.records[from:], Next: store.Position{Era: m.era, Offset: end}, End: end}
}

func (m *memoryStore) Newest(ctx context.Context, _ string) (store.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.unanswered > 0 {
		m.unanswered--
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	return m.batch(0), nil
}

func (m *memoryStore) Read(ctx context.Context, _ string, from store.Position, wait time.Duration) (store.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.mu.Lock()
	m.reads++
	wake := m.wake
	if from.Era < m.era {
		defer m.mu.Unlock()
		return store.Batch{}, store.ErrRestored
	}
	if from.Offset < int64(len(m.records)) {
		defer m.mu.Unlock()
		return m.batch(from.Offset), nil
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
	if from.Era < m.era {
		return store.Batch{}, store.ErrRestored
	}
	return m.batch(from.Offset), nil
}

func (m *memoryStore) Append(_ context.Context, _ string, r store.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = append(m.records, r)
	close(m.wake)
	m.wake = make(chan struct{})
	return nil
}

// A process that restarts unchanged writes no entry and wakes no reader; with a new
// address it announces itself again.
func TestRestartWritesNoEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{wake: make(chan struct{})}
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

// Entries that arrive together are read together: when 100 processes start within a
// second, each makes a few reads instead of 100.
func TestEntriesAreReadInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{wake: make(chan struct{})}
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
		require.LessOrEqual(t, m.reads, 4, "the snapshot, two batches and the pending long poll")
		m.mu.Unlock()
		stop()
		synctest.Wait()
	})
}

// A store that does not answer when a process starts delays the discovery of peers
// only until it answers (incident inc-1af0: gateways knew no peers for 13 s and
// admitted too many streams).
func TestUnresponsiveStoreAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{wake: make(chan struct{}), unanswered: 1, records: []store.Record{{Key: "a", Value: encoded(t)}}}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		d := New(m, time.Second, log.New(io.Discard))
		go d.Run(ctx)
		time.Sleep(callTimeout + 2*minBackoff)
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

// Processes of the version before Instance.DataCentre write entries without it, and
// skip it in the entries of others.
func TestEntriesWithoutDataCentreAreRead(t *testing.T) {
	old := []byte("\x82\xa4role\xa7gateway\xa4addr\xa3x:1")
	var e wire.Instance
	_, err := e.UnmarshalMsg(old)
	require.NoError(t, err)
	require.Equal(t, wire.Instance{Role: wire.RoleGateway, Address: "x:1"}, e)

	rebalancer, err := (&wire.Instance{Role: wire.RoleRebalancer, Address: "x:1"}).MarshalMsg(nil)
	require.NoError(t, err)
	require.NotContains(t, string(rebalancer), "\xa1d", "the entries of rebalancers stay as they were")
}

// An entry that the store has lost by coming back from an older copy is written again, so
// that processes that start afterwards discover this one.
func TestLostEntryIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{wake: make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		d := New(m, time.Second, log.New(io.Discard))
		go d.Run(ctx)
		go d.Announce(ctx, "a", wire.Instance{Address: "one"})
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, m.size())
		m.restore(store.Record{Key: "a", Value: encoded(t)}, store.Record{Key: "b", Value: encoded(t)}) // an older entry
		time.Sleep(5 * time.Second)
		require.Equal(t, 3, m.size())
		m.restore()
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, m.size())
		require.Equal(t, "one", d.Entries()["a"].Address)
		stop()
		synctest.Wait()
	})
}

// Odd entries among those of the processes are left out, and the others hold.
func TestOddEntriesAreLeftOut(t *testing.T) {
	sound := encoded(t)
	nested := append([]byte("\x81\xa7further"), bytes.Repeat([]byte{0x91}, 250_000)...)
	for name, odd := range map[string][]byte{
		"nested deeply":     append(nested, 0xc0),
		"length too large":  []byte("\x81\xa4addr\xdb\xff\xff\xff\xff"),
		"fields too many":   []byte("\xdf\xff\xff\xff\xff"),
		"number too large":  []byte("\x81\xa1r\xcf\xff\xff\xff\xff\xff\xff\xff\xff"),
		"of another type":   []byte("\x81\xa4addr\x01"),
		"bytes of no entry": {0xc1, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &memoryStore{wake: make(chan struct{}), records: []store.Record{{Key: "a", Value: sound}, {Key: "odd", Value: odd}, {Key: "b", Value: sound}}}
				ctx, stop := context.WithCancel(t.Context())
				d := New(m, time.Second, log.New(io.Discard))
				go d.Run(ctx)
				time.Sleep(time.Second)
				require.NoError(t, m.Append(ctx, topic, store.Record{Key: "c", Value: sound}))
				time.Sleep(5 * time.Second)
				require.Equal(t, []string{"a", "b", "c"}, slices.Sorted(maps.Keys(d.Entries())))
				stop()
				synctest.Wait()
			})
		})
	}
}
