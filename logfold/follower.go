package logfold

import (
	"time"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

// ReadMode says when a process reads the log service itself.
type ReadMode uint8

// Ways of reading.
const (
	// ReadAlways keeps a read waiting at the end of the stream.
	ReadAlways ReadMode = iota
	// ReadWhenNeeded reads only when peers give no young proof: a few
	// processes then read for all that they are connected to.
	ReadWhenNeeded
	// ReadNever relies on peers alone.
	ReadNever
)

// Pace of a Follower.
const (
	pollWait        = time.Second            // longest wait of a read at the end of the stream
	retryAfter      = 300 * time.Millisecond // after a failed read, jittered
	lostRetryAfter  = time.Second            // between looks for a usable checkpoint, jittered
	needShare       = 0.6                    // share of freshFor after which a ReadWhenNeeded process reads, at least
	needSpread      = 0.15                   // spread of that share between processes
	checkShare      = 0.3                    // the same while a peer says that the log is down, so as to bear it out soon
	askTimeout      = time.Second            // a peer that has not answered is asked no more
	askDelay        = time.Second            // time that a process whose reads succeed leaves to its own read
	checkpointTail  = 4                      // checkpoints looked at first
	checkpointsMost = 64                     // checkpoints looked at last
)

// Options of a Follower.
type Options struct {
	Service         string
	DataCentre      string
	ReadMode        ReadMode
	CheckpointEvery time.Duration  // mean time between checkpoints of all writers together; at most a quarter of the log's retention; 0: writes none
	Jitter          func() float64 // from 0 to 1, differs between processes
}

// Follower is the state machine of one process: which document is in force,
// and whether that is proved to be current. It does no I/O and is used by one
// goroutine. Times are monotonic, counted from the start of the process.
type Follower struct {
	opts  Options
	fold  State
	fresh *Freshness
	enf   *ActiveDocument // last one enforced

	lost        bool // the fold can't go on from where it stands
	configStart backing.Offset
	reading     bool
	readFine    bool // the last read of the configuration stream succeeded
	retryAt     time.Duration
	needShare   float64 // of this process

	checkpoints checkpointer
	faults      faults

	asked       bool
	askedAt     time.Duration
	behindSince time.Duration
	behind      bool
}

// faults take mechanisms out, so that tests can show what they are for.
type faults struct {
	anyCheckpoint bool // use checkpoints after which records were cut away
}

// NewFollower returns a Follower that has read nothing. Its first Tick sets it going.
func NewFollower(opts Options) *Follower {
	f := &Follower{
		opts:      opts,
		fold:      NewState(opts.Service),
		fresh:     NewFreshness(opts.DataCentre, opts.ReadMode != ReadNever),
		needShare: needShare + needSpread*opts.Jitter(),
	}
	f.checkpoints.dueAt = f.jittered(opts.CheckpointEvery) / 2
	return f
}

// Handle takes an event at the time now and returns what is to be done.
func (f *Follower) Handle(now time.Duration, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case Tick:
		out = f.tick(now)
	case ConfigRead:
		out = f.configRead(now, e)
	case ConfigReadFailed:
		f.configReadFailed(now, e)
	case CheckpointsRead:
		out = f.checkpointsRead(now, e)
	case CheckpointsReadFailed:
		f.checkpointsReadFailed(now)
	case CheckpointWritten:
		f.checkpointWritten(now, e)
	case PeerHeard:
		out = f.peerHeard(now, e)
	case PeerOffered:
		f.peerOffered(e.Config)
	}
	return append(out, f.enforce(now)...)
}

// InForce returns the document in force, or nil.
func (f *Follower) InForce() *ActiveDocument { return f.enf }

// Current reports whether the process may take new work.
func (f *Follower) Current(now time.Duration) bool {
	return f.enf != nil && f.fresh.Current(now)
}

// Proof returns when the document was last proved to be current, and for how
// long that allows new work.
func (f *Follower) Proof(now time.Duration) (at, freshFor time.Duration, ok bool) {
	at, ok = f.fresh.Proof(now)
	return at, f.fresh.freshFor, ok && f.enf != nil
}

// FillHeartbeat sets the fields of hb that this package answers for.
func (f *Follower) FillHeartbeat(now time.Duration, hb *wire.Heartbeat) {
	hb.ConfigOffset = int64(backing.None)
	hb.ProofAgeMillis = -1
	hb.LogDown = f.fresh.LogDown(now)
	hb.LogUp = f.fresh.LogUp(now)
	if f.enf == nil {
		return
	}
	hb.ConfigOffset = f.enf.Offset
	if age, ok := f.fresh.LogAge(now); ok {
		hb.ProofAgeMillis = (age + time.Millisecond - 1).Milliseconds()
	}
}

// Answer returns the answer to a peer's query, or nil when it has none.
func (f *Follower) Answer(q *wire.ConfigQuery) *wire.Config {
	if f.enf == nil || backing.Offset(q.ReadTo) >= f.fold.ReadTo {
		return nil
	}
	return &wire.Config{
		Offset:   int64(f.fold.Offset),
		Version:  f.fold.Version,
		ReadTo:   int64(f.fold.ReadTo),
		Document: f.fold.Packed(),
	}
}

// enforce puts the fold's document in force when it is newer. The first one
// waits for a proof, since a start may lie far behind.
func (f *Follower) enforce(now time.Duration) []Action {
	if f.fold.Doc == nil || (f.enf != nil && int64(f.fold.Offset) <= f.enf.Offset) {
		return nil
	}
	if f.enf == nil && !f.fresh.Current(now) {
		return nil
	}
	f.enf = &ActiveDocument{Offset: int64(f.fold.Offset), Version: f.fold.Version, Raw: f.fold.Text, Doc: f.fold.Doc}
	return []Action{Enforce{InForce: *f.enf}}
}

// jittered returns d scaled by a factor from 0.5 to 1.5.
func (f *Follower) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + f.opts.Jitter()))
}
