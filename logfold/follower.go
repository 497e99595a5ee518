package logfold

import (
	"time"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

// ReadMode selects when a process reads the log service itself.
type ReadMode uint8

// Read modes.
const (
	// ReadAlways keeps a read waiting at the end of the stream.
	ReadAlways ReadMode = iota
	// ReadWhenNeeded reads only when peers supply no recent log proof, so that a
	// few processes read on behalf of all their peers.
	ReadWhenNeeded
	// ReadNever relies on peers only.
	ReadNever
)

// Timing and limits of a Follower.
const (
	pollWait            = time.Second            // maximum wait of a read at the end of the stream
	readRetryDelay      = 300 * time.Millisecond // after a failed read, jittered
	stalledRetryDelay   = time.Second            // between searches for a usable checkpoint, jittered
	readAgeShare        = 0.6                    // minimum age of the log proof, as a share of freshFor, at which a ReadWhenNeeded process reads
	readAgeSpread       = 0.15                   // spread of that share between processes
	readAgeShareLogDown = 0.3                    // the same while a peer reports the log as down, so that the report is confirmed soon
	queryTimeout        = time.Second            // after which an unanswered query no longer blocks the next one
	queryDelay          = time.Second            // how long a process whose reads succeed waits for its own read to return a newer document before it queries a peer
	minCheckpointTail   = 4                      // checkpoints read in the first search
	maxCheckpointTail   = 64                     // checkpoints read in the widest search
)

// Options are the settings of a Follower.
type Options struct {
	Service         string
	DataCentre      string
	ReadMode        ReadMode
	CheckpointEvery time.Duration  // mean interval of checkpoints over all writers; at most a quarter of the retention of the log; 0 to write none
	Jitter          func() float64 // random number from 0 to 1, different in each process
}

// Follower is the state machine of one process. It determines the active
// document and whether that is proved to be current. It does no I/O and is not
// safe for concurrent use. Times are monotonic, relative to the start of the process.
type Follower struct {
	opts   Options
	state  State
	fresh  *Freshness
	active *ActiveDocument // nil before the first

	stalled        bool // the next record cannot be read or applied
	configStart    backing.Offset
	readInProgress bool
	lastReadOK     bool // the last read of the configuration stream succeeded
	retryAt        time.Duration
	readShare      float64 // share of freshFor at which this process reads

	checkpoints checkpointer
	mut         mutation // set by mutation tests only

	queryPending bool
	queriedAt    time.Duration
	behindSince  time.Duration
	behind       bool
}

// mutation lists mechanisms that mutation tests disable to show that each is needed.
type mutation struct {
	anyCheckpoint bool // use checkpoints after which records were trimmed
}

// NewFollower returns a Follower that has read nothing. Its first Tick starts reading.
func NewFollower(opts Options) *Follower {
	f := &Follower{
		opts:      opts,
		state:     NewState(opts.Service),
		fresh:     NewFreshness(opts.DataCentre, opts.ReadMode != ReadNever),
		readShare: readAgeShare + readAgeSpread*opts.Jitter(),
	}
	f.checkpoints.dueAt = f.jittered(opts.CheckpointEvery) / 2
	return f
}

// Handle handles an event at time now and returns the actions to perform.
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
	case HeartbeatReceived:
		out = f.heartbeatReceived(now, e)
	case DocumentReceived:
		f.documentReceived(e.Config)
	}
	return append(out, f.activate(now)...)
}

// ActiveDocument returns the active document, or nil before there is one.
func (f *Follower) ActiveDocument() *ActiveDocument { return f.active }

// Current reports whether the active document is proved to be current, so that
// the process may accept new work.
func (f *Follower) Current(now time.Duration) bool {
	return f.active != nil && f.fresh.Current(now)
}

// Proof returns the time at which the document was last proved to be current and
// how long the proof allows new work. ok is false without a document or a proof.
func (f *Follower) Proof(now time.Duration) (at, freshFor time.Duration, ok bool) {
	at, ok = f.fresh.Proof(now)
	return at, f.fresh.freshFor, ok && f.active != nil
}

// FillHeartbeat sets the fields of hb that concern the configuration.
func (f *Follower) FillHeartbeat(now time.Duration, hb *wire.Heartbeat) {
	hb.ConfigOffset = int64(backing.NoOffset)
	hb.ProofAgeMillis = -1
	hb.LogDown = f.fresh.LogDown(now)
	hb.LogUp = f.fresh.LogUp(now)
	if f.active == nil {
		return
	}
	hb.ConfigOffset = f.active.Offset
	if age, ok := f.fresh.LogProofAge(now); ok {
		hb.ProofAgeMillis = (age + time.Millisecond - 1).Milliseconds()
	}
}

// Answer returns the answer to the query of a peer, or nil if the state is not
// newer than that of the peer.
func (f *Follower) Answer(q *wire.ConfigQuery) *wire.Config {
	if f.active == nil || backing.Offset(q.ReadTo) >= f.state.ReadTo {
		return nil
	}
	return &wire.Config{
		Offset:   int64(f.state.Offset),
		Version:  f.state.Version,
		ReadTo:   int64(f.state.ReadTo),
		Document: f.state.Packed(),
	}
}

// activate makes the document of the state active if it is newer. The first one
// requires a proof, since the state at the start may be far behind.
func (f *Follower) activate(now time.Duration) []Action {
	if f.state.Doc == nil || (f.active != nil && int64(f.state.Offset) <= f.active.Offset) {
		return nil
	}
	if f.active == nil && !f.fresh.Current(now) {
		return nil
	}
	f.active = &ActiveDocument{Offset: int64(f.state.Offset), Version: f.state.Version, Raw: f.state.Text, Doc: f.state.Doc}
	return []Action{Activate{Document: *f.active}}
}

// jittered returns d scaled by a random factor from 0.5 to 1.5.
func (f *Follower) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + f.opts.Jitter()))
}
