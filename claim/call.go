package claim

import (
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Target is one incarnation of a side process.
type Target struct {
	Side        string // instance name
	Incarnation string
}

// Tuning holds the times and bounds of a Call.
type Tuning struct {
	Window          int64         // offsets beyond the stream's end at which a claim still counts
	MaxClaims       int           // claims that one call may make, one after another
	PadAfter        time.Duration // wait for the fate of a lost append before padding the stream
	ReplyWait       time.Duration // longest wait for the answer to a query or read before it is repeated
	PollInterval    time.Duration // from such an answer, if it settles nothing, to the next
	SealDelay       time.Duration // wait for another call's claim before it is sealed
	OutcomeWait     time.Duration // longest time that an answer waits for its outcome record
	BackgroundLimit time.Duration // how long a call is carried on after its deadline
}

// DefaultTuning returns the values that daemons use.
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

// CallConfig describes one call that must not repeat.
type CallConfig struct {
	Key         Key
	Fingerprint uint64
	Claimant    string        // incarnation of the entry
	Nonce       func() uint64 // unique within the claimant
	Deadline    time.Time     // of the caller
	Limits      KeyLimits
	CanLookUp   bool // the service can be asked by key
	Tuning      Tuning

	// Pick chooses the side for a claim. last is the refusal of the claim
	// before, or nil; an error ends the call with it, "not run".
	Pick func(last *api.Error) (Target, *api.Error)
}

// phase is where a Call stands.
type phase uint8

const (
	phaseNew       phase = iota
	phaseClaiming        // a claim is being appended and read back
	phaseSent            // the request was handed to the driver
	phaseAsking          // a side is asked about a claim
	phaseFetching        // the outcome record is being read
	phaseStoring         // the outcome record is being appended
	phaseLookingUp       // the service is being asked by key
	phaseDone
)

// subject is a claim whose fate is being learnt.
type subject struct {
	target Target
	offset backing.Offset
	own    bool // claimed by this call
}

// Call is the state machine of one call that must not repeat, at the entry.
// Step takes events and returns actions. It is not safe for concurrent use.
type Call struct {
	cfg      CallConfig
	now      time.Time
	out      []Action
	phase    phase
	answered bool // the caller has its answer or has gone

	view View
	end  backing.Offset

	rounds  int
	claim   *Claim
	unknown bool           // the append's answer was lost and its fate is not read
	closed  backing.Offset // own claim that never ran and never will
	subject subject
	since   time.Time // when asking began
	next    time.Time // timer of the present phase; zero for none

	answer   wire.Answer
	replayed bool
	gapped   bool       // records were trimmed before they were read
	failed   *api.Error // what a fruitless look-up leaves
	dropped  bool       // the outcome record holds no body
}

// NewCall returns a call that waits for Start.
func NewCall(cfg CallConfig) *Call {
	return &Call{cfg: cfg, closed: backing.None}
}

// Done reports whether the call needs no more events.
func (c *Call) Done() bool { return c.phase == phaseDone }

// Claims returns the number of claims made.
func (c *Call) Claims() int { return c.rounds }

// NextTick returns when the next Tick is due.
func (c *Call) NextTick() time.Time {
	limit := c.cfg.Deadline
	if c.answered {
		limit = limit.Add(c.cfg.Tuning.BackgroundLimit)
	}
	if !c.next.IsZero() && c.next.Before(limit) {
		return c.next
	}
	return limit
}

// Step takes one event at the time now and returns what is to be done, in order.
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
		c.onFolded(ev)
	case RecordsTrimmed:
		c.onGap()
	case SendResult:
		c.onSent(ev)
	case QueryAnswered:
		c.onKeyAnswered(ev)
	case QueryFailed:
		c.onQueryFailed(ev)
	case OutcomeAppendEnded:
		c.onOutcomeDone()
	case FetchResult:
		c.onFetched(ev)
	case LookUpResult:
		c.onLookedUp(ev)
	case CallerGone:
		c.answered = true
	case Tick:
		c.onTick()
	}
}

func (c *Call) emit(a Action) { c.out = append(c.out, a) }

// enter moves to a phase; after is the time of its first timer, 0 for none.
func (c *Call) enter(p phase, after time.Duration) {
	c.phase = p
	c.next = time.Time{}
	if after > 0 {
		c.next = c.now.Add(after)
	}
}

// fail ends the call with err.
func (c *Call) fail(err *api.Error) {
	c.reply(Reply{Err: err})
	c.enter(phaseDone, 0)
}

// reply answers the caller unless that was done.
func (c *Call) reply(r Reply) {
	if c.answered {
		return
	}
	c.answered = true
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
	if !c.answered && !c.now.Before(c.cfg.Deadline) {
		c.reply(Reply{Err: api.NewError(api.DeadlineExceeded, "")})
	}
	limit := c.cfg.Deadline.Add(c.cfg.Tuning.BackgroundLimit)
	if c.answered && !c.now.Before(limit) {
		c.enter(phaseDone, 0)
		return
	}
	if c.next.IsZero() || c.now.Before(c.next) {
		return
	}
	switch c.phase {
	case phaseClaiming:
		c.next = c.now.Add(c.cfg.Tuning.PadAfter)
		c.emit(Pad{Until: backing.Offset(c.claim.ValidUntil)})
	case phaseAsking:
		c.query()
	case phaseFetching:
		c.fetch()
	case phaseStoring:
		c.onOutcomeDone()
	}
}
