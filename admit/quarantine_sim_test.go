package admit

import (
	"time"

	"marjorampitch/route"
	"marjorampitch/wire"
)

const (
	crashEntries     = 4
	crashSides       = 3
	crashLimit       = 2
	crashMaxDelay    = 5 * time.Millisecond                  // largest delay of a message
	crashMaxDownTime = 2 * time.Second                       // longest time that a link, process or engine is down
	crashWindow      = 2*crashMaxDownTime + 10*crashMaxDelay // time within which all processes have the evidence of a crash
	poisonFP         = uint64(1)                             // fingerprint of the request that crashes every engine
)

// crashRun is one attempt of a request at a sidecar.
type crashRun struct {
	fp     uint64
	entry  *crashEntry
	alone  bool
	ticket Ticket
	start  time.Duration
	end    func(complete bool)
}

type crashSide struct {
	name   string
	q      *Quarantine
	upFrom time.Duration // its engine is down until then
	limit  *ColdStart
	runs   []*crashRun
}

type crashEntry struct {
	q      *Quarantine
	upFrom time.Duration
}

// crashLink is the connection of a front proxy and a sidecar. Each loss starts a
// new generation, and messages of older generations are dropped.
type crashLink struct {
	upFrom      time.Duration
	generation  int
	cursors     [2]uint64        // of the evidence sent by the front proxy and by the sidecar
	lastArrival [2]time.Duration // per direction; messages arrive in order
}

// crashSim simulates callers, front proxies, sidecars and engines. The request
// with fingerprint poisonFP crashes every engine that runs it.
type crashSim struct {
	draw             func(n int) int
	now              time.Duration
	events           []event
	entries          []*crashEntry
	sides            []*crashSide
	links            map[[2]int]*crashLink
	nextReplacement  time.Duration   // no process is replaced before
	crashes          []*crashRun     // runs that crashed an engine
	served           map[uint64]bool // fingerprints of requests that completed
	retryDelay       time.Duration   // minimum time before the poison request is sent again
	noFaults         bool
	skipAttribution  func(q *Quarantine)   // mutation: called in place of RecordCrash
	overrideVerdict  func(Verdict) Verdict // mutation
	noDraining       bool                  // mutation: sidecars do not drain for a trial
	harmlessAffected int                   // harmless requests in flight at a crash
	linksLost        int
	observer         *Quarantine   // the only process that attributed the newest crash to the poison request
	observedAt       time.Duration // when that crash happened
	observersLost    int           // crashes whose only observer was replaced before its evidence was sure to have spread
	refusedCallers   int           // callers whose request was refused for good
	exchange         bool          // processes exchange evidence; false as a mutation
}

func newCrashSim(draw func(int) int) *crashSim {
	sim := &crashSim{draw: draw, links: map[[2]int]*crashLink{}, served: map[uint64]bool{}, exchange: true}
	for range crashEntries {
		sim.entries = append(sim.entries, &crashEntry{q: NewQuarantine(crashLimit)})
	}
	for s := range crashSides {
		side := &crashSide{name: string(rune('a' + s))}
		sim.resetSide(side)
		sim.sides = append(sim.sides, side)
	}
	for e := range sim.entries {
		for s := range sim.sides {
			sim.links[[2]int{e, s}] = &crashLink{}
		}
	}
	return sim
}

// resetSide gives a sidecar the state of one that has just started.
func (sim *crashSim) resetSide(side *crashSide) {
	side.q = NewQuarantine(crashLimit)
	side.limit = NewColdStart(ColdStartConfig{ColdLimit: 16, WarmLimit: 16}, sim.now)
	side.runs = nil
}

func (sim *crashSim) at(t time.Duration, do func()) { sim.events = append(sim.events, event{t, do}) }

// send delivers messages of one direction in order, unless the link is lost
// first. It reports whether the link was up.
func (sim *crashSim) send(l *crashLink, direction int, do func()) bool {
	if sim.now < l.upFrom {
		return false
	}
	at := max(l.lastArrival[direction], sim.now+time.Duration(1+sim.draw(5))*time.Millisecond)
	l.lastArrival[direction] = at
	generation := l.generation
	sim.at(at, func() {
		if l.generation == generation {
			do()
		}
	})
	return true
}

// exchangeEvidence sends new evidence on every link that is up, as heartbeats do.
func (sim *crashSim) exchangeEvidence() {
	if !sim.exchange {
		return
	}
	for e, entry := range sim.entries {
		for s, side := range sim.sides {
			l := sim.links[[2]int{e, s}]
			sim.sendEvidence(l, 0, entry.q, side.q)
			sim.sendEvidence(l, 1, side.q, entry.q)
		}
	}
}

func (sim *crashSim) sendEvidence(l *crashLink, direction int, from, to *Quarantine) {
	changes, cursor := from.ChangesSince(l.cursors[direction])
	if len(changes) == 0 {
		return
	}
	sent := append([]wire.Suspect(nil), changes...)
	if sim.send(l, direction, func() { to.Merge(sent, sim.now) }) {
		l.cursors[direction] = cursor
	}
}

func (sim *crashSim) cutLink(l *crashLink, downTime time.Duration) {
	sim.linksLost++
	*l = crashLink{upFrom: sim.now + downTime, generation: l.generation + 1}
}

func (sim *crashSim) downTime() time.Duration {
	return time.Duration(sim.draw(int(crashMaxDownTime/time.Millisecond))) * time.Millisecond
}

// sendRequest simulates one caller, who sends the same request until it is
// refused for good. A request that failed is resent within 50 ms, the crashing
// request retryDelay later than that, and a completed request within 300 ms.
func (sim *crashSim) sendRequest(fp uint64) {
	e := sim.draw(crashEntries)
	retry := func() {
		delay := time.Duration(0)
		if fp == poisonFP {
			delay = sim.retryDelay
		}
		sim.at(sim.now+delay+time.Duration(sim.draw(50))*time.Millisecond, func() { sim.sendRequest(fp) })
	}
	entry := sim.entries[e]
	verdict := sim.check(entry.q, fp)
	if verdict == Refuse {
		sim.refusedCallers++
		return
	}
	s, ok := sim.pick(e, fp, verdict)
	if !ok || sim.now < entry.upFrom {
		retry()
		return
	}
	r := &crashRun{fp: fp, entry: entry, alone: verdict == RunAlone}
	r.end = func(complete bool) {
		if complete {
			sim.served[fp] = true
			entry.q.RecordCompletion(fp, sim.now)
			sim.at(sim.now+time.Duration(sim.draw(300))*time.Millisecond, func() { sim.sendRequest(fp) })
			return
		}
		retry()
	}
	if !sim.send(sim.links[[2]int{e, s}], 0, func() { sim.start(sim.sides[s], r) }) {
		retry()
		return
	}
	generation := sim.links[[2]int{e, s}].generation
	sim.at(sim.now+3*time.Second, func() { // the front proxy abandons an attempt whose link was lost
		if sim.links[[2]int{e, s}].generation != generation && r.start == 0 {
			retry()
		}
	})
}

func (sim *crashSim) check(q *Quarantine, fp uint64) Verdict {
	if sim.overrideVerdict != nil {
		return sim.overrideVerdict(q.Check(fp, sim.now))
	}
	return q.Check(fp, sim.now)
}

func (sim *crashSim) pick(e int, fp uint64, verdict Verdict) (int, bool) {
	candidates := make([]route.Candidate, crashSides)
	var up []int
	for s, side := range sim.sides {
		down := sim.now < side.upFrom || sim.now < sim.links[[2]int{e, s}].upFrom
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
	return up[sim.draw(len(up))], true
}

// start checks and admits the request at the sidecar, and starts it on the engine.
func (sim *crashSim) start(side *crashSide, r *crashRun) {
	verdict := sim.check(side.q, r.fp)
	refused := verdict == Refuse || verdict == RunAlone && !r.alone || sim.now < side.upFrom
	r.start = sim.now
	if refused {
		r.end(false)
		return
	}
	if sim.noDraining {
		side.limit.reservedUntil = 0
	}
	t, err := side.limit.Admit(sim.now, r.alone)
	if err != nil {
		r.end(false)
		return
	}
	r.ticket = t
	side.runs = append(side.runs, r)
	sim.at(sim.now+time.Duration(20+sim.draw(300))*time.Millisecond, func() { sim.finish(side, r) })
}

func (sim *crashSim) finish(side *crashSide, r *crashRun) {
	i := 0
	for i < len(side.runs) && side.runs[i] != r {
		i++
	}
	if i == len(side.runs) {
		return // already ended by a crash of its engine or a replacement of its sidecar
	}
	if r.fp == poisonFP {
		sim.crashes = append(sim.crashes, r)
		sim.crashEngine(side)
		return
	}
	side.runs = append(side.runs[:i], side.runs[i+1:]...)
	side.limit.Finish(r.ticket, sim.now, true)
	side.q.RecordCompletion(r.fp, sim.now)
	r.end(true)
}

// crashEngine crashes the engine of a sidecar. The evidence against each request
// is recorded by the sidecar or, in one of four cases, by the front proxy, as if
// the sidecar had failed too and its new incarnation had shown the crash.
func (sim *crashSim) crashEngine(side *crashSide) {
	id := uint64(sim.now)<<8 | uint64(side.name[0])
	runs, trial := side.runs, side.runs[0].alone
	side.runs = nil
	side.limit.RecordCrash(sim.now)
	side.upFrom = sim.now + sim.downTime()
	observers := map[*Quarantine][]uint64{}
	for _, r := range runs {
		side.limit.Finish(r.ticket, sim.now, false)
		observer := side.q
		if sim.draw(4) == 0 {
			observer = r.entry.q
		}
		if r.fp != poisonFP {
			sim.harmlessAffected++
		}
		if r.fp == poisonFP {
			sim.observer, sim.observedAt = observer, sim.now
		}
		observers[observer] = append(observers[observer], r.fp)
	}
	for observer, fps := range observers {
		if sim.skipAttribution != nil {
			sim.skipAttribution(observer)
			continue
		}
		observer.RecordCrash(id, fps, trial, sim.now)
	}
	sim.exchangeEvidence()
	for _, r := range runs {
		r.end(false)
	}
}

// injectFault cuts links and replaces processes, at most one per crashWindow.
func (sim *crashSim) injectFault() {
	if sim.noFaults {
		return
	}
	if sim.draw(20) == 0 {
		sim.cutLink(sim.links[[2]int{sim.draw(crashEntries), sim.draw(crashSides)}], sim.downTime())
	}
	if sim.now < sim.nextReplacement || sim.draw(40) > 0 {
		return
	}
	sim.nextReplacement = sim.now + crashWindow
	if sim.draw(2) == 0 {
		sim.replaceEntry(sim.draw(crashEntries))
		return
	}
	sim.replaceSide(sim.draw(crashSides))
}

// countLostObserver counts the replacement of a process that may still be the
// only one with the evidence of a crash.
func (sim *crashSim) countLostObserver(q *Quarantine) {
	if q == sim.observer && sim.now < sim.observedAt+crashWindow {
		sim.observersLost++
	}
}

func (sim *crashSim) replaceEntry(e int) {
	entry := sim.entries[e]
	sim.countLostObserver(entry.q)
	*entry = crashEntry{q: NewQuarantine(crashLimit), upFrom: sim.now + sim.downTime()}
	for s := range sim.sides {
		sim.cutLink(sim.links[[2]int{e, s}], entry.upFrom-sim.now)
	}
}

func (sim *crashSim) replaceSide(s int) {
	side := sim.sides[s]
	runs := side.runs
	sim.countLostObserver(side.q)
	downTime := sim.downTime()
	sim.resetSide(side)
	side.upFrom = sim.now + downTime
	for e := range sim.entries {
		sim.cutLink(sim.links[[2]int{e, s}], downTime)
	}
	for _, r := range runs {
		r.end(false)
	}
}

func (sim *crashSim) run(steps int) {
	for range steps {
		sim.now += time.Duration(1+sim.draw(20)) * time.Millisecond
		due := sim.events
		sim.events = nil
		for _, e := range due {
			if e.at > sim.now {
				sim.events = append(sim.events, e)
				continue
			}
			e.do()
		}
		sim.injectFault()
		sim.exchangeEvidence()
	}
}
