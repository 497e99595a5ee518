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

// Timing and limits of a Runner.
const (
	tickEvery     = 100 * time.Millisecond
	readTimeout   = 800 * time.Millisecond // of one read, in addition to its wait
	appendTimeout = 2 * time.Second        // of one checkpoint
	readLimit     = 64                     // records
)

// Runner is the event loop of a Follower. It reads the log service, handles the
// messages of peers and provides the active document. All methods are safe for
// concurrent use, and only Run blocks on I/O.
type Runner struct {
	log      backing.Log
	service  string
	started  time.Time
	ops      sync.WaitGroup // reads and appends in progress
	snapshot atomic.Pointer[snapshot]

	mu          sync.Mutex // guards the fields below; never held during I/O
	follower    *Follower
	ctx         context.Context // of Run; nil before Run is called
	subscribers []chan struct{}
}

// snapshot is the state that callers read without taking the lock.
type snapshot struct {
	active   *ActiveDocument
	provedAt time.Duration // time of the newest freshness proof
	freshFor time.Duration
	ok       bool // there is a document and a proof
}

// NewRunner returns a Runner that does no I/O before Run is called.
func NewRunner(log backing.Log, opts Options) *Runner {
	r := &Runner{
		log:      log,
		service:  opts.Service,
		started:  time.Now(),
		follower: NewFollower(opts),
	}
	r.snapshot.Store(&snapshot{})
	return r
}

// Run follows the log service until ctx is done, and returns after the
// operations in progress have ended.
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

// Document returns the active document, or nil before there is one.
func (r *Runner) Document() *ActiveDocument { return r.snapshot.Load().active }

// Current reports whether the process may accept new work, that is, whether its
// document was proved to be current within the last fresh-for interval.
func (r *Runner) Current() bool {
	v := r.snapshot.Load()
	return v.ok && r.now()-v.provedAt <= v.freshFor
}

// ProofAge returns the age of the newest freshness proof; ok is false without one.
func (r *Runner) ProofAge() (age time.Duration, ok bool) {
	v := r.snapshot.Load()
	return r.now() - v.provedAt, v.ok
}

// Subscribe returns a channel that receives a value after the active document
// has changed. Several changes may be signalled by one value.
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

// ReceiveHeartbeat handles a heartbeat of a peer of the same service. sentAfter
// is a lower bound of the time at which it was sent; if zero, its freshness
// information is ignored. The caller sends a non-nil result to that peer.
func (r *Runner) ReceiveHeartbeat(instance, dataCentre string, hb *wire.Heartbeat, sentAfter time.Time) *wire.ConfigQuery {
	return r.handle(HeartbeatReceived{
		Peer:         instance,
		DataCentre:   dataCentre,
		Heartbeat:    *hb,
		HasSentAfter: !sentAfter.IsZero(),
		SentAfter:    sentAfter.Sub(r.started),
	})
}

// ReceiveDocument handles a document sent by a peer.
func (r *Runner) ReceiveDocument(m *wire.Config) { r.handle(DocumentReceived{Config: *m}) }

// AnswerQuery returns the answer to the query of a peer, or nil if there is none.
func (r *Runner) AnswerQuery(q *wire.ConfigQuery) *wire.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Answer(q)
}

func (r *Runner) now() time.Duration { return time.Since(r.started) }

// handle passes an event to the Follower and starts the resulting actions,
// except for a query, which it returns.
func (r *Runner) handle(e Event) *wire.ConfigQuery {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	actions := r.follower.Handle(now, e)
	r.publishSnapshot(now)
	var query *wire.ConfigQuery
	for _, a := range actions {
		switch a := a.(type) {
		case SendQuery:
			query = &a.Query
		case Activate:
			r.notifySubscribers()
		default:
			r.start(a)
		}
	}
	return query
}

func (r *Runner) publishSnapshot(now time.Duration) {
	v := &snapshot{active: r.follower.ActiveDocument()}
	v.provedAt, v.freshFor, v.ok = r.follower.Proof(now)
	r.snapshot.Store(v)
}

// notifySubscribers notifies the subscribers of a change; r.mu is held.
func (r *Runner) notifySubscribers() {
	for _, c := range r.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// start performs an action in the background; r.mu is held.
func (r *Runner) start(a Action) {
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

// perform executes the I/O of an action and returns its result as an event.
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
