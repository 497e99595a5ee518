package claim

import (
	"fmt"
	"slices"
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// world composes entries, sides, one log stream and an adversary, who chooses
// what happens next. It is deterministic given choose.
type world struct {
	choose  func(n int) int
	failf   func(format string, args ...any)
	without mechanism
	picks   []int // sides that the next claims name; then by choice
	quick   bool  // few timers, for exhaustive search
	mute    bool  // keep no trace
	faults  int   // faults the adversary may still inject
	count   map[string]int
	trace   []string

	now      time.Time
	log      []stored
	start    int // first retained offset
	away     bool
	late     [][]byte // appends that may still land
	entries  []*simEntry
	sides    []*simSide
	bag      []*item // messages and delayed effects
	pending  []*attempt
	attempts []*attempt
	execs    []*execution
}

// mechanism names one that is taken out to show that the oracle sees it missing.
type mechanism string

const (
	nothing         mechanism = ""
	readingBack     mechanism = "reading the claim back"
	sealing         mechanism = "sealing before release"
	sealedRefusal   mechanism = "sealing a refused call"
	incarnations    mechanism = "checking the incarnation"
	commonValidity  mechanism = "judging late claims alike"
	sealedRemembers mechanism = "remembering sealed claims"
	trimming        mechanism = "refusing what may be forgotten"
	correlation     mechanism = "matching replies to claims"
)

type stored struct {
	data []byte
	at   time.Time
}

type item struct {
	to     *simCall // nil, or the call that alone is affected
	label  string
	run    func()
	dup    bool   // may be delivered again
	refuse func() // nil, or turns a copy of it away
	onDrop func() // nil: may not be dropped
}

type attempt struct {
	id      int
	key     Key
	content uint64
	begun   int // executions that had begun when it started
	started bool
	reply   *Reply
}

type execution struct {
	key     Key
	attempt int
	answer  wire.Answer
	done    bool
}

type simEntry struct {
	name  string
	life  int
	nonce uint64
	table *Table
	calls []*simCall
	queue []queued
}

type queued struct {
	data []byte
	done func(err error)
}

type simCall struct {
	*Call
	att   *attempt
	entry *simEntry
	life  int
}

type simSide struct {
	name string
	life int
	keys *KeyTable
}

func (s *simSide) incarnation() string { return fmt.Sprintf("%s#%d", s.name, s.life) }

const (
	simRetention = MaxKeyAge + 2*time.Hour
	simTimeout   = 5 * time.Second
)

func (w *world) tuning() Tuning {
	if w.quick {
		return Tuning{Window: 1, MaxClaims: 1, PadAfter: 4 * time.Second, ReplyWait: 4 * time.Second, PollInterval: 4 * time.Second, SealDelay: 4 * time.Second, OutcomeWait: 4 * time.Second}
	}
	return Tuning{
		Window: 3, MaxClaims: 3, PadAfter: 300 * time.Millisecond, ReplyWait: time.Second, PollInterval: time.Second,
		SealDelay: 2 * time.Second, OutcomeWait: time.Second, BackgroundLimit: 20 * time.Second,
	}
}

func newWorld(entries, sides int, choose func(int) int, failf func(string, ...any)) *world {
	w := &world{choose: choose, failf: failf, now: time.UnixMilli(1_800_000_000_000), count: map[string]int{}}
	for i := range entries {
		w.entries = append(w.entries, &simEntry{name: fmt.Sprint("e", i), table: NewTable(0)})
	}
	for i := range sides {
		s := &simSide{name: fmt.Sprint("s", i)}
		s.keys = NewKeyTable(s.incarnation())
		w.sides = append(w.sides, s)
	}
	return w
}

// simKey returns a UUIDv7 with this birth.
func simKey(birth time.Time, n byte) Key {
	var k Key
	ms := birth.UnixMilli()
	for i := range 6 {
		k[i] = byte(ms >> (40 - 8*i))
	}
	k[6], k[8], k[15] = 0x70, 0x80, n
	return k
}

// begin starts a pending attempt at an entry.
func (w *world) begin(a *attempt, e *simEntry, lookUp bool) *simCall {
	a.started = true
	a.begun = w.begunOf(a.key)
	w.attempts = append(w.attempts, a)
	c := &simCall{att: a, entry: e, life: e.life}
	c.Call = NewCall(CallConfig{
		Key: a.key, Fingerprint: a.content, Claimant: fmt.Sprint(e.name, "#", e.life),
		Nonce:    func() uint64 { e.nonce++; return e.nonce },
		Deadline: w.now.Add(simTimeout), CanLookUp: lookUp, Tuning: w.tuning(),
		Limits: w.limits(),
		Pick: func(*api.Error) (Target, *api.Error) {
			s := w.pick()
			return Target{s.name, s.incarnation()}, nil
		},
	})
	e.calls = append(e.calls, c)
	w.step(c, Start{View: e.table.Get(a.key), End: backing.Offset(max(int(e.table.End()), w.seenEnd())), LogDown: w.away})
	return c
}

func (w *world) limits() KeyLimits {
	if w.without == trimming {
		return KeyLimits{MaxAge: 1000 * time.Hour}
	}
	return KeyLimits{MaxAge: MaxKeyAge, MaxSkew: time.Minute}
}

// pick chooses the side for a claim.
func (w *world) pick() *simSide {
	if len(w.picks) == 0 {
		return w.sides[w.choose(len(w.sides))]
	}
	s := w.sides[w.picks[0]]
	w.picks = w.picks[1:]
	return s
}

func (w *world) seenEnd() int {
	if w.away {
		return 0
	}
	return len(w.log)
}

func (w *world) begunOf(k Key) int {
	n := 0
	for _, x := range w.execs {
		if x.key == k {
			n++
		}
	}
	return n
}

// step hands an event to a call that still lives and takes its actions.
func (w *world) step(c *simCall, ev Event) {
	if c.life != c.entry.life {
		return
	}
	for _, a := range c.Step(w.now, ev) {
		w.act(c, a)
	}
}

func (w *world) act(c *simCall, a Action) {
	if !w.mute {
		w.trace = append(w.trace, describe(c, a))
	}
	switch a := a.(type) {
	case AppendClaim:
		w.queueClaim(c, a.Claim)
	case AppendRelease:
		c.entry.queue = append(c.entry.queue, queued{data: encode(a.Release), done: func(error) {}})
	case AppendOutcome:
		c.entry.queue = append(c.entry.queue, queued{data: encode(a.Outcome), done: func(error) { w.step(c, OutcomeAppendEnded{}) }})
	case Pad:
		for range int(a.Until) + 1 - len(w.log) {
			c.entry.queue = append(c.entry.queue, queued{data: padding(), done: func(error) {}})
		}
	case Send:
		w.put(&item{label: fmt.Sprintf("write request of %d under %d", c.att.id, a.Offset), run: func() { w.send(c, a) }})
	case Query:
		w.query(c, a)
	case Fetch:
		w.put(&item{to: c, label: fmt.Sprint("fetch by ", c.att.id), run: func() { w.fetch(c, a) }})
	case LookUp:
		w.put(&item{to: c, label: fmt.Sprint("look up by ", c.att.id), run: func() { w.lookUp(c) }})
	case Reply:
		w.replied(c.att, a)
	}
}

// describe renders an action for the trace.
func describe(c *simCall, a Action) string {
	switch a := a.(type) {
	case AppendClaim:
		return fmt.Sprintf("\t%d: claim %d, until %d", c.att.id, a.Claim.Nonce, a.Claim.ValidUntil)
	case AppendRelease:
		return fmt.Sprintf("\t%d: release %d", c.att.id, a.Release.Offset)
	case AppendOutcome:
		return fmt.Sprintf("\t%d: outcome of %d", c.att.id, a.Outcome.Offset)
	}
	return fmt.Sprintf("\t%d: %T%+v", c.att.id, a, a)
}

func (w *world) put(i *item) { w.bag = append(w.bag, i) }

func (w *world) queueClaim(c *simCall, r *Claim) {
	c.entry.queue = append(c.entry.queue, queued{data: encode(r), done: func(err error) {
		switch err {
		case nil:
			if w.without == readingBack {
				v := View{Phase: KeyHeld, Known: true, Fingerprint: r.Fingerprint, Offset: backing.Offset(len(w.log) - 1)}
				w.step(c, RecordsApplied{View: v, Verdict: VerdictWon, Nonce: r.Nonce, Offset: v.Offset})
			}
		case backing.ErrRefused:
			w.step(c, AppendRefused{Nonce: r.Nonce})
		default:
			w.step(c, AppendUnknown{Nonce: r.Nonce})
		}
	}})
}

// send writes the request to the connection with the side's present incarnation.
func (w *world) send(c *simCall, a Send) {
	if c.life != c.entry.life {
		return
	}
	s := w.side(a.Target.Side)
	if s.incarnation() != a.Target.Incarnation && w.choose(2) == 1 {
		w.step(c, SendResult{Offset: a.Offset, Status: SendNotStarted, Err: api.NewError(api.Unreachable, "")})
		return
	}
	life := s.life
	tag := fmt.Sprintf(" of %d under %d", c.att.id, a.Offset)
	lost := func() { w.step(c, SendResult{Offset: a.Offset, Status: SendConnLost}) }
	w.put(&item{
		label: "request at " + s.name + tag, dup: true,
		run:    func() { w.request(c, s, life, a) },
		refuse: func() { w.refuse(c, s, life, a) },
		onDrop: lost,
	})
	if !w.quick {
		w.put(&item{label: "connection holds" + tag, run: func() {}, onDrop: lost})
	}
}

func (w *world) side(name string) *simSide {
	i := slices.IndexFunc(w.sides, func(s *simSide) bool { return s.name == name })
	return w.sides[i]
}

// request arrives at a side; life is the incarnation at the connection's end.
func (w *world) request(c *simCall, s *simSide, life int, a Send) {
	if life != s.life {
		w.step(c, SendResult{Offset: a.Offset, Status: SendConnLost})
		return
	}
	inc := a.Target.Incarnation
	if w.without == incarnations {
		inc = s.incarnation()
	}
	keys := s.keys
	if w.without == sealedRemembers && keys.slots[c.att.key] != nil && keys.slots[c.att.key].state == wire.KeySealed {
		delete(keys.slots, c.att.key)
	}
	b := keys.Begin(c.att.key, c.att.content, int64(a.Offset), inc)
	switch b.Decision {
	case DecideRun:
		w.execute(c, s, a.Offset)
	case DecideAttach:
		w.answer(c, SendResult{Offset: a.Offset, Status: SendRefused, Err: api.NewError(api.InProgress, "")})
	case DecideAnswer:
		w.answer(c, SendResult{Offset: a.Offset, Status: SendReplied, Answer: b.Answer})
	case DecideRefuse:
		w.answer(c, SendResult{Offset: a.Offset, Status: SendRefused, Err: b.Err})
	}
}

// refuse turns a request away before it runs, as a limit does.
func (w *world) refuse(c *simCall, s *simSide, life int, a Send) {
	if life != s.life {
		return
	}
	if w.without != sealedRefusal {
		state, _ := s.keys.Seal(c.att.key, int64(a.Offset), a.Target.Incarnation)
		if state != wire.KeySealed {
			w.answer(c, SendResult{Offset: a.Offset, Status: SendRefused, Err: api.NewError(api.InProgress, "")})
			return
		}
	}
	w.answer(c, SendResult{Offset: a.Offset, Status: SendRefused, Err: api.NewError(api.ColdLimit, "")})
}

// execute counts one execution and ends it some time later.
func (w *world) execute(c *simCall, s *simSide, offset backing.Offset) {
	x := &execution{key: c.att.key, attempt: c.att.id}
	x.answer = wire.Answer{Status: 200, Body: fmt.Appendf(nil, "%d:%d", c.att.id, len(w.execs))}
	w.execs = append(w.execs, x)
	life := s.life
	w.put(&item{label: fmt.Sprint("finish ", c.att.id), run: func() {
		x.done = true
		if life != s.life {
			return
		}
		s.keys.Finish(x.key, x.answer)
		w.answer(c, SendResult{Offset: offset, Status: SendReplied, Answer: x.answer})
	}})
}

// answer sends a reply towards the entry.
func (w *world) answer(c *simCall, ev SendResult) {
	w.put(&item{
		to: c, label: fmt.Sprintf("reply to %d under %d, fate %d", c.att.id, ev.Offset, ev.Status), dup: true,
		run: func() {
			if w.without == correlation {
				ev.Offset = c.subject.offset
			}
			w.step(c, ev)
		},
		onDrop: func() { w.step(c, SendResult{Offset: ev.Offset, Status: SendConnLost}) },
	})
}

func (w *world) query(c *simCall, q Query) {
	s := w.side(q.Target.Side)
	life := s.life
	failed := func() { w.step(c, QueryFailed{Offset: q.Offset}) }
	w.put(&item{label: fmt.Sprintf("query at %s of %d about %d seal=%v", s.name, c.att.id, q.Offset, q.Seal), dup: true, onDrop: failed, run: func() {
		if life != s.life {
			failed()
			return
		}
		m := &wire.KeyQuery{Key: c.att.key.String(), ClaimOffset: int64(q.Offset), Incarnation: q.Target.Incarnation, Seal: q.Seal}
		r := s.keys.Query(m)
		if w.without == sealing && r.State == wire.KeyUnknown {
			r.State = wire.KeySealed
		}
		w.put(&item{to: c, label: fmt.Sprintf("key answer to %d about %d: %d", c.att.id, q.Offset, r.State), dup: true, onDrop: failed, run: func() {
			w.step(c, QueryAnswered{Offset: q.Offset, State: r.State, Answer: r.Answer})
		}})
	}})
}

func (w *world) fetch(c *simCall, a Fetch) {
	if w.away || int(a.Offset) < w.start {
		w.step(c, FetchResult{})
		return
	}
	r, err := decode(w.log[a.Offset].data)
	if err != nil {
		w.failf("fetch: %v", err)
	}
	w.step(c, FetchResult{Outcome: r.(*Outcome)})
}

func (w *world) lookUp(c *simCall) {
	for _, x := range w.execs {
		if x.key == c.att.key && x.done {
			w.step(c, LookUpResult{Found: true, Answer: x.answer})
			return
		}
	}
	w.step(c, LookUpResult{})
}
