package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"marjorampitch/backing"
)

// Timing and bounds of a partition's loops.
const (
	readWait     = 5 * time.Second        // longest time that a read waits for a record
	readRetry    = 200 * time.Millisecond // after a failed read
	readLimit    = 512                    // records in one read
	batchDelay   = 2 * time.Millisecond   // time in which appends of several calls gather
	batchRecords = 2048                   // records in one append
	maxPending   = 8192                   // records waiting to be appended
	recordTries  = 600                    // appends of a record that may be repeated
	appendRetry  = time.Second            // before such a record is appended again
	appendLimit  = 5 * time.Second        // for one append
)

// pending is a record to be appended.
type pending struct {
	data  []byte
	tries int             // appends left; 1 for a record that must not be repeated
	done  func(err error) // nil, or called once at the end; it must not block
	owed  *sync.WaitGroup // nil, or counts the record until its end
}

func (p *pending) finish(err error) {
	if p.owed != nil {
		p.owed.Done()
	}
	if p.done != nil {
		p.done(err)
	}
}

func isRefused(err error) bool { return errors.Is(err, backing.ErrRefused) }

// partition reads and writes one claim stream.
//
// mu guards the fields below it. Lock order: mu, then mailbox.mu.
type partition struct {
	stream  string
	service backing.Log
	limiter *rate.Limiter
	log     *log.Logger
	wake    chan struct{} // holds a token when something waits to be appended

	mu      sync.Mutex
	table   *Table
	end     backing.Offset // of the stream, as last seen
	down    bool           // the last read failed, or none was made
	runners map[*runner]struct{}
	queue   []*pending
	padded  backing.Offset // the stream is being padded up to here
}

func newPartition(stream string, service backing.Log, limiter *rate.Limiter, logger *log.Logger) *partition {
	return &partition{
		stream:  stream,
		service: service,
		limiter: limiter,
		log:     logger,
		wake:    make(chan struct{}, 1),
		table:   NewTable(0),
		down:    true,
		runners: make(map[*runner]struct{}),
		padded:  backing.None,
	}
}

// join registers a call: it misses no record after the Start that it gets.
func (p *partition) join(r *runner) Start {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runners[r] = struct{}{}
	return joined(p.table, p.end, r.key, p.down)
}

func (p *partition) leave(r *runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runners, r)
}

// append queues a record; a full queue refuses it.
func (p *partition) append(rec *pending) {
	p.mu.Lock()
	full := len(p.queue) >= maxPending
	if !full {
		p.queue = append(p.queue, rec)
	}
	p.mu.Unlock()
	if full {
		rec.finish(backing.ErrRefused)
		return
	}
	p.signal()
}

func (p *partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// pad queues records that count for nothing until the stream's end lies beyond
// until, unless that is under way.
func (p *partition) pad(until backing.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.padded >= until {
		return
	}
	from := max(p.end, p.padded+1)
	for at := from; at <= until; at++ {
		p.queue = append(p.queue, &pending{data: padding(), tries: 1})
	}
	p.padded = until
	p.signal()
}

// write appends what is queued, one batch at a time, until ctx ends.
func (p *partition) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		if p.limiter.Wait(ctx) != nil {
			return
		}
		time.Sleep(batchDelay)
		p.appendBatch(ctx, p.take())
	}
}

func (p *partition) take() []*pending {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.queue), batchRecords)
	batch := p.queue[:n:n]
	p.queue = p.queue[n:]
	if len(p.queue) > 0 {
		p.signal()
	}
	return batch
}

// appendBatch appends a batch in one go and tells each record's fate.
func (p *partition) appendBatch(ctx context.Context, batch []*pending) {
	if len(batch) == 0 {
		return
	}
	records := make([][]byte, len(batch))
	for i, rec := range batch {
		records[i] = rec.data
	}
	ctx, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	_, err := p.service.Append(ctx, p.stream, records)
	if err != nil {
		p.log.Warn("claim-append-failed", "stream", p.stream, "records", len(batch), "err", err)
		p.unpad()
	}
	for _, rec := range batch {
		rec.tries--
		if err != nil && rec.tries > 0 {
			time.AfterFunc(appendRetry, func() { p.append(rec) })
			continue
		}
		rec.finish(err)
	}
}

// unpad lets padding be asked for again after an append failed.
func (p *partition) unpad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.padded = backing.None
}

// tail folds the stream in until ctx ends.
func (p *partition) tail(ctx context.Context) {
	wait := time.Duration(0) // until a read has succeeded: its answer says that the log is up
	for ctx.Err() == nil {
		batch, err := p.service.Read(ctx, p.stream, p.table.End(), readLimit, wait)
		switch {
		case errors.Is(err, backing.ErrTrimmed):
			p.restart(batch.Start)
		case err != nil:
			p.setDown()
			sleep(ctx, readRetry)
			wait = 0
		default:
			p.fold(batch)
			wait = readWait
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (p *partition) setDown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
}

// restart begins anew after records were trimmed that had not been read.
func (p *partition) restart(from backing.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.table.End() == 0
	p.table = NewTable(from)
	p.end = max(p.end, from)
	if first {
		return
	}
	p.log.Warn("claim-stream-gap", "stream", p.stream, "from", from)
	for r := range p.runners {
		r.box.put(RecordsTrimmed{})
	}
}

// fold applies a batch and tells the calls of this partition.
func (p *partition) fold(batch backing.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	p.end = max(p.end, batch.End)
	verdicts := make(map[Key][]ApplyResult)
	for _, rec := range batch.Records {
		if j := p.table.Apply(rec); j.Verdict != VerdictNone {
			verdicts[j.Key] = append(verdicts[j.Key], j)
		}
	}
	if len(batch.Records) == 0 {
		return
	}
	for r := range p.runners {
		p.tell(r, verdicts[r.key])
	}
}

// tell gives a call the verdicts on its own claims, then where the fold stands.
// The caller holds mu.
func (p *partition) tell(r *runner, js []ApplyResult) {
	ev := RecordsApplied{View: p.table.Get(r.key), End: p.table.End()}
	for _, j := range js {
		if j.Claimant != r.client.opt.Claimant {
			continue
		}
		own := ev
		own.Verdict, own.Nonce, own.Offset = j.Verdict, j.Nonce, j.Offset
		r.box.put(own)
	}
	r.box.put(ev)
}
