package claim

import (
	"time"

	"marjorampitch/api"
	"marjorampitch/platform"
	"marjorampitch/wire"
)

// Target is one incarnation of a side process.
type Target struct {
	Side        string // instance name
	Incarnation string
}

// Tuning holds the times and bounds of a Call.
type Tuning struct {
	Window     int64         // offsets beyond the stream's end at which a claim still counts
	Rounds     int           // claims that one call may make, one after another
	PadAfter   time.Duration // wait for the fate of a lost append before padding the stream
	Wait       time.Duration // longest wait for the answer to a query or read before it is repeated
	Poll       time.Duration // from such an answer, if it settles nothing, to the next
	Grace      time.Duration // wait for another call's claim before it is sealed
	StoreWait  time.Duration // longest time that an answer waits for its outcome record
	Background time.Duration // how long a call is carried on after its deadline
}

// DefaultTuning returns the values that daemons use.
func DefaultTuning() Tuning {
	return Tuning{
		Window:     1024,
		Rounds:     4,
		PadAfter:   300 * time.Millisecond,
		Wait:       3 * time.Second,
		Poll:       100 * time.Millisecond,
		Grace:      500 * time.Millisecond,
		StoreWait:  250 * time.Millisecond,
		Background: 30 * time.Second,
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
	LookUp      bool // the service can be asked by key
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
	offset platform.Offset
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
	end  platform.Offset

	rounds  int
	claim   *Claim
	unknown bool            // the append's answer was lost and its fate is not read
	closed  platform.Offset // own claim that never ran and never will
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
	return &Call{cfg: cfg, closed: platform.None}
}

// Done reports whether the call needs no more events.
func (c *Call) Done() bool { return c.phase == phaseDone }

// Rounds returns the number of claims made.
func (c *Call) Rounds() int { return c.rounds }

// NextWake returns when the next Tick is due.
func (c *Call) NextWake() time.Time {
	limit := c.cfg.Deadline
	if c.answered {
		limit = limit.Add(c.cfg.Tuning.Background)
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
	case Folded:
		c.onFolded(ev)
	case Gap:
		c.onGap()
	case Sent:
		c.onSent(ev)
	case KeyAnswered:
		c.onKeyAnswered(ev)
	case QueryFailed:
		c.onQueryFailed(ev)
	case OutcomeDone:
		c.onOutcomeDone()
	case Fetched:
		c.onFetched(ev)
	case LookedUp:
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

// logUnavailable speaks for this attempt only: an earlier one with the same
// key may have run.
func logUnavailable() *api.Error {
	return api.NewError(api.LogUnavailable, "this attempt was not claimed")
}

// decide goes on from what the log says of the key, when the call has no claim
// that may still count. last is the refusal of its latest claim.
func (c *Call) decide(last *api.Error) {
	v := c.view
	switch {
	case v.Known && v.Fingerprint != c.cfg.Fingerprint:
		c.fail(api.NewError(api.KeyConflict, ""))
	case v.Phase == KeyEnded:
		c.fetch()
	case v.Phase == KeyHeld && v.Offset == c.closed:
		c.release(v.Offset)
		c.again(last)
	case v.Phase == KeyHeld:
		c.ask(subject{target: Target{v.Side, v.SideIncarnation}, offset: v.Offset})
	case v.TooOld:
		c.fail(api.NewError(api.KeyTooOld, ""))
	default:
		c.again(last)
	}
}

// again claims the key, for the first time or after a claim that did not run.
func (c *Call) again(last *api.Error) {
	if c.answered {
		c.enter(phaseDone, 0)
		return
	}
	spent := c.rounds >= c.cfg.Tuning.Rounds || c.gapped
	hopeless := last != nil && last.RetryAfter == 0
	if last != nil && (spent || hopeless) {
		c.fail(last)
		return
	}
	if spent {
		c.fail(logUnavailable())
		return
	}
	target, err := c.cfg.Pick(last)
	if err != nil {
		c.fail(err)
		return
	}
	c.append(target)
}

// append makes the next claim, for a target.
func (c *Call) append(target Target) {
	c.rounds++
	c.unknown = false
	c.claim = &Claim{
		Key:             c.cfg.Key,
		Fingerprint:     c.cfg.Fingerprint,
		Claimant:        c.cfg.Claimant,
		Nonce:           c.cfg.Nonce(),
		Side:            target.Side,
		SideIncarnation: target.Incarnation,
		ValidUntil:      int64(c.end) + c.cfg.Tuning.Window,
	}
	c.enter(phaseClaiming, 0)
	c.emit(AppendClaim{Claim: c.claim})
}

// release opens the key again after a claim that will never run.
func (c *Call) release(offset platform.Offset) {
	c.emit(AppendRelease{Release: &Release{Key: c.cfg.Key, Offset: int64(offset)}})
}

func (c *Call) onAppendRefused(ev AppendRefused) {
	if c.phase == phaseClaiming && ev.Nonce == c.claim.Nonce {
		c.fail(logUnavailable())
	}
}

func (c *Call) onAppendUnknown(ev AppendUnknown) {
	if c.phase != phaseClaiming || ev.Nonce != c.claim.Nonce {
		return
	}
	c.unknown = true
	c.next = c.now.Add(c.cfg.Tuning.PadAfter)
}

func (c *Call) onFolded(ev Folded) {
	c.view, c.end = ev.View, ev.End
	switch c.phase {
	case phaseClaiming:
		c.readBack(ev)
	case phaseAsking:
		c.askedFolded()
	}
}

// onGap gives up a claim whose fate can no longer be read; it was never sent.
// From here on the log says nothing about the claims made before.
func (c *Call) onGap() {
	c.gapped = true
	if c.phase == phaseClaiming {
		c.fail(api.NewError(api.Unresolved, "records trimmed before they were read"))
	}
}

// readBack looks for the call's claim among the records read.
func (c *Call) readBack(ev Folded) {
	if ev.Verdict != VerdictNone && ev.Nonce == c.claim.Nonce {
		c.judged(ev.Verdict, ev.Offset)
		return
	}
	if int64(ev.End) > c.claim.ValidUntil {
		// Not stored so far; if it is stored later, it is void for every reader.
		c.decide(nil)
	}
}

// judged goes on from the log's verdict on the call's claim.
func (c *Call) judged(v Verdict, offset platform.Offset) {
	switch v {
	case VerdictWon:
		c.won(offset)
	case VerdictConflict:
		c.fail(api.NewError(api.KeyConflict, ""))
	case VerdictTooOld:
		c.fail(api.NewError(api.KeyTooOld, ""))
	default:
		c.decide(nil)
	}
}

// won sends the request, unless the claim was closed meanwhile, nobody waits
// any more, or the key grew too old during a pause.
func (c *Call) won(offset platform.Offset) {
	if c.view.Phase != KeyHeld || c.view.Offset != offset {
		c.decide(nil)
		return
	}
	if c.answered {
		c.release(offset)
		c.enter(phaseDone, 0)
		return
	}
	if err := c.cfg.Limits.Check(c.cfg.Key, c.now); err != nil {
		c.release(offset)
		c.fail(err)
		return
	}
	target := Target{Side: c.claim.Side, Incarnation: c.claim.SideIncarnation}
	c.subject = subject{target: target, offset: offset, own: true}
	c.enter(phaseSent, 0)
	c.emit(Send{Target: target, Offset: offset})
}

// onSent takes what became of the request. It counts only once.
func (c *Call) onSent(ev Sent) {
	if c.phase != phaseSent || ev.Offset != c.subject.offset {
		return
	}
	refused := ev.Fate == FateRefused && ev.Err.Ran == api.NotRun
	switch {
	case ev.Fate == FateReplied:
		c.finished(ev.Answer)
	case ev.Fate == FateNotSent, refused:
		c.neverRan(ev.Err)
	default:
		c.ask(c.subject)
	}
}

// neverRan releases the subject, which did not run and never will.
func (c *Call) neverRan(err *api.Error) {
	offset := c.subject.offset
	c.closed = offset
	c.release(offset)
	c.again(err)
}

func (c *Call) onTick() {
	if !c.answered && !c.now.Before(c.cfg.Deadline) {
		c.reply(Reply{Err: api.NewError(api.DeadlineExceeded, "")})
	}
	limit := c.cfg.Deadline.Add(c.cfg.Tuning.Background)
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
		c.emit(Pad{Until: platform.Offset(c.claim.ValidUntil)})
	case phaseAsking:
		c.query()
	case phaseFetching:
		c.fetch()
	case phaseStoring:
		c.onOutcomeDone()
	}
}
