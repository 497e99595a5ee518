package claim

import (
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Target identifies one incarnation of a sidecar.
type Target struct {
	Side        string // instance name
	Incarnation string
}

// Tuning holds the timeouts and limits of a Call.
type Tuning struct {
	Window          int64         // validity of a claim, in offsets past the known end of the stream
	MaxClaims       int           // limit on successive claims of one call
	PadAfter        time.Duration // delay before padding the stream when the response to an append was lost
	ReplyWait       time.Duration // time after which an unanswered query or outcome read is repeated
	PollInterval    time.Duration // delay before a query or outcome read is repeated after an inconclusive answer
	SealDelay       time.Duration // time that another call's claim is queried before it is sealed
	OutcomeWait     time.Duration // longest time that an answer is delayed until its outcome record is appended
	BackgroundLimit time.Duration // longest time that a call continues after its deadline
}

// DefaultTuning returns the values used in production.
func DefaultTuning() Tuning {
	return Tuning{
		Window:          1024,
		MaxClaims:       4,
		PadAfter:        300 * time.Millisecond,
		ReplyWait:       3 * time.Second,
		PollInterval:    100 * time.Millisecond,
		SealDelay:       500 * time.Millisecond,
		OutcomeWait:     250 * time.Millisecond,
		BackgroundLimit: 30 * time.Second,
	}
}

// CallConfig describes one non-idempotent call.
type CallConfig struct {
	Key         Key
	Fingerprint uint64
	Claimant    string        // incarnation of the front proxy
	Nonce       func() uint64 // unique within the claimant
	Deadline    time.Time     // deadline of the caller
	Limits      KeyLimits
	CanLookUp   bool // the service supports look-up by key
	Tuning      Tuning

	// Pick selects the sidecar for a claim. last is the error that refused the
	// call's previous claim, or nil. An error of Pick becomes the result of the
	// call and must mean "not run".
	Pick func(last *api.Error) (Target, *api.Error)
}

// phase is the current phase of a Call.
type phase uint8

const (
	phaseNew       phase = iota
	phaseClaiming        // a claim is being appended and read back
	phaseSent            // a Send was emitted and its result is awaited
	phaseQuerying        // a sidecar is queried about a claim
	phaseFetching        // the outcome record is being read
	phaseStoring         // the outcome record is being appended
	phaseLookingUp       // the service is looking up the key
	phaseDone
)

// trackedClaim is the claim whose outcome a Call waits for.
type trackedClaim struct {
	target Target
	offset backing.Offset
	own    bool // appended by this call
}

// Call is the state machine of one non-idempotent call in the front proxy.
// It is not safe for concurrent use.
type Call struct {
	cfg        CallConfig
	now        time.Time
	out        []Action
	phase      phase
	callerDone bool // the caller was answered or has disconnected

	view View
	end  backing.Offset

	claimCount    int
	claim         *Claim
	appendUnknown bool           // the response to the append was lost and the claim has not been read back
	closedOffset  backing.Offset // own claim that did not run and can no longer run
	tracked       trackedClaim
	queryStart    time.Time // when the sidecar was first queried about tracked
	timer         time.Time // expiry of the timer of the current phase; zero for none

	answer        wire.Answer
	replayed      bool
	trimmed       bool       // the log was trimmed past unread records
	lookUpErr     *api.Error // result of the call if the look-up finds nothing
	answerDropped bool       // the outcome record has no body (Outcome.Dropped)
}

// NewCall returns a call whose first event must be Start.
func NewCall(cfg CallConfig) *Call {
	return &Call{cfg: cfg, closedOffset: backing.NoOffset}
}

// Done reports whether the call has ended; further events have no effect.
func (c *Call) Done() bool { return c.phase == phaseDone }

// Claims returns the number of claims that the call has made.
func (c *Call) Claims() int { return c.claimCount }

// NextTick returns when the next Tick is due.
func (c *Call) NextTick() time.Time {
	limit := c.cfg.Deadline
	if c.callerDone {
		limit = limit.Add(c.cfg.Tuning.BackgroundLimit)
	}
	if !c.timer.IsZero() && c.timer.Before(limit) {
		return c.timer
	}
	return limit
}

// Step handles one event at the time now and returns the actions to perform, in
// order.
func (c *Call) Step(now time.Time, ev Event) []Action {
	if c.phase == phaseDone {
		return nil
	}
	c.now = now
	c.out = nil
	c.handle(ev)
	return c.out
}

func (c *Call) handle(ev Event) {
	switch ev := ev.(type) {
	case Start:
		c.onStart(ev)
	case AppendRefused:
		c.onAppendRefused(ev)
	case AppendUnknown:
		c.onAppendUnknown(ev)
	case RecordsApplied:
		c.onRecordsApplied(ev)
	case RecordsTrimmed:
		c.onRecordsTrimmed()
	case SendResult:
		c.onSendResult(ev)
	case QueryAnswered:
		c.onQueryAnswered(ev)
	case QueryFailed:
		c.onQueryFailed(ev)
	case OutcomeAppendEnded:
		c.onOutcomeAppendEnded()
	case FetchResult:
		c.onFetchResult(ev)
	case LookUpResult:
		c.onLookUpResult(ev)
	case CallerGone:
		c.callerDone = true
	case Tick:
		c.onTick()
	}
}

func (c *Call) emit(a Action) { c.out = append(c.out, a) }

// enter switches to phase p and starts its timer; after 0 means no timer.
func (c *Call) enter(p phase, after time.Duration) {
	c.phase = p
	c.timer = time.Time{}
	if after > 0 {
		c.timer = c.now.Add(after)
	}
}

// fail ends the call with the error err.
func (c *Call) fail(err *api.Error) {
	c.reply(Reply{Err: err})
	c.enter(phaseDone, 0)
}

// reply answers the caller, unless the caller was answered or has disconnected.
func (c *Call) reply(r Reply) {
	if c.callerDone {
		return
	}
	c.callerDone = true
	c.emit(r)
}

func (c *Call) onStart(ev Start) {
	if c.phase != phaseNew {
		return
	}
	c.view, c.end = ev.View, ev.End
	if err := c.cfg.Limits.Check(c.cfg.Key, c.now); err != nil {
		c.fail(err)
		return
	}
	if ev.LogDown && c.view.Phase == KeyFree {
		c.fail(logUnavailable())
		return
	}
	c.decide(nil)
}

func (c *Call) onTick() {
	if !c.callerDone && !c.now.Before(c.cfg.Deadline) {
		c.reply(Reply{Err: api.NewError(api.DeadlineExceeded, "")})
	}
	limit := c.cfg.Deadline.Add(c.cfg.Tuning.BackgroundLimit)
	if c.callerDone && !c.now.Before(limit) {
		c.enter(phaseDone, 0)
		return
	}
	if c.timer.IsZero() || c.now.Before(c.timer) {
		return
	}
	switch c.phase {
	case phaseClaiming:
		c.timer = c.now.Add(c.cfg.Tuning.PadAfter)
		c.emit(Pad{Until: backing.Offset(c.claim.ValidUntil)})
	case phaseQuerying:
		c.query()
	case phaseFetching:
		c.fetchOutcome()
	case phaseStoring:
		c.onOutcomeAppendEnded()
	}
}
