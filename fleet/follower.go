package fleet

import (
	"cmp"
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
	Next     store.Position // of the next read
	Complete bool           // the topic had no records beyond Next
	// CurrentAt, if not 0, is the freshness proof of a complete read; otherwise the proof
	// is the start of the read.
	CurrentAt time.Duration
	Relayed   bool // another process has waited for the changes: the next read needs no pause
}

// Source reads one topic of the platform's store, the operator topic or the server
// topic, as changes. It skips records that cannot be decoded.
type Source interface {
	// Read returns the changes from a position on. If there are none, it waits up to
	// wait for one. Errors: store.ErrTrimmed, store.ErrRestored, or others if the store is
	// unavailable.
	Read(ctx context.Context, from store.Position, wait time.Duration) (Batch, error)
	// Snapshot returns the newest record of each key.
	Snapshot(ctx context.Context) (Batch, error)
}

// FollowOptions are the settings of a Follower.
type FollowOptions struct {
	Name         string        // name of the topic in log lines
	Operator     bool          // the topic is the operator topic (documents and data centres), not the server topic
	Wait         time.Duration // long-poll time of a read
	Pause        time.Duration // pause between reads, so that a busy topic is read in batches
	RelaxedPause time.Duration // pause between reads once there is a document, for processes that tolerate an old one and use no freshness proof; 0 to use Pause
	Timeout      time.Duration // time limit of one call, in addition to Wait
	Clock        func() time.Duration
}

// Backoff between failed reads. followRetryRelaxedMax is the maximum for Followers with a
// RelaxedPause, which tolerate an old document and so spare the store.
const (
	followRetryMin        = 50 * time.Millisecond
	followRetryMax        = 400 * time.Millisecond
	followRetryRelaxedMax = 3 * time.Second
)

// rewriteTime is the time within which the platform and the backend servers write again
// what a store that has come back from an older copy has lost. Until then a read to the end
// of a topic does not prove that the Cache has all that was ever acknowledged.
const rewriteTime = time.Second

// Follower keeps a Cache up to date from one Source. Run must be called once; the
// other exported methods are safe for concurrent use.
type Follower struct {
	source Source
	cache  *Cache
	opts   FollowOptions
	log    *log.Logger
	next   store.Position // store.NoPosition to start with a snapshot
	lost   bool
	// restored means that the next snapshot is the first one since the store came back
	// from an older copy; rewritten is when its loss has been written again.
	restored  bool
	rewritten time.Duration
	// relayed means that a read was answered by another process. A request to it may be
	// lost, so that reads are further apart than Pause says: see dateMissing.
	relayed bool
	applied time.Duration // end of the last read
	proof   atomic.Int64  // start of the last read that reached the end of the topic, ns; 0 before the first
}

// NewFollower returns a Follower. Run starts it.
func NewFollower(source Source, cache *Cache, opts FollowOptions, logger *log.Logger) *Follower {
	return &Follower{source: source, cache: cache, opts: opts, log: logger, next: store.NoPosition}
}

// FreshnessProof returns the latest time at which the Cache is known to have held
// everything that the store had acknowledged; ok is false before the first
// complete read. It stays as it is for rewriteTime after the store has come back from an
// older copy: until then what was known before counts.
func (f *Follower) FreshnessProof() (at time.Duration, ok bool) {
	n := f.proof.Load()
	return time.Duration(n), n != 0
}

// Run reads the Source until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retry, maxRetry := followRetryMin, followRetryMax
	if f.opts.RelaxedPause > 0 {
		maxRetry = followRetryRelaxedMax
	}
	for ctx.Err() == nil {
		readStart := f.opts.Clock()
		b, err := f.step(ctx)
		switch {
		case errors.Is(err, store.ErrTrimmed):
			f.log.Info("store-trimmed", "stream", f.opts.Name, "from", f.next.Offset)
			f.next = store.NoPosition
			continue
		case errors.Is(err, store.ErrRestored):
			f.log.Warn("position-void", "stream", f.opts.Name, "from", f.next.Offset, "era", f.next.Era)
			f.next, f.restored = store.NoPosition, true
			f.rewritten = f.opts.Clock() + rewriteTime
			continue
		case err != nil:
			f.markLost(ctx, err)
			f.applied = f.opts.Clock()
			f.cache.Apply(nil, f.applied)
			clock.Sleep(ctx, retry)
			retry = min(2*retry, maxRetry)
			continue
		}
		if proof := cmp.Or(b.CurrentAt, readStart); b.Complete && proof >= f.rewritten {
			f.advanceProof(proof)
		}
		if f.lost {
			f.lost = false
			f.log.Info("store-regained", "stream", f.opts.Name, "next", f.next.Offset)
		}
		retry = followRetryMin
		if b.Relayed {
			continue
		}
		pause := f.opts.Pause
		if f.opts.RelaxedPause > 0 && f.cache.View().Document != nil {
			pause = f.opts.RelaxedPause
		}
		clock.Sleep(ctx, pause)
	}
}

// markLost records and logs the first of a series of failed reads.
func (f *Follower) markLost(ctx context.Context, err error) {
	if !f.lost && ctx.Err() == nil {
		f.lost = true
		f.log.Warn("store-lost", "stream", f.opts.Name, "err", err)
	}
}

// advanceProof sets the freshness proof unless it is a later one already: what the Cache
// has held it keeps.
func (f *Follower) advanceProof(at time.Duration) {
	f.proof.Store(max(f.proof.Load(), int64(at), 1))
}

// step does one read and applies its changes.
func (f *Follower) step(ctx context.Context) (Batch, error) {
	if f.next == store.NoPosition {
		return f.snapshot(ctx)
	}
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+f.opts.Timeout)
	defer cancel()
	b, err := f.source.Read(ctx, f.next, wait)
	if err != nil {
		return Batch{}, err
	}
	f.next = b.Next
	now := f.opts.Clock()
	f.relayed = f.relayed || b.Relayed
	f.dateMissing(b.Changes, now)
	if f.cache.Apply(b.Changes, now) {
		f.logView()
	}
	f.applied = now
	f.expireLater(now)
	return b, nil
}

// wait returns the long-poll time of the next read. It is 0 where the Follower is to learn at
// once whether the Cache is complete.
func (f *Follower) wait() time.Duration {
	proof, ok := f.FreshnessProof()
	if !ok && f.opts.RelaxedPause == 0 || f.lost {
		return 0
	}
	if proof < f.rewritten && f.opts.RelaxedPause == 0 {
		return min(max(f.rewritten-f.opts.Clock(), 0), f.opts.Wait)
	}
	return f.opts.Wait
}

// dateMissing dates the removal of entries as if the read had begun Pause after the last
// one, so that a lost request does not extend the time for which their servers are used.
func (f *Follower) dateMissing(changes []Change, now time.Duration) {
	if !f.relayed {
		return
	}
	for _, change := range changes {
		if gone, ok := change.(*ServerGone); ok {
			gone.Since = max(min(now, f.applied+f.opts.Pause), now-f.opts.Pause)
		}
	}
}

// expireLater removes servers whose entries are missing on time, also while a request to
// another process is underway.
func (f *Follower) expireLater(now time.Duration) {
	if at, ok := f.cache.nextExpiry(); ok && f.relayed {
		time.AfterFunc(at-now, func() { f.cache.Apply(nil, f.opts.Clock()) })
	}
}

// snapshot restarts from a snapshot. The pages of a snapshot are not read at one
// point in time, so it yields no freshness proof until the records written since
// have been read.
func (f *Follower) snapshot(ctx context.Context) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	b, err := f.source.Snapshot(ctx)
	if err != nil {
		return Batch{}, err
	}
	f.cache.Reset(f.opts.Operator, f.restored, b.Changes, f.opts.Clock())
	f.next, f.restored = b.Next, false
	f.logView()
	return Batch{Next: b.Next}, nil
}

// logView logs the current View.
func (f *Follower) logView() {
	v := f.cache.View()
	version := int64(0)
	if v.Document != nil {
		version = v.Document.Version
	}
	f.log.Info("view-changed", "stream", f.opts.Name, "next", f.next.Offset, "era", f.next.Era, "document", version,
		"servers", len(v.Members), "centres_out", len(v.DisabledCentres))
}
