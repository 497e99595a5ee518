package claim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
)

// move is one thing that may happen next.
type move struct {
	label string
	fault bool
	run   func()
}

// moves lists what may happen now; faults are among it while some are left.
func (w *world) moves() []move {
	var ms []move
	w.bag = slices.DeleteFunc(w.bag, func(i *item) bool {
		return i.to != nil && (i.to.Done() || i.to.life != i.to.entry.life)
	})
	ms = w.messageMoves(ms)
	for _, e := range w.entries {
		ms = w.entryMoves(ms, e)
	}
	for i, data := range w.late {
		ms = append(ms, move{label: "late append lands", run: func() {
			w.late = slices.Delete(w.late, i, i+1)
			w.land(data)
		}})
	}
	if len(w.pending) > 0 {
		for _, e := range w.entries {
			ms = append(ms, move{label: "attempt at " + e.name, run: func() { w.next(e) }})
		}
	}
	if w.away {
		ms = append(ms, move{label: "log back", run: func() { w.away = false }})
	}
	return w.faultMoves(ms)
}

func (w *world) messageMoves(ms []move) []move {
	for i, it := range w.bag {
		take := func() { w.bag = slices.Delete(w.bag, i, i+1) }
		ms = append(ms, move{label: it.label, run: func() { take(); it.run() }})
		if w.faults == 0 {
			continue
		}
		if it.dup {
			ms = append(ms, move{label: "copy of " + it.label, fault: true, run: it.run})
		}
		if it.refuse != nil {
			ms = append(ms, move{label: "refuse " + it.label, fault: true, run: it.refuse})
		}
		if it.onDrop != nil {
			ms = append(ms, move{label: "drop " + it.label, fault: true, run: func() { take(); it.onDrop() }})
		}
	}
	return ms
}

func (w *world) entryMoves(ms []move, e *simEntry) []move {
	if !w.away && int(e.table.End()) < len(w.log) {
		ms = append(ms, move{label: e.name + " reads", run: func() { w.reads(e) }})
	}
	if len(e.queue) > 0 {
		ms = w.appendMoves(ms, e)
	}
	for _, c := range e.calls {
		if !c.Done() {
			ms = append(ms, move{label: fmt.Sprint("timer of ", c.att.id), run: func() { w.tick(c) }})
		}
	}
	return ms
}

// tick lets the call's timer pass; everyone else is taken to be paused till then.
func (w *world) tick(c *simCall) {
	if at := c.NextTick(); at.After(w.now) {
		w.now = at
	}
	w.step(c, Tick{})
}

func (w *world) next(e *simEntry) {
	a := w.pending[0]
	w.pending = w.pending[1:]
	w.begin(a, e, a.id%3 == 2)
}

// appendMoves appends what an entry has queued, as one batch, with one fate.
func (w *world) appendMoves(ms []move, e *simEntry) []move {
	add := func(label string, fault, land, late bool, err error) {
		ms = append(ms, move{label: e.name + " " + label, fault: fault, run: func() {
			batch := e.queue
			e.queue = nil
			for _, q := range batch {
				if land {
					w.land(q.data)
				}
				if late {
					w.late = append(w.late, q.data)
				}
				q.done(err)
			}
		}})
	}
	if w.away {
		add("append refused", false, false, false, backing.ErrRefused)
		return ms
	}
	add("append", false, true, false, nil)
	if w.faults == 0 {
		return ms
	}
	add("append refused", true, false, false, backing.ErrRefused)
	add("append answer lost, stored", true, true, false, backing.ErrUnknown)
	add("append answer lost, late", true, false, true, backing.ErrUnknown)
	add("append answer lost, never", true, false, false, backing.ErrUnknown)
	return ms
}

func (w *world) land(data []byte) {
	w.log = append(w.log, stored{data: data, at: w.now})
}

// reads folds in one record, or all in a quick world.
func (w *world) reads(e *simEntry) {
	w.read(e)
	for w.quick && int(e.table.End()) < len(w.log) {
		w.read(e)
	}
}

// read folds one record in and tells the entry's calls.
func (w *world) read(e *simEntry) {
	if int(e.table.End()) < w.start {
		e.table = NewTable(backing.Offset(w.start))
		if w.without != trimming {
			w.tell(e, RecordsTrimmed{})
		}
		return
	}
	at := e.table.End()
	data := w.log[at].data
	if w.without == commonValidity && e == w.entries[0] {
		data = forever(data)
	}
	j := e.table.Apply(backing.Record{Offset: at, Data: data})
	for _, c := range slices.Clone(e.calls) {
		ev := RecordsApplied{View: e.table.Get(c.att.key), End: e.table.End()}
		if j.Verdict != VerdictNone && j.Claimant == c.cfg.Claimant {
			ev.Verdict, ev.Nonce, ev.Offset = j.Verdict, j.Nonce, j.Offset
		}
		w.step(c, ev)
	}
}

func (w *world) tell(e *simEntry, ev Event) {
	for _, c := range slices.Clone(e.calls) {
		w.step(c, ev)
	}
}

// forever returns the record with a claim's validity unbounded.
func forever(data []byte) []byte {
	r, err := decode(data)
	c, ok := r.(*Claim)
	if err != nil || !ok {
		return data
	}
	c.ValidUntil = 1 << 40
	return encode(c)
}

func (w *world) faultMoves(ms []move) []move {
	if w.faults == 0 {
		return ms
	}
	for _, e := range w.entries {
		ms = append(ms, move{label: "kill " + e.name, fault: true, run: func() { w.killEntry(e) }})
	}
	for _, s := range w.sides {
		ms = append(ms, move{label: "kill " + s.name, fault: true, run: func() {
			s.life++
			s.keys = NewKeyTable(s.incarnation())
		}})
	}
	if !w.away {
		ms = append(ms, move{label: "log away", fault: true, run: func() { w.away = true }})
	}
	ms = append(ms, move{label: "a day passes", fault: true, run: w.pass})
	return ms
}

func (w *world) killEntry(e *simEntry) {
	e.life++
	e.calls = nil
	e.queue = nil
	e.table = NewTable(backing.Offset(w.start))
}

// pass lets more than the retention time go by and trims the log.
func (w *world) pass() {
	w.now = w.now.Add(MaxKeyAge + time.Hour)
	for w.start < len(w.log) && w.now.Sub(w.log[w.start].at) > simRetention {
		w.start++
	}
	for _, s := range w.sides {
		if w.without != trimming {
			s.keys.Expire(w.now)
		}
	}
}

// play makes n moves, or fewer when nothing is left to happen. While a call is
// under way, one move in faultEvery is a fault.
func (w *world) play(n int) {
	const faultEvery, timerEvery = 6, 8
	for range n {
		fault := w.faults > 0 && w.busy() && w.choose(faultEvery) == 0
		ms := slices.DeleteFunc(w.moves(), func(m move) bool { return m.fault != fault })
		if len(ms) == 0 {
			return
		}
		if fault {
			ms = w.oneKind(ms)
		} else if w.choose(timerEvery) != 0 {
			ms = withoutTimers(ms)
		}
		w.make(ms[w.choose(len(ms))])
	}
}

// withoutTimers leaves timers out unless nothing else can happen.
func withoutTimers(ms []move) []move {
	others := slices.DeleteFunc(slices.Clone(ms), move.isTimer)
	if len(others) == 0 {
		return ms
	}
	return others
}

func (m move) isTimer() bool { return strings.HasPrefix(m.label, "timer") }

// oneKind chooses a kind of fault and returns the moves of that kind.
func (w *world) oneKind(ms []move) []move {
	var kinds []string
	for _, m := range ms {
		if k := kindOf(m.label); !slices.Contains(kinds, k) {
			kinds = append(kinds, k)
		}
	}
	kind := kinds[w.choose(len(kinds))]
	return slices.DeleteFunc(ms, func(m move) bool { return kindOf(m.label) != kind })
}

// busy reports whether a call is under way.
func (w *world) busy() bool {
	for _, e := range w.entries {
		for _, c := range e.calls {
			if !c.Done() {
				return true
			}
		}
	}
	return false
}

func (w *world) make(m move) {
	w.trace = append(w.trace, m.label)
	if m.fault {
		w.faults--
		w.count[kindOf(m.label)]++
	}
	m.run()
	w.check()
}

func kindOf(label string) string {
	for _, kind := range []string{"copy", "drop", "refuse request", "kill e", "kill s", "append refused", "lost, stored", "lost, late", "lost, never"} {
		if strings.Contains(label, kind) {
			return kind
		}
	}
	return label
}

// replied notes the answer that an attempt gets.
func (w *world) replied(a *attempt, r Reply) {
	if a.reply != nil {
		w.fail("attempt %d answered twice", a.id)
	}
	a.reply = &r
	w.trace = append(w.trace, fmt.Sprintf("attempt %d answered %v %s", a.id, r.Err, r.Answer.Body))
	if r.Err != nil {
		w.notRun(a, r.Err)
		return
	}
	for _, x := range w.execs {
		if x.key == a.key && string(x.answer.Body) == string(r.Answer.Body) {
			return
		}
	}
	w.fail("attempt %d got the answer of no execution of its key", a.id)
}

// notRun checks that "not run" is true of what earlier attempts with the same
// content did; codes that speak for their own attempt only are left out.
func (w *world) notRun(a *attempt, err *api.Error) {
	own := []api.Code{api.LogUnavailable, api.KeyTooOld, api.KeyConflict, api.KeyFromFuture}
	if err.Ran != api.NotRun || slices.Contains(own, err.Code) {
		return
	}
	if a.begun > 0 {
		w.fail("attempt %d: %v, but its key had run before", a.id, err)
	}
}

// check is the oracle.
func (w *world) check() {
	ran := map[Key]int{}
	by := map[int]bool{}
	for _, x := range w.execs {
		ran[x.key]++
		by[x.attempt] = true
		if ran[x.key] > 1 {
			w.fail("key %s ran twice", x.key)
		}
	}
	for _, a := range w.attempts {
		if a.reply != nil && a.reply.Err != nil && a.reply.Err.Ran == api.NotRun && by[a.id] {
			w.fail("attempt %d was answered not run and ran", a.id)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	w.failf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(w.trace, "\n"))
}
