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

// Timing and limits of the read and append loops of a partition.
const (
	readMaxWait       = 5 * time.Second        // longest time that a read waits for new records
	readRetryDelay    = 200 * time.Millisecond // delay after a failed read
	maxReadRecords    = 512                    // limit on the records of one read
	batchDelay        = 2 * time.Millisecond   // time in which the appends of several calls are collected into a batch
	maxBatchRecords   = 2048                   // limit on the records of one append
	maxQueuedRecords  = 8192                   // limit on the records waiting to be appended
	maxRecordAttempts = 600                    // limit on the append attempts of an idempotent record
	appendRetryDelay  = time.Second            // delay between such attempts
	appendTimeout     = 5 * time.Second        // limit on the duration of one append
)

// queuedRecord is a record waiting to be appended.
type queuedRecord struct {
	data         []byte
	attemptsLeft int             // 1 for a record that must not be appended twice
	done         func(err error) // optional; called once with the final result; must not block
	unstored     *sync.WaitGroup // optional; counts the record until its final result
}

func (rec *queuedRecord) finish(err error) {
	if rec.unstored != nil {
		rec.unstored.Done()
	}
	if rec.done != nil {
		rec.done(err)
	}
}

func isRefused(err error) bool { return errors.Is(err, backing.ErrRefused) }

// partition reads and appends to one claim stream.
//
// mu guards the fields below it. Lock order: mu before eventQueue.mu.
type partition struct {
	stream     string
	logService backing.Log
	limiter    *rate.Limiter
	logger     *log.Logger
	wake       chan struct{} // holds a token while records may be queued

	mu       sync.Mutex
	table    *Table
	end      backing.Offset // last known end of the stream
	down     bool           // the last read failed or no read has succeeded yet
	runners  map[*runner]struct{}
	queue    []*queuedRecord
	paddedTo backing.Offset // highest offset that queued padding reaches
}

func newPartition(stream string, service backing.Log, limiter *rate.Limiter, logger *log.Logger) *partition {
	return &partition{
		stream:     stream,
		logService: service,
		limiter:    limiter,
		logger:     logger,
		wake:       make(chan struct{}, 1),
		table:      NewTable(0),
		down:       true,
		runners:    make(map[*runner]struct{}),
		paddedTo:   backing.NoOffset,
	}
}

// join registers a call. The call is notified of every record that the returned
// Start does not cover.
func (p *partition) join(r *runner) Start {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runners[r] = struct{}{}
	return startEvent(p.table, p.end, r.key, p.down)
}

// view returns the state of a key.
func (p *partition) view(k Key) View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Get(k)
}

func (p *partition) leave(r *runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runners, r)
}

// append queues a record. If the queue is full, the record fails with
// backing.ErrRefused.
func (p *partition) append(rec *queuedRecord) {
	p.mu.Lock()
	full := len(p.queue) >= maxQueuedRecords
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

// pad queues padding records that move the end of the stream beyond until, unless
// they are queued already.
func (p *partition) pad(until backing.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paddedTo >= until {
		return
	}
	from := max(p.end, p.paddedTo+1)
	for at := from; at <= until; at++ {
		p.queue = append(p.queue, &queuedRecord{data: padding(), attemptsLeft: 1})
	}
	p.paddedTo = until
	p.signal()
}

// write appends queued records, one batch at a time, until ctx ends.
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

func (p *partition) take() []*queuedRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.queue), maxBatchRecords)
	batch := p.queue[:n:n]
	p.queue = p.queue[n:]
	if len(p.queue) > 0 {
		p.signal()
	}
	return batch
}

// appendBatch appends a batch with one append. Failed records with attempts left
// are queued again; the others get their final result.
func (p *partition) appendBatch(ctx context.Context, batch []*queuedRecord) {
	if len(batch) == 0 {
		return
	}
	records := make([][]byte, len(batch))
	for i, rec := range batch {
		records[i] = rec.data
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := p.logService.Append(ctx, p.stream, records)
	if err != nil {
		p.logger.Warn("claim-append-failed", "stream", p.stream, "records", len(batch), "err", err)
		p.resetPadding()
	}
	for _, rec := range batch {
		rec.attemptsLeft--
		if err != nil && rec.attemptsLeft > 0 {
			time.AfterFunc(appendRetryDelay, func() { p.append(rec) })
			continue
		}
		rec.finish(err)
	}
}

// resetPadding allows padding to be queued again after a failed append.
func (p *partition) resetPadding() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paddedTo = backing.NoOffset
}

// tail reads the stream and applies its records until ctx ends.
func (p *partition) tail(ctx context.Context) {
	wait := time.Duration(0) // do not wait for records until a read has shown that the log is up
	for ctx.Err() == nil {
		batch, err := p.logService.Read(ctx, p.stream, p.table.End(), maxReadRecords, wait)
		switch {
		case errors.Is(err, backing.ErrTrimmed):
			p.resetTable(batch.Start)
		case err != nil:
			p.setDown()
			sleep(ctx, readRetryDelay)
			wait = 0
		default:
			p.apply(batch)
			wait = readMaxWait
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

// resetTable starts an empty Table at the first retained offset after unread records
// were trimmed. The calls are notified, unless nothing had been read yet.
func (p *partition) resetTable(from backing.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	initial := p.table.End() == 0
	p.table = NewTable(from)
	p.end = max(p.end, from)
	if initial {
		return
	}
	p.logger.Warn("claim-stream-gap", "stream", p.stream, "from", from)
	for r := range p.runners {
		r.events.put(RecordsTrimmed{})
	}
}

// apply applies a batch to the Table and notifies the calls of this partition.
func (p *partition) apply(batch backing.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	p.end = max(p.end, batch.End)
	verdicts := make(map[Key][]ApplyResult)
	for _, rec := range batch.Records {
		if res := p.table.Apply(rec); res.Verdict != VerdictNone {
			verdicts[res.Key] = append(verdicts[res.Key], res)
		}
	}
	if len(batch.Records) == 0 {
		return
	}
	for r := range p.runners {
		p.notify(r, verdicts[r.key])
	}
}

// notify sends a call the verdicts on the claims of this process for its key, then
// the current state of the key. The caller holds mu.
func (p *partition) notify(r *runner, results []ApplyResult) {
	ev := RecordsApplied{View: p.table.Get(r.key), End: p.table.End()}
	for _, res := range results {
		if res.Claimant != r.client.options.Claimant {
			continue
		}
		own := ev
		own.Verdict, own.Nonce, own.Offset = res.Verdict, res.Nonce, res.Offset
		r.events.put(own)
	}
	r.events.put(ev)
}
