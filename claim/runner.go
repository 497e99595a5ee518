package claim

import (
	"context"
	"sync"
	"time"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

// mailbox queues the events of one call. put never blocks.
type mailbox struct {
	mu     sync.Mutex
	events []Event
	ready  chan struct{} // holds a token when there is something to take
}

func (b *mailbox) put(ev Event) {
	b.mu.Lock()
	b.events = append(b.events, ev)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

func (b *mailbox) take() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = nil
	return events
}

// answered is what a caller gets.
type answered struct {
	reply  Reply
	claims int
}

// runner drives one Call: it performs the actions and feeds the events back.
type runner struct {
	client *Client
	part   *partition
	key    Key
	req    Request
	call   *Call
	box    mailbox
	reply  chan answered // receives once
	limit  time.Time     // no work is begun or waited for after this
}

func newRunner(c *Client, key Key, req Request) *runner {
	r := &runner{
		client: c,
		part:   c.parts[key.Partition()],
		key:    key,
		req:    req,
		box:    mailbox{ready: make(chan struct{}, 1)},
		reply:  make(chan answered, 1),
		limit:  req.Deadline.Add(c.opt.Tuning.BackgroundLimit),
	}
	r.call = NewCall(CallConfig{
		Key:         key,
		Fingerprint: req.Message.Fingerprint,
		Claimant:    c.opt.Claimant,
		Nonce:       func() uint64 { return c.nonce.Add(1) },
		Deadline:    req.Deadline,
		Limits:      KeyLimits{MaxAge: min(req.MaxAge, MaxKeyAge), MaxSkew: maxKeySkew},
		CanLookUp:   req.LookUp != nil,
		Tuning:      c.opt.Tuning,
		Pick:        req.Pick,
	})
	return r
}

// run takes the call from Start to its end.
func (r *runner) run() {
	r.step(r.part.join(r))
	defer r.part.leave(r)
	timer := time.NewTimer(time.Until(r.call.NextTick()))
	defer timer.Stop()
	for !r.call.Done() {
		select {
		case <-r.box.ready:
			for _, ev := range r.box.take() {
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
		r.act(a)
	}
}

func (r *runner) act(a Action) {
	switch a := a.(type) {
	case AppendClaim:
		r.appendClaim(a.Claim)
	case AppendRelease:
		r.owe(a.Release, nil)
	case AppendOutcome:
		r.owe(a.Outcome, func(error) { r.box.put(OutcomeAppendEnded{}) })
	case Pad:
		r.part.pad(a.Until)
	case Send:
		r.client.work.Go(func() { r.send(a) })
	case Query:
		r.client.work.Go(func() { r.query(a) })
	case Fetch:
		r.client.work.Go(func() { r.fetch(a) })
	case LookUp:
		r.client.work.Go(r.lookUp)
	case Reply:
		r.reply <- answered{reply: a, claims: r.call.Claims()}
	}
}

// owe appends a record that may be repeated, as often as it takes.
func (r *runner) owe(rec record, done func(error)) {
	owed := &r.client.owed
	owed.Add(1)
	r.part.append(&pending{data: encode(rec), tries: recordTries, done: done, owed: owed})
}

func (r *runner) appendClaim(c *Claim) {
	r.part.append(&pending{data: encode(c), tries: 1, done: func(err error) {
		switch {
		case err == nil:
		case isRefused(err):
			r.box.put(AppendRefused{Nonce: c.Nonce})
		default:
			r.box.put(AppendUnknown{Nonce: c.Nonce})
		}
	}})
}

// context bounds the work for the call, whose caller may have gone.
func (r *runner) context(timeout time.Duration) (context.Context, context.CancelFunc) {
	limit := r.limit
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
	m.ClaimStream = r.part.stream
	m.Incarnation = a.Target.Incarnation
	m.BudgetMillis = time.Until(r.req.Deadline).Milliseconds()
	sent := r.client.opt.Transport.Send(ctx, a.Target, &m)
	sent.Offset = a.Offset
	r.box.put(sent)
}

func (r *runner) query(a Query) {
	ctx, cancel := r.context(queryTimeout)
	defer cancel()
	answer, err := r.client.opt.Transport.Query(ctx, a.Target, &wire.KeyQuery{
		Key:         r.key.String(),
		ClaimOffset: int64(a.Offset),
		ClaimStream: r.part.stream,
		Incarnation: a.Target.Incarnation,
		Seal:        a.Seal,
	})
	if err != nil || answer.Key != r.key.String() {
		r.box.put(QueryFailed{Offset: a.Offset})
		return
	}
	r.box.put(QueryAnswered{Offset: a.Offset, State: answer.State, Answer: answer.Answer})
}

func (r *runner) fetch(a Fetch) {
	ctx, cancel := r.context(queryTimeout)
	defer cancel()
	batch, err := r.client.opt.Log.Read(ctx, r.part.stream, a.Offset, 1, 0)
	if err != nil || len(batch.Records) == 0 {
		r.box.put(FetchResult{})
		return
	}
	rec, err := decode(batch.Records[0].Data)
	outcome, ok := rec.(*Outcome)
	if err != nil || !ok || batch.Records[0].Offset != a.Offset {
		r.box.put(FetchResult{})
		return
	}
	r.box.put(FetchResult{Outcome: outcome})
}

func (r *runner) lookUp() {
	ctx, cancel := r.context(queryTimeout)
	defer cancel()
	answer, found := r.req.LookUp(ctx)
	r.box.put(LookUpResult{Found: found, Answer: answer})
}

// result turns the call's reply into what Do returns.
func (r *runner) result(a answered) (Result, error) {
	res := Result{Answer: a.reply.Answer, Replayed: a.reply.Replayed, Side: a.reply.Side, Claims: a.claims}
	if a.reply.Err != nil {
		return res, a.reply.Err
	}
	return res, nil
}

// joined is what a partition knows when a call joins it.
func joined(t *Table, end backing.Offset, k Key, down bool) Start {
	return Start{View: t.Get(k), End: max(end, t.End()), LogDown: down}
}
