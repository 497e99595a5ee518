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

// Limits of a Client.
const (
	maxCalls      = 4096 // running calls, and also queued calls; further calls are refused
	maxWorkers    = 256  // concurrent sends, queries, outcome reads and look-ups
	appendsPerSec = 40   // appends per second of one front proxy, over all partitions
	appendBurst   = 20   // burst of the append rate limiter
	queryTimeout  = 2 * time.Second
	flushTimeout  = 5 * time.Second // longest time that Close waits for records that are not stored yet
	maxKeySkew    = time.Minute
)

// Transport sends requests and queries to sidecars.
type Transport interface {
	// Send sends m once, only to the incarnation that t names, and waits for the
	// result until ctx ends. SendNotStarted guarantees that no byte of m was
	// written.
	Send(ctx context.Context, t Target, m *wire.Request) SendResult
	// Query queries the sidecar named t.Side about a claim, whatever its current
	// incarnation.
	Query(ctx context.Context, t Target, q *wire.KeyQuery) (*wire.KeyAnswer, error)
}

// Options of a Client. All fields are required.
type Options struct {
	Service   string
	Claimant  string // incarnation of this process
	Log       backing.Log
	Transport Transport
	Logger    *log.Logger
	Tuning    Tuning
}

// Request describes one non-idempotent call.
type Request struct {
	Key      string
	Message  wire.Request  // request to the sidecar; Do sets the fields of the claim
	Deadline time.Time     // deadline of the caller
	MaxAge   time.Duration // maximum age of a key; values above MaxKeyAge are lowered to it

	// Pick selects the sidecar for a claim, see CallConfig.Pick.
	Pick func(last *api.Error) (Target, *api.Error)
	// LookUp looks the key up at the service; nil if the service does not support
	// that. A false result does not mean that the call did not run.
	LookUp func(ctx context.Context) (wire.Answer, bool)
}

// Result is the answer to a Request.
type Result struct {
	Answer   wire.Answer
	Replayed bool   // the answer comes from a run under another call's claim
	Side     string // sidecar that ran the call, "" if unknown
	Claims   int    // claims that the call made
}

// Client makes non-idempotent calls. It reads every claim stream of its service.
// It is safe for concurrent use. Lock order: partition.mu before eventQueue.mu.
type Client struct {
	options    Options
	nonce      atomic.Uint64
	partitions [Partitions]*partition
	calls      pond.Pool // one worker per call
	workers    pond.Pool // sends, queries, outcome reads and look-ups
	limiter    *rate.Limiter
	cancel     context.CancelFunc
	closed     atomic.Bool
	running    sync.WaitGroup // calls in progress
	unstored   sync.WaitGroup // outcomes and releases that are not stored yet
}

// NewClient starts a Client. It reads the claim streams until Close.
func NewClient(opt Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		options: opt,
		calls:   pond.NewPool(maxCalls, pond.WithQueueSize(maxCalls), pond.WithNonBlocking(true)),
		workers: pond.NewPool(maxWorkers),
		limiter: rate.NewLimiter(appendsPerSec, appendBurst),
		cancel:  cancel,
	}
	for i := range c.partitions {
		c.partitions[i] = newPartition(StreamName(opt.Service, i), opt.Log, c.limiter, opt.Logger)
		go c.partitions[i].tail(ctx)
		go c.partitions[i].write(ctx)
	}
	return c
}

// Close refuses new calls and waits until the calls in progress have ended and then,
// for at most flushTimeout, until their outcomes and releases are stored. It stops
// waiting when ctx ends. It then stops the reads and appends. Errors: ctx.Err().
func (c *Client) Close(ctx context.Context) error {
	defer c.cancel()
	c.closed.Store(true)
	if err := wait(ctx, &c.running); err != nil {
		return err
	}
	flush, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if wait(flush, &c.unstored) != nil {
		c.options.Logger.Warn("claim-records-not-stored")
	}
	return ctx.Err()
}

// wait waits for group. If ctx ends first, it returns the error of ctx.
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

// Do makes one call and returns its answer. After ctx has ended, the call continues
// for at most Tuning.BackgroundLimit past its deadline, so that its outcome is
// stored. Errors: *api.Error.
func (c *Client) Do(ctx context.Context, req Request) (Result, error) {
	key, e := ParseKey(req.Key)
	if e != nil {
		return Result{}, e
	}
	r := newRunner(c, key, req)
	if e := c.start(r); e != nil {
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
	r.events.put(CallerGone{})
	return Result{}, api.NewError(api.Cancelled, "")
}

// start runs a call on the pool. Errors: api.Leaving after Close, api.Overloaded
// when maxCalls calls are running and as many are queued; if the log shows an
// earlier call with the key, those of earlierCall instead.
func (c *Client) start(r *runner) *api.Error {
	if c.closed.Load() {
		return r.refuse(api.NewError(api.Leaving, ""))
	}
	c.running.Add(1)
	err := c.calls.Go(func() {
		defer c.running.Done()
		r.run()
	})
	if err != nil {
		c.running.Done()
		return r.refuse(api.NewError(api.Overloaded, "calls that may not repeat"))
	}
	return nil
}
