package peerread

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"marjorampitch/store"
	"marjorampitch/wire"
)

// answerTimeout is the time limit of an answer, in addition to the time for which the
// reader may wait for a record.
const answerTimeout = 250 * time.Millisecond

// directTime is the time for which a gateway reads the store itself once it has come back
// from an older copy. The proofs that a gateway then needs come sooner than through a reader.
const directTime = 2 * time.Second

// TopicOptions are the settings of a Topic.
type TopicOptions struct {
	Name string // topic of the store
	// Wait is the time for which a reader may wait for a record before it answers.
	Wait time.Duration
	// ReaderWait is the longest long-poll time with which a reader reads the store. The
	// proof of a poll that returns nothing is as old as the poll, so that the age of a
	// reader's proof is up to twice as much.
	ReaderWait time.Duration
	// MaxAge is the greatest age of the proof of an answer. It must exceed the age that a
	// reader's proof usually reaches.
	MaxAge time.Duration
	// Timeout is the time limit of a call to the store, in addition to its long-poll time.
	Timeout time.Duration
	Filter  Filter // may be nil
}

// RequestTime is the longest time that a request to a reader takes.
func (o *TopicOptions) RequestTime() time.Duration { return o.Wait + answerTimeout }

// Topic reads one topic of the store, through a reader if there is one. It implements
// store.Reader for the topic of its options. Read and Newest must not be called
// concurrently.
type Topic struct {
	link  *Link
	store store.Reader
	opts  TopicOptions

	caughtUp bool          // the store was read to the end since the last snapshot
	direct   time.Duration // until then the store is read, as it has come back from an older copy
	source   string        // of the last successful read: a reader, or "store"; for the log

	mu    sync.Mutex // guards all below
	asker *Asker
	desk  *Desk
}

// Topic returns the Topic with the given options. Each topic is added once, before
// requests arrive. Without a Link the Topic only reads the store.
func (l *Link) Topic(s store.Reader, opts TopicOptions) *Topic {
	t := &Topic{link: l, store: s, opts: opts, asker: NewAsker(l.opts.Instance), desk: NewDesk(opts.MaxAge, opts.Filter)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topics[opts.Name] = t
	return t
}

// Newest implements store.Reader. It reads the store.
func (t *Topic) Newest(ctx context.Context, topic string) (store.Batch, error) {
	t.caughtUp = false
	ctx, cancel := context.WithTimeout(ctx, t.opts.Timeout)
	defer cancel()
	return t.store.Newest(ctx, topic)
}

// Read implements store.Reader. It asks the readers, and reads the store if this
// gateway is the first reader, or if no reader has current records.
func (t *Topic) Read(ctx context.Context, topic string, from store.Position, wait time.Duration) (store.Batch, error) {
	if !t.caughtUp || t.link.opts.Clock() < t.direct || !t.link.connected() {
		return t.readStore(ctx, topic, from, wait)
	}
	entries := t.link.opts.Entries()
	t.setReaders(Readers(entries, t.link.opts.DataCentre))
	failed := false // a request of this read has failed: the next reader is to answer at once
	for ctx.Err() == nil {
		reader, trial := t.nextTarget()
		if reader == "" {
			break
		}
		batch, outcome := t.ask(ctx, reader, entries[reader].Address, from, trial || failed)
		t.record(reader, outcome)
		if outcome == Answered {
			t.logSource(reader)
			return batch, nil
		}
		wait = 0 // to learn at once whether there are records
		if outcome == Gap || outcome == Lost && (failed || !trial) {
			break
		}
		failed = true
	}
	return t.readStore(ctx, topic, from, wait)
}

// setReaders sets the readers.
func (t *Topic) setReaders(readers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asker.SetReaders(readers)
}

// nextTarget returns the reader to ask.
func (t *Topic) nextTarget() (reader string, trial bool) {
	now := t.link.opts.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asker.Target(now)
}

// record records the outcome of a request. It logs the first failure of a reader since
// its last answer.
func (t *Topic) record(reader string, o Outcome) {
	now := t.link.opts.Clock()
	t.mu.Lock()
	first := t.asker.Record(now, reader, o)
	t.mu.Unlock()
	if t.link.opts.Observe != nil {
		t.link.opts.Observe(t.opts.Name, o.String())
	}
	if first {
		t.link.opts.Log.Info("relay-failed", "topic", t.opts.Name, "reader", reader, "outcome", o)
	}
}

// storeSource is the name of the store as a source in log lines.
const storeSource = "store"

// logSource logs a change of the source that is read.
func (t *Topic) logSource(source string) {
	if source != t.source {
		t.link.opts.Log.Info("relay-source", "topic", t.opts.Name, "source", source, "before", t.source)
		t.source = source
	}
}

// ask asks a reader for the records from an offset on.
func (t *Topic) ask(ctx context.Context, reader, address string, from store.Position, trial bool) (store.Batch, Outcome) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		t.link.opts.Log.Warn("relay-address-refused", "reader", reader, "err", err)
		return store.Batch{}, Lost
	}
	request := wire.LogRequest{Topic: t.opts.Name, Era: from.Era, From: from.Offset}
	limit := answerTimeout
	if !trial {
		request.WaitMillis = t.opts.Wait.Milliseconds()
		limit += t.opts.Wait
	}
	nonce, answer := t.link.begin(to)
	defer t.link.end(nonce)
	request.Nonce = nonce
	asked := t.link.opts.Clock() // before the request is sent: see the package comment
	t.link.sendTo(wire.KindLogRequest, &request, to)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case a := <-answer:
		return t.accept(a, from, asked)
	case <-timer.C:
	case <-ctx.Done():
	}
	return store.Batch{}, Lost
}

// accept checks the answer to a request that was sent at the given time.
func (t *Topic) accept(a *wire.LogAnswer, from store.Position, asked time.Duration) (store.Batch, Outcome) {
	now := t.link.opts.Clock()
	proof := asked + time.Duration(a.Proof)
	switch {
	case a.Status == wire.LogGap, a.Status == wire.LogOK && a.Era != from.Era:
		return store.Batch{}, Gap
	case a.Status != wire.LogOK || a.Next < from.Offset || proof > now:
		return store.Batch{}, Refused
	case now-proof > t.opts.MaxAge:
		return store.Batch{}, Stale
	}
	records, err := unpack(a)
	if err != nil {
		t.link.opts.Log.Warn("datagram-refused", "topic", t.opts.Name, "err", err)
		return store.Batch{}, Refused
	}
	b := store.Batch{Next: store.Position{Era: a.Era, Offset: a.Next}, End: a.Next, CurrentAt: proof, Relayed: true}
	for _, r := range records {
		record := store.Record{Key: r.Key}
		if len(r.Value) > 0 {
			record.Value = r.Value
		}
		b.Records = append(b.Records, record)
	}
	return b, Answered
}

// readStore reads the store, and answers waiting requests if this gateway is a reader.
func (t *Topic) readStore(ctx context.Context, topic string, from store.Position, wait time.Duration) (store.Batch, error) {
	reader := t.isReader()
	if reader {
		wait = min(wait, t.opts.ReaderWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+t.opts.Timeout)
	defer cancel()
	start := t.link.opts.Clock()
	b, err := t.store.Read(ctx, topic, from, wait)
	if err != nil {
		t.mu.Lock()
		t.desk.Clear()
		t.mu.Unlock()
		if errors.Is(err, store.ErrRestored) {
			t.direct = t.link.opts.Clock() + directTime
		}
		return store.Batch{}, err
	}
	t.logSource(storeSource)
	b.CurrentAt = start
	t.caughtUp = t.caughtUp || b.Next.Offset >= b.End
	if reader {
		now := t.link.opts.Clock()
		t.mu.Lock()
		replies := t.desk.Add(now, from, &b, start)
		t.mu.Unlock()
		t.link.reply(replies)
	}
	return b, nil
}

// isReader reports whether this gateway is one of the readers.
func (t *Topic) isReader() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asker.IsReader()
}

// handleRequest handles a request of another gateway.
func (t *Topic) handleRequest(r *wire.LogRequest, from netip.AddrPort) {
	now := t.link.opts.Clock()
	t.mu.Lock()
	replies, due := t.desk.Request(now, now, from, r)
	t.mu.Unlock()
	if len(replies) == 0 {
		time.AfterFunc(due-now+time.Millisecond, t.replyDue)
	}
	t.link.reply(replies)
}

// replyDue answers the requests that have waited long enough.
func (t *Topic) replyDue() {
	now := t.link.opts.Clock()
	t.mu.Lock()
	replies := t.desk.Due(now)
	t.mu.Unlock()
	t.link.reply(replies)
}
