package claim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
)

// transition is one possible next step of a simulation.
type transition struct {
	label string
	fault bool
	run   func()
}

// transitions returns the enabled transitions, including faults while any are left.
func (sim *simulation) transitions() []transition {
	var ts []transition
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(i *delivery) bool {
		return i.to != nil && (i.to.Done() || i.to.generation != i.to.entry.generation)
	})
	ts = sim.messageTransitions(ts)
	for _, e := range sim.entries {
		ts = sim.entryTransitions(ts, e)
	}
	for i, data := range sim.lateAppends {
		ts = append(ts, transition{label: "late append stored", run: func() {
			sim.lateAppends = slices.Delete(sim.lateAppends, i, i+1)
			sim.appendToLog(data)
		}})
	}
	if len(sim.pending) > 0 {
		for _, e := range sim.entries {
			ts = append(ts, transition{label: "attempt at " + e.name, run: func() { sim.startNext(e) }})
		}
	}
	if sim.logDown {
		ts = append(ts, transition{label: "log up", run: func() { sim.logDown = false }})
	}
	return sim.faultTransitions(ts)
}

func (sim *simulation) messageTransitions(ts []transition) []transition {
	for i, d := range sim.inFlight {
		take := func() { sim.inFlight = slices.Delete(sim.inFlight, i, i+1) }
		ts = append(ts, transition{label: d.label, run: func() { take(); d.run() }})
		if sim.faults == 0 {
			continue
		}
		if d.dup {
			ts = append(ts, transition{label: "copy of " + d.label, fault: true, run: d.run})
		}
		if d.refuse != nil {
			ts = append(ts, transition{label: "refuse " + d.label, fault: true, run: d.refuse})
		}
		if d.onDrop != nil {
			ts = append(ts, transition{label: "drop " + d.label, fault: true, run: func() { take(); d.onDrop() }})
		}
	}
	return ts
}

func (sim *simulation) entryTransitions(ts []transition, e *simEntry) []transition {
	if !sim.logDown && int(e.table.End()) < len(sim.log) {
		ts = append(ts, transition{label: e.name + " reads", run: func() { sim.readAvailable(e) }})
	}
	if len(e.queue) > 0 {
		ts = sim.appendTransitions(ts, e)
	}
	for _, c := range e.calls {
		if !c.Done() {
			ts = append(ts, transition{label: fmt.Sprint("timer of attempt ", c.attempt.id), run: func() { sim.tick(c) }})
		}
	}
	return ts
}

// tick advances the time to the call's timer; all other processes count as paused
// until then.
func (sim *simulation) tick(c *simCall) {
	if at := c.NextTick(); at.After(sim.now) {
		sim.now = at
	}
	sim.step(c, Tick{})
}

func (sim *simulation) startNext(e *simEntry) {
	a := sim.pending[0]
	sim.pending = sim.pending[1:]
	sim.startAttempt(a, e, a.id%3 == 2)
}

// appendTransitions returns the possible results of appending the queue of a front
// proxy as one batch.
func (sim *simulation) appendTransitions(ts []transition, e *simEntry) []transition {
	add := func(label string, fault, storeNow, storeLate bool, err error) {
		ts = append(ts, transition{label: e.name + " " + label, fault: fault, run: func() {
			batch := e.queue
			e.queue = nil
			for _, q := range batch {
				if storeNow {
					sim.appendToLog(q.data)
				}
				if storeLate {
					sim.lateAppends = append(sim.lateAppends, q.data)
				}
				q.done(err)
			}
		}})
	}
	if sim.logDown {
		add("append refused", false, false, false, backing.ErrRefused)
		return ts
	}
	add("append", false, true, false, nil)
	if sim.faults == 0 {
		return ts
	}
	add("append refused", true, false, false, backing.ErrRefused)
	add("append answer lost, stored", true, true, false, backing.ErrUnknown)
	add("append answer lost, late", true, false, true, backing.ErrUnknown)
	add("append answer lost, never", true, false, false, backing.ErrUnknown)
	return ts
}

func (sim *simulation) appendToLog(data []byte) {
	sim.log = append(sim.log, logRecord{data: data, at: sim.now})
}

// readAvailable applies the next record, or all available records in exhaustive mode.
func (sim *simulation) readAvailable(e *simEntry) {
	sim.readOne(e)
	for sim.exhaustive && int(e.table.End()) < len(sim.log) {
		sim.readOne(e)
	}
}

// readOne applies the next record and notifies the calls of the front proxy.
func (sim *simulation) readOne(e *simEntry) {
	if int(e.table.End()) < sim.logStart {
		e.table = NewTable(backing.Offset(sim.logStart))
		if sim.disabled != trimGuards {
			sim.notifyCalls(e, RecordsTrimmed{})
		}
		return
	}
	at := e.table.End()
	data := sim.log[at].data
	if sim.disabled == uniformExpiry && e == sim.entries[0] {
		data = withoutExpiry(data)
	}
	res := e.table.Apply(backing.Record{Offset: at, Data: data})
	for _, c := range slices.Clone(e.calls) {
		ev := RecordsApplied{View: e.table.Get(c.attempt.key), End: e.table.End()}
		if res.Verdict != VerdictNone && res.Claimant == c.cfg.Claimant {
			ev.Verdict, ev.Nonce, ev.Offset = res.Verdict, res.Nonce, res.Offset
		}
		sim.step(c, ev)
	}
}

func (sim *simulation) notifyCalls(e *simEntry, ev Event) {
	for _, c := range slices.Clone(e.calls) {
		sim.step(c, ev)
	}
}

// withoutExpiry returns the record. In a claim it sets ValidUntil to an offset that is
// never reached.
func withoutExpiry(data []byte) []byte {
	r, err := decode(data)
	c, ok := r.(*Claim)
	if err != nil || !ok {
		return data
	}
	c.ValidUntil = 1 << 40
	return encode(c)
}

func (sim *simulation) faultTransitions(ts []transition) []transition {
	if sim.faults == 0 {
		return ts
	}
	for _, e := range sim.entries {
		ts = append(ts, transition{label: "kill " + e.name, fault: true, run: func() { sim.killEntry(e) }})
	}
	for _, s := range sim.sides {
		ts = append(ts, transition{label: "kill " + s.name, fault: true, run: func() {
			s.generation++
			s.table = NewKeyTable(s.incarnation())
		}})
	}
	if !sim.logDown {
		ts = append(ts, transition{label: "log down", fault: true, run: func() { sim.logDown = true }})
	}
	ts = append(ts, transition{label: "a day passes", fault: true, run: sim.passDay})
	return ts
}

func (sim *simulation) killEntry(e *simEntry) {
	e.generation++
	e.calls = nil
	e.queue = nil
	e.table = NewTable(backing.Offset(sim.logStart))
}

// passDay advances the time by an hour more than MaxKeyAge and trims the records
// older than the retention time.
func (sim *simulation) passDay() {
	sim.now = sim.now.Add(MaxKeyAge + time.Hour)
	for sim.logStart < len(sim.log) && sim.now.Sub(sim.log[sim.logStart].at) > simRetention {
		sim.logStart++
	}
	for _, s := range sim.sides {
		if sim.disabled != trimGuards {
			s.table.Expire(sim.now)
		}
	}
}

// runRandom makes up to n random transitions. While a call is in progress, on average
// one transition in faultEvery is a fault, and timers are candidates for one in
// timerEvery of the others.
func (sim *simulation) runRandom(n int) {
	const faultEvery, timerEvery = 6, 8
	for range n {
		fault := sim.faults > 0 && sim.busy() && sim.choose(faultEvery) == 0
		ts := slices.DeleteFunc(sim.transitions(), func(tr transition) bool { return tr.fault != fault })
		if len(ts) == 0 {
			return
		}
		if fault {
			ts = sim.oneFaultKind(ts)
		} else if sim.choose(timerEvery) != 0 {
			ts = withoutTimers(ts)
		}
		sim.apply(ts[sim.choose(len(ts))])
	}
}

// withoutTimers removes the timers unless there is nothing else.
func withoutTimers(ts []transition) []transition {
	others := slices.DeleteFunc(slices.Clone(ts), transition.isTimer)
	if len(others) == 0 {
		return ts
	}
	return others
}

func (tr transition) isTimer() bool { return strings.HasPrefix(tr.label, "timer") }

// oneFaultKind selects one kind of fault at random and returns its transitions, so
// that kinds with many transitions are not preferred.
func (sim *simulation) oneFaultKind(ts []transition) []transition {
	var kinds []string
	for _, tr := range ts {
		if k := faultKind(tr.label); !slices.Contains(kinds, k) {
			kinds = append(kinds, k)
		}
	}
	kind := kinds[sim.choose(len(kinds))]
	return slices.DeleteFunc(ts, func(tr transition) bool { return faultKind(tr.label) != kind })
}

// busy reports whether a call is in progress.
func (sim *simulation) busy() bool {
	for _, e := range sim.entries {
		for _, c := range e.calls {
			if !c.Done() {
				return true
			}
		}
	}
	return false
}

func (sim *simulation) apply(tr transition) {
	sim.trace = append(sim.trace, tr.label)
	if tr.fault {
		sim.faults--
		sim.faultCounts[faultKind(tr.label)]++
	}
	tr.run()
	sim.check()
}

func faultKind(label string) string {
	for _, kind := range []string{"copy", "drop", "refuse request", "kill e", "kill s", "append refused", "lost, stored", "lost, late", "lost, never"} {
		if strings.Contains(label, kind) {
			return kind
		}
	}
	return label
}

// recordReply records and checks the reply to an attempt.
func (sim *simulation) recordReply(a *attempt, r Reply) {
	if a.reply != nil {
		sim.fail("attempt %d answered twice", a.id)
	}
	a.reply = &r
	sim.trace = append(sim.trace, fmt.Sprintf("attempt %d answered %v %s", a.id, r.Err, r.Answer.Body))
	if r.Err != nil {
		sim.checkNotRun(a, r.Err)
		return
	}
	for _, x := range sim.executions {
		if x.key == a.key && string(x.answer.Body) == string(r.Answer.Body) {
			return
		}
	}
	sim.fail("attempt %d got an answer that no execution of its key returned", a.id)
}

// checkNotRun checks that no earlier attempt with the key had run when an attempt
// answered "not run" started. Codes whose "not run" covers only their own attempt are
// exempt.
func (sim *simulation) checkNotRun(a *attempt, err *api.Error) {
	own := []api.Code{api.LogUnavailable, api.KeyTooOld, api.KeyConflict, api.KeyFromFuture}
	if err.Ran != api.NotRun || slices.Contains(own, err.Code) {
		return
	}
	if a.runsBefore > 0 {
		sim.fail("attempt %d: %v, but its key had run before the attempt", a.id, err)
	}
}

// check is the oracle: no key runs twice, and no attempt answered "not run" has run.
func (sim *simulation) check() {
	ran := map[Key]int{}
	by := map[int]bool{}
	for _, x := range sim.executions {
		ran[x.key]++
		by[x.attempt] = true
		if ran[x.key] > 1 {
			sim.fail("key %s ran twice", x.key)
		}
	}
	for _, a := range sim.attempts {
		if a.reply != nil && a.reply.Err != nil && a.reply.Err.Ran == api.NotRun && by[a.id] {
			sim.fail("attempt %d was answered \"not run\" but ran", a.id)
		}
	}
}

func (sim *simulation) fail(format string, args ...any) {
	sim.failf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(sim.trace, "\n"))
}
