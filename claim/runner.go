package claim

import (
	"context"
	"sync"
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// eventQueue is the unbounded event queue of one call; put does not block.
type eventQueue struct {
	mu     sync.Mutex
	events []Event
	ready  chan struct{} // holds a token while events may be queued
}

func (q *eventQueue) put(ev Event) {
	q.mu.Lock()
	q.events = append(q.events, ev)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *eventQueue) take() []Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}

// callReply is the reply to the caller and the number of claims made.
type callReply struct {
	reply  Reply
	claims int
}

// runner drives one Call: it performs its actions and delivers the resulting events.
type runner struct {
	client       *Client
	partition    *partition
	key          Key
	req          Request
	call         *Call
	events       eventQueue
	reply        chan callReply // buffered; receives one value
	workDeadline time.Time      // deadline of all work for the call
}

func newRunner(c *Client, key Key, req Request) *runner {
	r := &runner{
		client:       c,
		partition:    c.partitions[key.Partition()],
		key:          key,
		req:          req,
		events:       eventQueue{ready: make(chan struct{}, 1)},
		reply:        make(chan callReply, 1),
		workDeadline: req.Deadline.Add(c.options.Tuning.BackgroundLimit),
	}
	r.call = NewCall(CallConfig{
		Key:         key,
		Fingerprint: req.Message.Fingerprint,
		Claimant:    c.options.Claimant,
		Nonce:       func() uint64 { return c.nonce.Add(1) },
		Deadline:    req.Deadline,
		Limits:      KeyLimits{MaxAge: min(req.MaxAge, MaxKeyAge), MaxSkew: maxKeySkew},
		CanLookUp:   req.LookUp != nil,
		Tuning:      c.options.Tuning,
		Pick:        req.Pick,
	})
	return r
}

// refuse returns the error for a call that is not started, for the given reason.
func (r *runner) refuse(reason *api.Error) *api.Error {
	if earlier := earlierCall(r.partition.view(r.key)); earlier != nil {
		return earlier
	}
	return reason
}

// earlierCall returns the error for a refused call whose key an earlier call has
// claimed, according to the log; nil if the key is free.
func earlierCall(v View) *api.Error {
	switch v.Phase {
	case KeyHeld:
		return api.NewError(api.InProgress, "claimed by an earlier call")
	case KeyCompleted:
		e := api.NewError(api.StreamBroken, "an earlier call ran; its answer was not read")
		e.Ran = api.DidRun
		return e
	}
	return nil
}

// run drives the call from Start until it is done.
func (r *runner) run() {
	r.step(r.partition.join(r))
	defer r.partition.leave(r)
	timer := time.NewTimer(time.Until(r.call.NextTick()))
	defer timer.Stop()
	for !r.call.Done() {
		select {
		case <-r.events.ready:
			for _, ev := range r.events.take() {
				r.step(ev)
			}
		case <-timer.C:
			r.step(Tick{})
		}
		timer.Reset(time.Until(r.call.NextTick()))
	}
}

func (r *runner) step(ev Event) {
	for _, a := range r.call.Step(time.Now(), ev) {
		r.perform(a)
	}
}

func (r *runner) perform(a Action) {
	switch a := a.(type) {
	case AppendClaim:
		r.appendClaim(a.Claim)
	case AppendRelease:
		r.appendRepeatable(a.Release, nil)
	case AppendOutcome:
		r.appendRepeatable(a.Outcome, func(error) { r.events.put(OutcomeAppendEnded{}) })
	case Pad:
		r.partition.pad(a.Until)
	case Send:
		r.client.workers.Go(func() { r.send(a) })
	case Query:
		r.client.workers.Go(func() { r.query(a) })
	case Fetch:
		r.client.workers.Go(func() { r.fetch(a) })
	case LookUp:
		r.client.workers.Go(r.lookUp)
	case Reply:
		r.reply <- callReply{reply: a, claims: r.call.Claims()}
	}
}

// appendRepeatable appends an idempotent record, with up to maxRecordAttempts
// attempts.
func (r *runner) appendRepeatable(rec record, done func(error)) {
	unstored := &r.client.unstored
	unstored.Add(1)
	r.partition.append(&queuedRecord{data: encode(rec), attemptsLeft: maxRecordAttempts, done: done, unstored: unstored})
}

func (r *runner) appendClaim(c *Claim) {
	r.partition.append(&queuedRecord{data: encode(c), attemptsLeft: 1, done: func(err error) {
		switch {
		case err == nil:
		case isRefused(err):
			r.events.put(AppendRefused{Nonce: c.Nonce})
		default:
			r.events.put(AppendUnknown{Nonce: c.Nonce})
		}
	}})
}

// context returns the context for one piece of work. It ends after timeout (0 for
// none), at workDeadline at the latest, and does not depend on the caller.
func (r *runner) context(timeout time.Duration) (context.Context, context.CancelFunc) {
	limit := r.workDeadline
	if timeout > 0 && time.Now().Add(timeout).Before(limit) {
		limit = time.Now().Add(timeout)
	}
	return context.WithDeadline(context.Background(), limit)
}

func (r *runner) send(a Send) {
	ctx, cancel := r.context(0)
	defer cancel()
	m := r.req.Message
	m.Idempotent = false
	m.Key = r.key.String()
	m.ClaimOffset = int64(a.Offset)
	m.ClaimStream = r.partition.stream
	m.Incarnation = a.Target.Incarnation
	m.BudgetMillis = time.Until(r.req.Deadline).Milliseconds()
	sent := r.client.options.Transport.Send(ctx, a.Target, &m)
	sent.Offset = a.Offset
	r.events.put(sent)
}

func (r *runner) query(a Query) {
	ctx, cancel := r.context(queryTimeout)
	defer cancel()
	answer, err := r.client.options.Transport.Query(ctx, a.Target, &wire.KeyQuery{
		Key:         r.key.String(),
		ClaimOffset: int64(a.Offset),
		ClaimStream: r.partition.stream,
		Incarnation: a.Target.Incarnation,
		Seal:        a.Seal,
	})
	if err != nil || answer.Key != r.key.String() {
		r.events.put(QueryFailed{Offset: a.Offset})
		return
	}
	r.events.put(QueryAnswered{Offset: a.Offset, State: answer.State, Answer: answer.Answer})
}

func (r *runner) fetch(a Fetch) {
	ctx, cancel := r.context(queryTimeout)
	defer cancel()
	batch, err := r.client.options.Log.Read(ctx, r.partition.stream, a.Offset, 1, 0)
	if err != nil || len(batch.Records) == 0 {
		r.events.put(FetchResult{})
		return
	}
	rec, err := decode(batch.Records[0].Data)
	outcome, ok := rec.(*Outcome)
	if err != nil || !ok || batch.Records[0].Offset != a.Offset {
		r.events.put(FetchResult{})
		return
	}
	r.events.put(FetchResult{Outcome: outcome})
}

func (r *runner) lookUp() {
	ctx, cancel := r.context(queryTimeout)
	defer cancel()
	answer, found := r.req.LookUp(ctx)
	r.events.put(LookUpResult{Found: found, Answer: answer})
}

// result converts a reply to the results of Do.
func (r *runner) result(a callReply) (Result, error) {
	res := Result{Answer: a.reply.Answer, Replayed: a.reply.Replayed, Side: a.reply.Side, Claims: a.claims}
	if a.reply.Err != nil {
		return res, a.reply.Err
	}
	return res, nil
}

// startEvent returns the Start event for key k. end is the last known end of the
// stream; down means that the log service does not answer.
func startEvent(t *Table, end backing.Offset, k Key, down bool) Start {
	return Start{View: t.Get(k), End: max(end, t.End()), LogDown: down}
}
