package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Bounds of a Client.
const (
	maxCalls      = 4096 // calls under way at once; more are refused
	maxWorkers    = 256  // sends, queries and reads at once
	appendsPerSec = 40   // appends a second of one entry, over all partitions
	appendBurst   = 20   // appends at once after a pause
	queryTimeout  = 2 * time.Second
	flushLimit    = 5 * time.Second // for records still owed when a Client is closed
	maxKeySkew    = time.Minute
)

// Transport reaches side processes.
type Transport interface {
	// Send sends m once to that incarnation of that side and waits for its
	// fate until ctx ends. SendNotStarted is a promise that nothing of m was written.
	Send(ctx context.Context, t Target, m *wire.Request) SendResult
	// Query asks a side, whatever its incarnation, about a claim.
	Query(ctx context.Context, t Target, q *wire.KeyQuery) (*wire.KeyAnswer, error)
}

// Options of a Client. All fields are needed.
type Options struct {
	Service   string
	Claimant  string // incarnation of this process
	Log       backing.Log
	Transport Transport
	Logger    *log.Logger
	Tuning    Tuning
}

// Request is one call that must not repeat.
type Request struct {
	Key      string
	Message  wire.Request  // what the side is sent; the claim's fields are filled in
	Deadline time.Time     // of the caller
	MaxAge   time.Duration // of keys; MaxKeyAge bounds it

	// Pick chooses the side, see CallConfig.
	Pick func(last *api.Error) (Target, *api.Error)
	// LookUp asks the service by key; nil when it cannot be asked. A false
	// result settles nothing.
	LookUp func(ctx context.Context) (wire.Answer, bool)
}

// Result is the answer to a Request.
type Result struct {
	Answer   wire.Answer
	Replayed bool   // of an earlier call with the same key
	Side     string // that the answer came from, as far as known
	Claims   int    // that the call made
}

// Client makes calls that must not repeat. It reads every claim stream of its
// service. It is safe for concurrent use. Lock order: partition.mu, then
// mailbox.mu.
type Client struct {
	opt     Options
	nonce   atomic.Uint64
	parts   [Partitions]*partition
	calls   pond.Pool // one worker for each call under way
	work    pond.Pool // sends, queries and reads
	limiter *rate.Limiter
	cancel  context.CancelFunc
	closed  atomic.Bool
	running sync.WaitGroup // calls under way
	owed    sync.WaitGroup // outcomes and releases that are not stored yet
}

// NewClient returns a Client that reads the claim streams until Close.
func NewClient(opt Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		opt:     opt,
		calls:   pond.NewPool(maxCalls, pond.WithQueueSize(maxCalls), pond.WithNonBlocking(true)),
		work:    pond.NewPool(maxWorkers),
		limiter: rate.NewLimiter(appendsPerSec, appendBurst),
		cancel:  cancel,
	}
	for i := range c.parts {
		c.parts[i] = newPartition(StreamName(opt.Service, i), opt.Log, c.limiter, opt.Logger)
		go c.parts[i].tail(ctx)
		go c.parts[i].write(ctx)
	}
	return c
}

// Close refuses new calls, waits until those under way are done and, at most
// flushLimit, until their outcomes and releases are recorded, or ctx ends; then
// it stops reading. Error: that of ctx.
func (c *Client) Close(ctx context.Context) error {
	defer c.cancel()
	c.closed.Store(true)
	if err := wait(ctx, &c.running); err != nil {
		return err
	}
	flush, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	if wait(flush, &c.owed) != nil {
		c.opt.Logger.Warn("claim-records-not-stored")
	}
	return ctx.Err()
}

// wait waits for group or the end of ctx, whose error it then returns.
func wait(ctx context.Context, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do makes one call and returns its answer. The call is carried on for a while
// after ctx has ended, so that its outcome is recorded. Errors: *api.Error.
func (c *Client) Do(ctx context.Context, req Request) (Result, error) {
	key, e := ParseKey(req.Key)
	if e != nil {
		return Result{}, e
	}
	r := newRunner(c, key, req)
	if e := c.begin(r); e != nil {
		return Result{}, e
	}
	select {
	case reply := <-r.reply:
		return r.result(reply)
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Result{}, api.NewError(api.DeadlineExceeded, "")
	}
	r.box.put(CallerGone{})
	return Result{}, api.NewError(api.Cancelled, "")
}

// begin hands a call to the pool.
func (c *Client) begin(r *runner) *api.Error {
	if c.closed.Load() {
		return api.NewError(api.Leaving, "")
	}
	c.running.Add(1)
	err := c.calls.Go(func() {
		defer c.running.Done()
		r.run()
	})
	if err != nil {
		c.running.Done()
		return api.NewError(api.Overloaded, "calls that may not repeat")
	}
	return nil
}
