package admit

import (
	"time"

	"marjorampitch/route"
	"marjorampitch/wire"
)

const (
	crashEntries  = 4
	crashSides    = 3
	crashLimit    = 2
	crashDelay    = 5 * time.Millisecond // longest delay of a message
	crashDownTime = 2 * time.Second      // longest time that a link or a process is away
	crashWindow   = 2*crashDownTime + 10*crashDelay
	culprit       = uint64(1)
)

// crashRun is one attempt at a side.
type crashRun struct {
	fp    uint64
	entry *crashEntry
	alone bool
	t     Ticket
	start time.Duration
	end   func(whole bool)
}

type crashSide struct {
	name  string
	q     *Quarantine
	up    time.Duration // its engine is up from then on
	limit *ColdStart
	runs  []*crashRun
}

type crashEntry struct {
	q  *Quarantine
	up time.Duration
}

// crashLink joins an entry and a side; every loss starts a new generation.
type crashLink struct {
	up       time.Duration
	life     int
	cursors  [2]uint64        // of what the entry, and the side, has sent
	arrivals [2]time.Duration // of the last message in each direction, as order is kept
}

// crashWorld plays callers, entries, sides and engines. The culprit brings
// down every engine that runs it.
type crashWorld struct {
	draw    func(n int) int
	now     time.Duration
	events  []event
	entries []*crashEntry
	sides   []*crashSide
	links   map[[2]int]*crashLink
	quiet   time.Duration // no process restarts before
	crashes []*crashRun   // culprit's runs that brought a server down
	served  map[uint64]bool
	wait    time.Duration // the culprit's pause before it is sent again
	calm    bool          // no more faults
	broken  func(q *Quarantine)
	bent    func(Verdict) Verdict
	greedy  bool // mutant: sides do not drain for a trial
	shared  int  // times that an innocent was in flight at a crash
	lost    int
	witness *Quarantine   // the only holder of the newest crash's evidence against the culprit
	seen    time.Duration // when that crash was
	unseen  int           // crashes whose only witness was replaced before it can have told
	refused int           // callers that were refused for good
	spread  bool
}

func newCrashWorld(draw func(int) int) *crashWorld {
	w := &crashWorld{draw: draw, links: map[[2]int]*crashLink{}, served: map[uint64]bool{}, spread: true}
	for range crashEntries {
		w.entries = append(w.entries, &crashEntry{q: NewQuarantine(crashLimit)})
	}
	for s := range crashSides {
		side := &crashSide{name: string(rune('a' + s))}
		w.fresh(side)
		w.sides = append(w.sides, side)
	}
	for e := range w.entries {
		for s := range w.sides {
			w.links[[2]int{e, s}] = &crashLink{}
		}
	}
	return w
}

// fresh gives a side process the state of one that has just started.
func (w *crashWorld) fresh(side *crashSide) {
	side.q = NewQuarantine(crashLimit)
	side.limit = NewColdStart(ColdStartConfig{ColdLimit: 16, WarmLimit: 16}, w.now)
	side.runs = nil
}

func (w *crashWorld) at(t time.Duration, do func()) { w.events = append(w.events, event{t, do}) }

// send delivers in order, unless the link is lost before.
func (w *crashWorld) send(l *crashLink, direction int, do func()) bool {
	if w.now < l.up {
		return false
	}
	at := max(l.arrivals[direction], w.now+time.Duration(1+w.draw(5))*time.Millisecond)
	l.arrivals[direction] = at
	life := l.life
	w.at(at, func() {
		if l.life == life {
			do()
		}
	})
	return true
}

// tell sends what is new on every link that is up: the heartbeat.
func (w *crashWorld) tell() {
	if !w.spread {
		return
	}
	for e, entry := range w.entries {
		for s, side := range w.sides {
			l := w.links[[2]int{e, s}]
			w.tellOne(l, 0, entry.q, side.q)
			w.tellOne(l, 1, side.q, entry.q)
		}
	}
}

func (w *crashWorld) tellOne(l *crashLink, direction int, from, to *Quarantine) {
	news, cursor := from.ChangesSince(l.cursors[direction])
	if len(news) == 0 {
		return
	}
	sent := append([]wire.Suspect(nil), news...)
	if w.send(l, direction, func() { to.Merge(sent, w.now) }) {
		l.cursors[direction] = cursor
	}
}

func (w *crashWorld) cut(l *crashLink, away time.Duration) {
	w.lost++
	*l = crashLink{up: w.now + away, life: l.life + 1}
}

func (w *crashWorld) downTime() time.Duration {
	return time.Duration(w.draw(int(crashDownTime/time.Millisecond))) * time.Millisecond
}

// call is one caller: it sends until it is refused for good. A failed caller
// waits; one that was served soon sends the same again.
func (w *crashWorld) call(fp uint64) {
	e := w.draw(crashEntries)
	again := func() {
		wait := time.Duration(0)
		if fp == culprit {
			wait = w.wait
		}
		w.at(w.now+wait+time.Duration(w.draw(50))*time.Millisecond, func() { w.call(fp) })
	}
	entry := w.entries[e]
	verdict := w.judge(entry.q, fp)
	if verdict == Refuse {
		w.refused++
		return
	}
	s, ok := w.pick(e, fp, verdict)
	if !ok || w.now < entry.up {
		again()
		return
	}
	r := &crashRun{fp: fp, entry: entry, alone: verdict == RunAlone}
	r.end = func(whole bool) {
		if whole {
			w.served[fp] = true
			entry.q.RecordCompletion(fp, w.now)
			w.at(w.now+time.Duration(w.draw(300))*time.Millisecond, func() { w.call(fp) })
			return
		}
		again()
	}
	if !w.send(w.links[[2]int{e, s}], 0, func() { w.start(w.sides[s], r) }) {
		again()
		return
	}
	life := w.links[[2]int{e, s}].life
	w.at(w.now+3*time.Second, func() { // the entry gives the attempt up when its link was lost
		if w.links[[2]int{e, s}].life != life && r.start == 0 {
			again()
		}
	})
}

func (w *crashWorld) judge(q *Quarantine, fp uint64) Verdict {
	if w.bent != nil {
		return w.bent(q.Check(fp, w.now))
	}
	return q.Check(fp, w.now)
}

func (w *crashWorld) pick(e int, fp uint64, verdict Verdict) (int, bool) {
	candidates := make([]route.Candidate, crashSides)
	var up []int
	for s, side := range w.sides {
		down := w.now < side.up || w.now < w.links[[2]int{e, s}].up
		candidates[s] = route.Candidate{Hash: route.HashName(side.name), Excluded: down}
		if !down {
			up = append(up, s)
		}
	}
	if verdict == RunAlone {
		return route.TrialCandidate(fp, candidates)
	}
	if len(up) == 0 {
		return 0, false
	}
	return up[w.draw(len(up))], true
}

// start is the side's own check, and the engine.
func (w *crashWorld) start(side *crashSide, r *crashRun) {
	verdict := w.judge(side.q, r.fp)
	refused := verdict == Refuse || verdict == RunAlone && !r.alone || w.now < side.up
	r.start = w.now
	if refused {
		r.end(false)
		return
	}
	if w.greedy {
		side.limit.reserved = 0
	}
	t, err := side.limit.Admit(w.now, r.alone)
	if err != nil {
		r.end(false)
		return
	}
	r.t = t
	side.runs = append(side.runs, r)
	w.at(w.now+time.Duration(20+w.draw(300))*time.Millisecond, func() { w.finish(side, r) })
}

func (w *crashWorld) finish(side *crashSide, r *crashRun) {
	i := 0
	for i < len(side.runs) && side.runs[i] != r {
		i++
	}
	if i == len(side.runs) {
		return // the engine went down under it
	}
	if r.fp == culprit {
		w.crashes = append(w.crashes, r)
		w.crash(side)
		return
	}
	side.runs = append(side.runs[:i], side.runs[i+1:]...)
	side.limit.Finish(r.t, w.now, true)
	side.q.RecordCompletion(r.fp, w.now)
	r.end(true)
}

// crash takes a side's engine down, and now and then the side process with it:
// then the entries draw the conclusion from its new incarnation.
func (w *crashWorld) crash(side *crashSide) {
	id := uint64(w.now)<<8 | uint64(side.name[0])
	runs, trial := side.runs, side.runs[0].alone
	side.runs = nil
	side.limit.RecordCrash(w.now)
	side.up = w.now + w.downTime()
	witness := map[*Quarantine][]uint64{}
	for _, r := range runs {
		side.limit.Finish(r.t, w.now, false)
		holder := side.q
		if w.draw(4) == 0 {
			holder = r.entry.q
		}
		if r.fp != culprit {
			w.shared++
		}
		if r.fp == culprit {
			w.witness, w.seen = holder, w.now
		}
		witness[holder] = append(witness[holder], r.fp)
	}
	for holder, fps := range witness {
		if w.broken != nil {
			w.broken(holder)
			continue
		}
		holder.RecordCrash(id, fps, trial, w.now)
	}
	w.tell()
	for _, r := range runs {
		r.end(false)
	}
}

// fault loses links, and replaces one process at a time.
func (w *crashWorld) fault() {
	if w.calm {
		return
	}
	if w.draw(20) == 0 {
		w.cut(w.links[[2]int{w.draw(crashEntries), w.draw(crashSides)}], w.downTime())
	}
	if w.now < w.quiet || w.draw(40) > 0 {
		return
	}
	w.quiet = w.now + crashWindow
	if w.draw(2) == 0 {
		w.replaceEntry(w.draw(crashEntries))
		return
	}
	w.replaceSide(w.draw(crashSides))
}

// forget counts the loss of the only witness of a crash.
func (w *crashWorld) forget(q *Quarantine) {
	if q == w.witness && w.now < w.seen+crashWindow {
		w.unseen++
	}
}

func (w *crashWorld) replaceEntry(e int) {
	entry := w.entries[e]
	w.forget(entry.q)
	*entry = crashEntry{q: NewQuarantine(crashLimit), up: w.now + w.downTime()}
	for s := range w.sides {
		w.cut(w.links[[2]int{e, s}], entry.up-w.now)
	}
}

func (w *crashWorld) replaceSide(s int) {
	side := w.sides[s]
	runs := side.runs
	w.forget(side.q)
	away := w.downTime()
	w.fresh(side)
	side.up = w.now + away
	for e := range w.entries {
		w.cut(w.links[[2]int{e, s}], away)
	}
	for _, r := range runs {
		r.end(false)
	}
}

func (w *crashWorld) run(steps int) {
	for range steps {
		w.now += time.Duration(1+w.draw(20)) * time.Millisecond
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at > w.now {
				w.events = append(w.events, e)
				continue
			}
			e.do()
		}
		w.fault()
		w.tell()
	}
}
