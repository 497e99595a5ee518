package fleet

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/internal/clock"
	"marjorampitch/store"
)

// Batch is the result of one read of a Source.
type Batch struct {
	Changes  []Change
	Next     int64 // offset to read from next
	Complete bool  // the stream held nothing beyond Next
}

// Source is one stream of changes with snapshots, as the platform's store
// keeps it. Records that cannot be read are left out by the Source.
type Source interface {
	// Read returns the changes from an offset on. With none there it waits up
	// to wait for one. Errors: store.ErrTrimmed, others for a store that is away.
	Read(ctx context.Context, from int64, wait time.Duration) (Batch, error)
	// Snapshot returns the newest record of each key.
	Snapshot(ctx context.Context) (Batch, error)
}

// FollowOptions are the settings of a Follower.
type FollowOptions struct {
	Name         string        // of the stream, for log lines
	Operator     bool          // the stream holds documents and data centres, not servers
	Wait         time.Duration // how long a read may wait for a record
	Pause        time.Duration // between reads, so that a busy stream is read in batches
	RelaxedPause time.Duration // between reads once there is a document, for a reader to whom the newest matters little; 0 for none
	Timeout      time.Duration // of one call, beyond Wait
	Clock        func() time.Duration
}

// Backoff between failed reads. A reader to whom the newest matters little
// leaves the store in peace for longer.
const (
	followRetryMin  = 50 * time.Millisecond
	followRetryMax  = 400 * time.Millisecond
	followRetryRest = 3 * time.Second
)

// Follower keeps a Belief up to date from one Source. Run it in one goroutine;
// its other methods are safe for concurrent use.
type Follower struct {
	source Source
	belief *Cache
	opts   FollowOptions
	log    *log.Logger
	next   int64 // -1: start with a snapshot
	lost   bool
	proof  atomic.Int64 // start of the last call that has read up to the end, ns; 0 before the first
}

// NewFollower returns a Follower that has read nothing.
func NewFollower(source Source, belief *Cache, opts FollowOptions, logger *log.Logger) *Follower {
	return &Follower{source: source, belief: belief, opts: opts, log: logger, next: -1}
}

// FreshnessProof returns the latest moment at which the Belief is known to have held
// all that the store had acknowledged; ok is false before the first read.
func (f *Follower) FreshnessProof() (at time.Duration, ok bool) {
	n := f.proof.Load()
	return time.Duration(n), n != 0
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry, most := followRetryMin, followRetryMax
	if f.opts.RelaxedPause > 0 {
		most = followRetryRest
	}
	for ctx.Err() == nil {
		asked := f.opts.Clock()
		complete, err := f.step(ctx)
		switch {
		case errors.Is(err, store.ErrTrimmed):
			f.log.Info("store-trimmed", "stream", f.opts.Name, "from", f.next)
			f.next = -1
			continue
		case err != nil:
			f.failed(ctx, err)
			f.belief.Apply(nil, f.opts.Clock())
			clock.Sleep(ctx, retry)
			retry = min(2*retry, most)
			continue
		}
		if complete {
			f.proof.Store(int64(max(asked, 1)))
		}
		if f.lost {
			f.lost = false
			f.log.Info("store-regained", "stream", f.opts.Name, "next", f.next)
		}
		retry = followRetryMin
		pause := f.opts.Pause
		if f.opts.RelaxedPause > 0 && f.belief.View().Document != nil {
			pause = f.opts.RelaxedPause
		}
		clock.Sleep(ctx, pause)
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if !f.lost && ctx.Err() == nil {
		f.lost = true
		f.log.Warn("store-lost", "stream", f.opts.Name, "err", err)
	}
}

// step makes one read and folds what it brings. It reports whether that was
// all there is.
func (f *Follower) step(ctx context.Context) (complete bool, err error) {
	if f.next < 0 {
		return f.snapshot(ctx)
	}
	wait := f.opts.Wait
	if _, ok := f.FreshnessProof(); !ok || f.lost {
		wait = 0 // what is needed most is to know that nothing is missing
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.opts.Timeout)
	defer cancel()
	b, err := f.source.Read(ctx, f.next, wait)
	if err != nil {
		return false, err
	}
	f.next = b.Next
	if f.belief.Apply(b.Changes, f.opts.Clock()) {
		f.announce()
	}
	return b.Complete, nil
}

// snapshot starts over. Its pages are no single moment, so that it proves
// nothing before the records since have been read.
func (f *Follower) snapshot(ctx context.Context) (complete bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	b, err := f.source.Snapshot(ctx)
	if err != nil {
		return false, err
	}
	f.belief.Reset(f.opts.Operator, b.Changes, f.opts.Clock())
	f.next = b.Next
	f.announce()
	return false, nil
}

func (f *Follower) announce() {
	v := f.belief.View()
	version := int64(0)
	if v.Document != nil {
		version = v.Document.Version
	}
	f.log.Info("view-changed", "stream", f.opts.Name, "next", f.next, "document", version,
		"servers", len(v.Members), "centres_out", len(v.DisabledCentres))
}
