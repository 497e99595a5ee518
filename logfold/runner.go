package logfold

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Pace and sizes of a Runner.
const (
	tickEvery     = 100 * time.Millisecond
	readTimeout   = 800 * time.Millisecond // of one read, beyond its wait
	appendTimeout = 2 * time.Second        // of one checkpoint
	readLimit     = 64                     // records
)

// Runner is the loop around a Follower: it reads the log service, takes what
// peers say, and tells who asks which document is in force. Every method may
// be called by any goroutine, and none blocks on I/O but Run.
type Runner struct {
	log     backing.Log
	service string
	begun   time.Time
	ops     sync.WaitGroup // reads and appends under way
	view    atomic.Pointer[view]

	mu          sync.Mutex // guards what follows; held for pure computation only
	follower    *Follower
	ctx         context.Context // of Run; nil before it
	subscribers []chan struct{}
}

// view is what callers see without taking the lock.
type view struct {
	inForce  *ActiveDocument
	proved   time.Duration // time of the newest proof
	freshFor time.Duration
	ok       bool // there is a proof
}

// NewRunner returns a Runner; nothing happens before Run.
func NewRunner(log backing.Log, opts Options) *Runner {
	r := &Runner{
		log:      log,
		service:  opts.Service,
		begun:    time.Now(),
		follower: NewFollower(opts),
	}
	r.view.Store(&view{})
	return r
}

// Run follows the log service until ctx is done.
func (r *Runner) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		r.handle(Tick{})
		select {
		case <-ctx.Done():
			r.ops.Wait()
			return
		case <-ticker.C:
		}
	}
}

// Document returns the document in force, or nil before there is one.
func (r *Runner) Document() *ActiveDocument { return r.view.Load().inForce }

// Current reports whether the process may take new work: its document was
// proved to be current less than fresh-for ago.
func (r *Runner) Current() bool {
	v := r.view.Load()
	return v.ok && r.now()-v.proved <= v.freshFor
}

// ProofAge returns the age of the newest proof; ok is false without one.
func (r *Runner) ProofAge() (age time.Duration, ok bool) {
	v := r.view.Load()
	return r.now() - v.proved, v.ok
}

// Subscribe returns a channel that receives a value after the document in
// force has changed; several changes may be told as one.
func (r *Runner) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, c)
	return c
}

// FillHeartbeat sets the fields of hb that concern the configuration.
func (r *Runner) FillHeartbeat(hb *wire.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.FillHeartbeat(r.now(), hb)
}

// ReceiveHeartbeat takes a heartbeat that a peer of the same service sent after the
// time given; when that is zero, the heartbeat proves nothing. The result, if
// not nil, is to be sent to that peer.
func (r *Runner) ReceiveHeartbeat(instance, dataCentre string, hb *wire.Heartbeat, sentAfter time.Time) *wire.ConfigQuery {
	return r.handle(PeerHeard{
		Peer:       instance,
		DataCentre: dataCentre,
		Heartbeat:  *hb,
		Dated:      !sentAfter.IsZero(),
		SentAfter:  sentAfter.Sub(r.begun),
	})
}

// ReceiveDocument takes a document that a peer sent.
func (r *Runner) ReceiveDocument(m *wire.Config) { r.handle(PeerOffered{Config: *m}) }

// AnswerQuery returns the answer to a peer's query, or nil when there is none.
func (r *Runner) AnswerQuery(q *wire.ConfigQuery) *wire.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Answer(q)
}

func (r *Runner) now() time.Duration { return time.Since(r.begun) }

// handle passes an event to the Follower and starts what it wants done,
// except for a query, which is returned.
func (r *Runner) handle(e Event) *wire.ConfigQuery {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	actions := r.follower.Handle(now, e)
	r.publishView(now)
	var query *wire.ConfigQuery
	for _, a := range actions {
		switch a := a.(type) {
		case Ask:
			query = &a.Query
		case Enforce:
			r.signal()
		default:
			r.begin(a)
		}
	}
	return query
}

func (r *Runner) publishView(now time.Duration) {
	v := &view{inForce: r.follower.InForce()}
	v.proved, v.freshFor, v.ok = r.follower.Proof(now)
	r.view.Store(v)
}

// signal wakes the subscribers; r.mu is held.
func (r *Runner) signal() {
	for _, c := range r.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// begin performs an action in the background; r.mu is held.
func (r *Runner) begin(a Action) {
	if r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	ctx := r.ctx
	r.ops.Add(1)
	go func() {
		defer r.ops.Done()
		r.handle(r.perform(ctx, a))
	}()
}

// perform does the I/O of an action and returns its result.
func (r *Runner) perform(ctx context.Context, a Action) Event {
	switch a := a.(type) {
	case ReadConfig:
		return r.readConfig(ctx, a)
	case ReadCheckpoints:
		return r.readCheckpoints(ctx, a)
	case WriteCheckpoint:
		return r.writeCheckpoint(ctx, a)
	}
	return Tick{}
}

func (r *Runner) readConfig(ctx context.Context, a ReadConfig) Event {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+readTimeout)
	defer cancel()
	sent := r.now()
	batch, err := r.log.Read(ctx, ConfigStream(r.service), a.From, readLimit, a.Wait)
	if err != nil {
		return ConfigReadFailed{Trimmed: errors.Is(err, backing.ErrTrimmed), Batch: batch}
	}
	return ConfigRead{Sent: sent, Batch: batch}
}

func (r *Runner) readCheckpoints(ctx context.Context, a ReadCheckpoints) Event {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := r.log.Read(ctx, CheckpointStream(r.service), a.From, a.Limit, 0)
	trimmed := errors.Is(err, backing.ErrTrimmed)
	if err != nil && !trimmed {
		return CheckpointsReadFailed{}
	}
	return CheckpointsRead{Trimmed: trimmed, Batch: batch}
}

func (r *Runner) writeCheckpoint(ctx context.Context, a WriteCheckpoint) Event {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := r.log.Append(ctx, CheckpointStream(r.service), [][]byte{a.Data})
	return CheckpointWritten{OK: err == nil, Offset: offset}
}
