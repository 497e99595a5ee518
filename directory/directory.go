// Package directory provides service discovery between the processes of the
// system through the platform's store: each process appends an entry for itself
// when it starts. Entries of processes that have ended remain; messages sent to
// their addresses are lost.
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

// topic is the keyed topic of the entries; the key is the name of the instance.
const topic = "instances"

// Timing of calls to the store.
const (
	readWait    = 29 * time.Second       // long-poll time for new entries; the store allows at most 30 s
	callTimeout = 2 * time.Second        // time limit of a call, on top of readWait for long polls
	minBackoff  = 500 * time.Millisecond // doubled after each further failure, up to maxBackoff
	maxBackoff  = 4 * time.Second
)

// Directory caches the entries of all processes. Run must be called once; the other
// methods are safe for concurrent use.
type Directory struct {
	store     store.Log
	log       *log.Logger
	readPause time.Duration
	next      store.Position // store.NoPosition to start with a snapshot
	loaded    chan struct{}  // closed after the first successful read

	mu        sync.Mutex // guards all below
	entries   map[string]wire.Instance
	announced map[string]wire.Instance // entries of this process that the store is to have
}

// New returns an empty Directory. Run starts it. readPause is the pause between two
// reads, so that the entries of many processes that start at once are read together.
func New(s store.Log, readPause time.Duration, logger *log.Logger) *Directory {
	return &Directory{
		store: s, log: logger, readPause: readPause, next: store.NoPosition, loaded: make(chan struct{}),
		entries: make(map[string]wire.Instance), announced: make(map[string]wire.Instance),
	}
}

// Entries returns a copy of all entries by instance name.
func (d *Directory) Entries() map[string]wire.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.entries)
}

// Announce appends the entry of an instance, retrying until it is acknowledged or
// ctx is done. An equal entry that already exists, as after a restart of the process,
// is not written again, because every write wakes all readers. Run writes the entry again
// if the store loses it.
func (d *Directory) Announce(ctx context.Context, name string, entry wire.Instance) {
	select {
	case <-d.loaded:
		if d.keep(name, entry) {
			d.log.Info("announced-before", "name", name, "address", entry.Address, "group", entry.Group, "rank", entry.Rank)
			return
		}
	case <-time.After(callTimeout): // a duplicate write costs less than staying undiscovered
		d.keep(name, entry)
	case <-ctx.Done():
	}
	d.write(ctx, name, entry)
}

// keep records an entry of this process, and reports whether the store has it.
func (d *Directory) keep(name string, entry wire.Instance) (known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announced[name] = entry
	return d.entries[name] == entry
}

// write appends an entry, retrying until it is acknowledged or ctx is done.
func (d *Directory) write(ctx context.Context, name string, entry wire.Instance) {
	value, err := entry.MarshalMsg(nil)
	if err != nil {
		d.log.Error("announce-failed", "err", err)
		return
	}
	for retry := minBackoff; ctx.Err() == nil; retry = min(2*retry, maxBackoff) {
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

// Run keeps the entries up to date until ctx is done. It writes the entries of this process
// again that a snapshot does not have, because the store has come back from an older copy.
func (d *Directory) Run(ctx context.Context) {
	retry := minBackoff
	for ctx.Err() == nil {
		err := d.step(ctx)
		switch {
		case errors.Is(err, store.ErrTrimmed):
			d.next = store.NoPosition
		case errors.Is(err, store.ErrRestored):
			d.log.Warn("position-void", "stream", topic, "from", d.next.Offset, "era", d.next.Era)
			d.next = store.NoPosition
		case err != nil:
			clock.Sleep(ctx, retry)
			retry = min(2*retry, maxBackoff)
		default:
			retry = minBackoff
			clock.Sleep(ctx, d.readPause)
		}
	}
}

// step does one read, a snapshot at store.NoPosition, and applies its records.
func (d *Directory) step(run context.Context) error {
	limit := readWait + callTimeout
	snapshot := d.next == store.NoPosition
	if snapshot {
		limit = callTimeout // a store that does not answer must not delay the discovery of peers
	}
	ctx, cancel := context.WithTimeout(run, limit)
	defer cancel()
	var b store.Batch
	var err error
	if snapshot {
		b, err = d.store.Newest(ctx, topic)
	} else {
		b, err = d.store.Read(ctx, topic, d.next, readWait)
	}
	if err != nil {
		return eris.Wrap(err, "read instance directory")
	}
	d.next = b.Next
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range b.Records {
		d.apply(r)
	}
	if snapshot {
		d.writeLost(run, b.Records)
	}
	select {
	case <-d.loaded:
	default:
		close(d.loaded)
	}
	return nil
}

// writeLost writes the entries of this process again that a snapshot does not have. Callers
// hold mu.
func (d *Directory) writeLost(ctx context.Context, snapshot []store.Record) {
	if len(d.announced) == 0 {
		return
	}
	listed := make(map[string]bool, len(snapshot))
	for _, r := range snapshot {
		listed[r.Key] = true
	}
	for name, entry := range d.announced {
		if !listed[name] || d.entries[name] != entry {
			d.log.Warn("announcement-lost", "name", name)
			go d.write(ctx, name, entry)
		}
	}
}

// apply applies one record. Callers hold mu.
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
