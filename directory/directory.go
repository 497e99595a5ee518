// Package directory lets the processes of the system find each other through
// the platform's store: each appends an entry of itself when it starts.
// Entries of processes that are gone remain; what is sent there is lost.
package directory

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"marjorampitch/internal/clock"
	"marjorampitch/store"
	"marjorampitch/wire"
)

// topic holds the entries, by the name of the instance.
const topic = "instances"

// Timing of the store's calls.
const (
	readWait    = 29 * time.Second       // for a new entry; the store allows 30 s
	callTimeout = 2 * time.Second        // beyond that
	retryAfter  = 500 * time.Millisecond // twice that after each further failure,
	retryMax    = 4 * time.Second        // up to this
)

// Directory follows the entries of all processes. It is safe for concurrent use.
type Directory struct {
	store store.Log
	log   *log.Logger
	batch time.Duration
	next  int64
	read  chan struct{} // closed once entries were read

	mu      sync.Mutex // guards entries
	entries map[string]wire.Instance
}

// New returns a directory that has read nothing. batch is the time between two
// reads: when many processes start, their entries come together.
func New(s store.Log, batch time.Duration, logger *log.Logger) *Directory {
	return &Directory{
		store: s, log: logger, batch: batch, next: -1, read: make(chan struct{}), entries: make(map[string]wire.Instance),
	}
}

// Entries returns all entries by name.
func (d *Directory) Entries() map[string]wire.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.entries)
}

// Announce writes the entry of an instance until it is acknowledged or ctx
// ends. An entry that stands there already, as after a restart of the process,
// is not written again: every reader would be woken.
func (d *Directory) Announce(ctx context.Context, name string, entry wire.Instance) {
	value, err := entry.MarshalMsg(nil)
	if err != nil {
		d.log.Error("announce-failed", "err", err)
		return
	}
	select {
	case <-d.read:
		if d.Entries()[name] == entry {
			d.log.Info("announced-before", "name", name, "address", entry.Address, "group", entry.Group, "rank", entry.Rank)
			return
		}
	case <-time.After(callTimeout): // it costs less to write it twice than to stay unknown
	case <-ctx.Done():
	}
	for retry := retryAfter; ctx.Err() == nil; retry = min(2*retry, retryMax) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.store.Append(call, topic, store.Record{Key: name, Value: value})
		cancel()
		if err == nil {
			d.log.Info("announced", "name", name, "address", entry.Address, "group", entry.Group, "rank", entry.Rank)
			return
		}
		d.log.Warn("announce-failed", "err", err)
		clock.Sleep(ctx, retry)
	}
}

// Run follows the entries until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	retry := retryAfter
	for ctx.Err() == nil {
		err := d.step(ctx)
		switch {
		case errors.Is(err, store.ErrTrimmed):
			d.next = -1
		case err != nil:
			clock.Sleep(ctx, retry)
			retry = min(2*retry, retryMax)
		default:
			retry = retryAfter
			clock.Sleep(ctx, d.batch)
		}
	}
}

func (d *Directory) step(ctx context.Context) error {
	limit := readWait + callTimeout
	if d.next < 0 {
		limit = callTimeout // a store that does not answer must not keep a process from its peers
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var b store.Batch
	var err error
	if d.next < 0 {
		b, err = d.store.Newest(ctx, topic)
	} else {
		b, err = d.store.Read(ctx, topic, d.next, readWait)
	}
	if err != nil {
		return eris.Wrap(err, "directory")
	}
	d.next = b.Next
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range b.Records {
		d.apply(r)
	}
	select {
	case <-d.read:
	default:
		close(d.read)
	}
	return nil
}

// apply folds one record. Callers hold mu.
func (d *Directory) apply(r store.Record) {
	if r.Value == nil {
		delete(d.entries, r.Key)
		return
	}
	var e wire.Instance
	if _, err := e.UnmarshalMsg(r.Value); err != nil {
		d.log.Warn("record-refused", "topic", topic, "key", r.Key, "err", err)
		return
	}
	d.entries[r.Key] = e
}
