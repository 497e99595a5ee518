package claim

import (
	"fmt"
	"slices"
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// simulation runs front proxies, sidecars and one log stream under a scheduler that
// selects the next transition and injects faults. It is deterministic for a given
// choose.
type simulation struct {
	choose      func(n int) int
	failf       func(format string, args ...any)
	disabled    mechanism
	sideChoices []int // sidecars for the next claims, by index; after them choose selects
	exhaustive  bool  // reduced state space for exhaustive search
	noTrace     bool  // do not record actions in trace
	faults      int   // faults that the scheduler may still inject
	faultCounts map[string]int
	trace       []string

	now         time.Time
	log         []logRecord
	logStart    int // first retained offset
	logDown     bool
	lateAppends [][]byte // appends that may be stored later
	entries     []*simEntry
	sides       []*simSide
	inFlight    []*delivery // messages and delayed effects
	pending     []*attempt
	attempts    []*attempt
	executions  []*execution
}

// mechanism is a safety mechanism that a mutation test disables to show that the
// oracle detects its absence.
type mechanism string

const (
	noMechanism       mechanism = ""
	claimReadBack     mechanism = "reading the claim back before sending"
	sealBeforeRelease mechanism = "sealing before release"
	sealOnRefusal     mechanism = "sealing the claim of a refused call"
	incarnationCheck  mechanism = "checking the sidecar incarnation"
	uniformExpiry     mechanism = "one expiry rule for all readers"
	sealMemory        mechanism = "keeping sealed claims"
	trimGuards        mechanism = "refusing keys whose claims may be trimmed"
	replyMatching     mechanism = "matching replies to claims"
)

type logRecord struct {
	data []byte
	at   time.Time
}

type delivery struct {
	to     *simCall // the only call affected, or nil
	label  string
	run    func()
	dup    bool   // may be delivered again
	refuse func() // optional; makes the sidecar refuse a copy of the request
	onDrop func() // nil if it cannot be dropped
}

type attempt struct {
	id         int
	key        Key
	content    uint64
	runsBefore int // executions of the key before the attempt started
	started    bool
	reply      *Reply
}

type execution struct {
	key     Key
	attempt int
	answer  wire.Answer
	done    bool
}

type simEntry struct {
	name       string
	generation int
	nonce      uint64
	table      *Table
	calls      []*simCall
	queue      []queuedAppend
}

type queuedAppend struct {
	data []byte
	done func(err error)
}

type simCall struct {
	*Call
	attempt    *attempt
	entry      *simEntry
	generation int
}

type simSide struct {
	name       string
	generation int
	table      *KeyTable
}

func (s *simSide) incarnation() string { return fmt.Sprintf("%s#%d", s.name, s.generation) }

const (
	simRetention = MaxKeyAge + 2*time.Hour
	simTimeout   = 5 * time.Second
)

func (sim *simulation) tuning() Tuning {
	if sim.exhaustive {
		return Tuning{Window: 1, MaxClaims: 1, PadAfter: 4 * time.Second, ReplyWait: 4 * time.Second, PollInterval: 4 * time.Second, SealDelay: 4 * time.Second, OutcomeWait: 4 * time.Second}
	}
	return Tuning{
		Window: 3, MaxClaims: 3, PadAfter: 300 * time.Millisecond, ReplyWait: time.Second, PollInterval: time.Second,
		SealDelay: 2 * time.Second, OutcomeWait: time.Second, BackgroundLimit: 20 * time.Second,
	}
}

func newSimulation(entries, sides int, choose func(int) int, failf func(string, ...any)) *simulation {
	sim := &simulation{choose: choose, failf: failf, now: time.UnixMilli(1_800_000_000_000), faultCounts: map[string]int{}}
	for i := range entries {
		sim.entries = append(sim.entries, &simEntry{name: fmt.Sprint("e", i), table: NewTable(0)})
	}
	for i := range sides {
		s := &simSide{name: fmt.Sprint("s", i)}
		s.table = NewKeyTable(s.incarnation())
		sim.sides = append(sim.sides, s)
	}
	return sim
}

// simKey returns a UUIDv7 with the given timestamp; n tells keys with the same
// timestamp apart.
func simKey(timestamp time.Time, n byte) Key {
	var k Key
	ms := timestamp.UnixMilli()
	for i := range 6 {
		k[i] = byte(ms >> (40 - 8*i))
	}
	k[6], k[8], k[15] = 0x70, 0x80, n
	return k
}

// startAttempt starts a pending attempt at a front proxy.
func (sim *simulation) startAttempt(a *attempt, e *simEntry, lookUp bool) *simCall {
	a.started = true
	a.runsBefore = sim.runCount(a.key)
	sim.attempts = append(sim.attempts, a)
	c := &simCall{attempt: a, entry: e, generation: e.generation}
	c.Call = NewCall(CallConfig{
		Key: a.key, Fingerprint: a.content, Claimant: fmt.Sprint(e.name, "#", e.generation),
		Nonce:    func() uint64 { e.nonce++; return e.nonce },
		Deadline: sim.now.Add(simTimeout), CanLookUp: lookUp, Tuning: sim.tuning(),
		Limits: sim.limits(),
		Pick: func(*api.Error) (Target, *api.Error) {
			s := sim.nextSide()
			return Target{s.name, s.incarnation()}, nil
		},
	})
	e.calls = append(e.calls, c)
	sim.step(c, Start{View: e.table.Get(a.key), End: backing.Offset(max(int(e.table.End()), sim.knownEnd())), LogDown: sim.logDown})
	return c
}

func (sim *simulation) limits() KeyLimits {
	if sim.disabled == trimGuards {
		return KeyLimits{MaxAge: 1000 * time.Hour}
	}
	return KeyLimits{MaxAge: MaxKeyAge, MaxSkew: time.Minute}
}

// nextSide selects the sidecar for a claim.
func (sim *simulation) nextSide() *simSide {
	if len(sim.sideChoices) == 0 {
		return sim.sides[sim.choose(len(sim.sides))]
	}
	s := sim.sides[sim.sideChoices[0]]
	sim.sideChoices = sim.sideChoices[1:]
	return s
}

func (sim *simulation) knownEnd() int {
	if sim.logDown {
		return 0
	}
	return len(sim.log)
}

func (sim *simulation) runCount(k Key) int {
	n := 0
	for _, x := range sim.executions {
		if x.key == k {
			n++
		}
	}
	return n
}

// step delivers an event to a call and performs the resulting actions, unless the
// front proxy of the call was killed.
func (sim *simulation) step(c *simCall, ev Event) {
	if c.generation != c.entry.generation {
		return
	}
	for _, a := range c.Step(sim.now, ev) {
		sim.perform(c, a)
	}
}

func (sim *simulation) perform(c *simCall, a Action) {
	if !sim.noTrace {
		sim.trace = append(sim.trace, describe(c, a))
	}
	switch a := a.(type) {
	case AppendClaim:
		sim.queueClaim(c, a.Claim)
	case AppendRelease:
		c.entry.queue = append(c.entry.queue, queuedAppend{data: encode(a.Release), done: func(error) {}})
	case AppendOutcome:
		c.entry.queue = append(c.entry.queue, queuedAppend{data: encode(a.Outcome), done: func(error) { sim.step(c, OutcomeAppendEnded{}) }})
	case Pad:
		for range int(a.Until) + 1 - len(sim.log) {
			c.entry.queue = append(c.entry.queue, queuedAppend{data: padding(), done: func(error) {}})
		}
	case Send:
		sim.schedule(&delivery{label: fmt.Sprintf("write request of attempt %d, claim %d", c.attempt.id, a.Offset), run: func() { sim.send(c, a) }})
	case Query:
		sim.query(c, a)
	case Fetch:
		sim.schedule(&delivery{to: c, label: fmt.Sprint("fetch by attempt ", c.attempt.id), run: func() { sim.fetch(c, a) }})
	case LookUp:
		sim.schedule(&delivery{to: c, label: fmt.Sprint("look-up by attempt ", c.attempt.id), run: func() { sim.lookUp(c) }})
	case Reply:
		sim.recordReply(c.attempt, a)
	}
}

// describe formats an action for the trace.
func describe(c *simCall, a Action) string {
	switch a := a.(type) {
	case AppendClaim:
		return fmt.Sprintf("\tattempt %d: append claim with nonce %d, valid until %d", c.attempt.id, a.Claim.Nonce, a.Claim.ValidUntil)
	case AppendRelease:
		return fmt.Sprintf("\tattempt %d: release claim %d", c.attempt.id, a.Release.Offset)
	case AppendOutcome:
		return fmt.Sprintf("\tattempt %d: outcome of claim %d", c.attempt.id, a.Outcome.Offset)
	}
	return fmt.Sprintf("\tattempt %d: %T%+v", c.attempt.id, a, a)
}

func (sim *simulation) schedule(i *delivery) { sim.inFlight = append(sim.inFlight, i) }

func (sim *simulation) queueClaim(c *simCall, r *Claim) {
	c.entry.queue = append(c.entry.queue, queuedAppend{data: encode(r), done: func(err error) {
		switch err {
		case nil:
			if sim.disabled == claimReadBack {
				v := View{Phase: KeyHeld, Known: true, Fingerprint: r.Fingerprint, Offset: backing.Offset(len(sim.log) - 1)}
				sim.step(c, RecordsApplied{View: v, Verdict: VerdictWon, Nonce: r.Nonce, Offset: v.Offset})
			}
		case backing.ErrRefused:
			sim.step(c, AppendRefused{Nonce: r.Nonce})
		default:
			sim.step(c, AppendUnknown{Nonce: r.Nonce})
		}
	}})
}

// send writes the request to the connection to the current incarnation of the
// sidecar.
func (sim *simulation) send(c *simCall, a Send) {
	if c.generation != c.entry.generation {
		return
	}
	s := sim.side(a.Target.Side)
	if s.incarnation() != a.Target.Incarnation && sim.choose(2) == 1 {
		sim.step(c, SendResult{Offset: a.Offset, Status: SendNotStarted, Err: api.NewError(api.Unreachable, "")})
		return
	}
	generation := s.generation
	tag := fmt.Sprintf(" of attempt %d, claim %d", c.attempt.id, a.Offset)
	lost := func() { sim.step(c, SendResult{Offset: a.Offset, Status: SendConnLost}) }
	sim.schedule(&delivery{
		label: "request at " + s.name + tag, dup: true,
		run:    func() { sim.request(c, s, generation, a) },
		refuse: func() { sim.refuse(c, s, generation, a) },
		onDrop: lost,
	})
	if !sim.exhaustive {
		sim.schedule(&delivery{label: "connection stays up" + tag, run: func() {}, onDrop: lost})
	}
}

func (sim *simulation) side(name string) *simSide {
	i := slices.IndexFunc(sim.sides, func(s *simSide) bool { return s.name == name })
	return sim.sides[i]
}

// request delivers a request to a sidecar. generation is that of the sidecar when the
// request was written.
func (sim *simulation) request(c *simCall, s *simSide, generation int, a Send) {
	if generation != s.generation {
		sim.step(c, SendResult{Offset: a.Offset, Status: SendConnLost})
		return
	}
	inc := a.Target.Incarnation
	if sim.disabled == incarnationCheck {
		inc = s.incarnation()
	}
	table := s.table
	if sim.disabled == sealMemory && table.keys[c.attempt.key] != nil && table.keys[c.attempt.key].state == wire.KeySealed {
		delete(table.keys, c.attempt.key)
	}
	b := table.Begin(c.attempt.key, c.attempt.content, int64(a.Offset), inc)
	switch b.Decision {
	case DecideRun:
		sim.execute(c, s, a.Offset)
	case DecideAttach:
		sim.answer(c, SendResult{Offset: a.Offset, Status: SendRefused, Err: api.NewError(api.InProgress, "")})
	case DecideAnswer:
		sim.answer(c, SendResult{Offset: a.Offset, Status: SendReplied, Answer: b.Answer})
	case DecideRefuse:
		sim.answer(c, SendResult{Offset: a.Offset, Status: SendRefused, Err: b.Err})
	}
}

// refuse makes the sidecar refuse a request before it runs, as a load limit does.
func (sim *simulation) refuse(c *simCall, s *simSide, generation int, a Send) {
	if generation != s.generation {
		return
	}
	if sim.disabled != sealOnRefusal {
		state, _ := s.table.Seal(c.attempt.key, int64(a.Offset), a.Target.Incarnation)
		if state != wire.KeySealed {
			sim.answer(c, SendResult{Offset: a.Offset, Status: SendRefused, Err: api.NewError(api.InProgress, "")})
			return
		}
	}
	sim.answer(c, SendResult{Offset: a.Offset, Status: SendRefused, Err: api.NewError(api.ColdLimit, "")})
}

// execute starts one execution and schedules its end.
func (sim *simulation) execute(c *simCall, s *simSide, offset backing.Offset) {
	x := &execution{key: c.attempt.key, attempt: c.attempt.id}
	x.answer = wire.Answer{Status: 200, Body: fmt.Appendf(nil, "%d:%d", c.attempt.id, len(sim.executions))}
	sim.executions = append(sim.executions, x)
	generation := s.generation
	sim.schedule(&delivery{label: fmt.Sprint("finish attempt ", c.attempt.id), run: func() {
		x.done = true
		if generation != s.generation {
			return
		}
		s.table.Finish(x.key, x.answer)
		sim.answer(c, SendResult{Offset: offset, Status: SendReplied, Answer: x.answer})
	}})
}

// answer schedules the reply to the front proxy.
func (sim *simulation) answer(c *simCall, ev SendResult) {
	sim.schedule(&delivery{
		to: c, label: fmt.Sprintf("reply to attempt %d, claim %d, status %d", c.attempt.id, ev.Offset, ev.Status), dup: true,
		run: func() {
			if sim.disabled == replyMatching {
				ev.Offset = c.tracked.offset
			}
			sim.step(c, ev)
		},
		onDrop: func() { sim.step(c, SendResult{Offset: ev.Offset, Status: SendConnLost}) },
	})
}

func (sim *simulation) query(c *simCall, q Query) {
	s := sim.side(q.Target.Side)
	generation := s.generation
	failed := func() { sim.step(c, QueryFailed{Offset: q.Offset}) }
	sim.schedule(&delivery{label: fmt.Sprintf("query at %s by attempt %d on claim %d, seal=%v", s.name, c.attempt.id, q.Offset, q.Seal), dup: true, onDrop: failed, run: func() {
		if generation != s.generation {
			failed()
			return
		}
		m := &wire.KeyQuery{Key: c.attempt.key.String(), ClaimOffset: int64(q.Offset), Incarnation: q.Target.Incarnation, Seal: q.Seal}
		r := s.table.Query(m)
		if sim.disabled == sealBeforeRelease && r.State == wire.KeyUnknown {
			r.State = wire.KeySealed
		}
		sim.schedule(&delivery{to: c, label: fmt.Sprintf("query answer to attempt %d, claim %d: state %d", c.attempt.id, q.Offset, r.State), dup: true, onDrop: failed, run: func() {
			sim.step(c, QueryAnswered{Offset: q.Offset, State: r.State, Answer: r.Answer})
		}})
	}})
}

func (sim *simulation) fetch(c *simCall, a Fetch) {
	if sim.logDown || int(a.Offset) < sim.logStart {
		sim.step(c, FetchResult{})
		return
	}
	r, err := decode(sim.log[a.Offset].data)
	if err != nil {
		sim.failf("fetch: %v", err)
	}
	sim.step(c, FetchResult{Outcome: r.(*Outcome)})
}

func (sim *simulation) lookUp(c *simCall) {
	for _, x := range sim.executions {
		if x.key == c.attempt.key && x.done {
			sim.step(c, LookUpResult{Found: true, Answer: x.answer})
			return
		}
	}
	sim.step(c, LookUpResult{})
}
