package remap

import (
	"time"

	"marjorampitch/wire"
)

// Phase is what a Coordinator is about.
type Phase uint8

// Phases of a Coordinator.
const (
	Sealing    Phase = iota // hearing from every rank under the new term or epoch
	Idle                    // no switch is underway
	Preparing               // the map is copied while passes go on
	Holding                 // the holder is to hold the pass of the switch
	Arming                  // every rank is told to switch at that pass, the own one last, by its deputy
	Cancelling              // every rank is made to refuse the switch
	Releasing               // holds are dropped
	Settling                // the switch is agreed; waiting to see it in force everywhere
)

var phaseNames = [...]string{"sealing", "idle", "preparing", "holding", "arming", "cancelling", "releasing", "settling"}

// String returns the name of p for log lines.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Coordinator leads the switches of one group, in the process beside one of
// its ranks.
type Coordinator struct {
	term     int64
	own      EngineState
	reports  []report // by rank
	phase    Phase
	since    time.Duration // when the phase began
	goal     wire.MapGoal
	minted   int64          // versions numbered in this term
	current  []wire.Replica // of the map in force, where known is true
	known    bool           // current is the content of the map in force
	target   []wire.Replica // of the map that is being put in force
	hold     int64          // pass held by the holder for the switch; None for none
	holder   int            // rank that holds it: not the own one
	exempt   int            // rank without which a switch is cancelled; noRank for none
	lastHold int64          // last pass chosen for a hold in this epoch
	// Switched and Abandoned count outcomes.
	Switched, Abandoned int
	broken              mechanisms
}

// mechanisms lists what tests take out to show that it is needed.
type mechanisms struct {
	noHold   bool // ranks are armed without a hold
	noProof  bool // the hold is dropped before all are known to be armed
	noCancel bool // a cancelled arm is only disarmed, not made void
	noSeal   bool // a new coordinator does not look for switches underway
	noDeputy bool // the own rank is armed by the coordinator itself
}

// report is the last word of a rank.
type report struct {
	wire.RankReport
	at time.Duration
	ok bool
}

// NewCoordinator returns the coordinator of a term beside an engine.
func NewCoordinator(term int64, own EngineState, now time.Duration) *Coordinator {
	c := &Coordinator{term: term, own: own}
	c.goal = wire.MapGoal{Group: own.Group, Term: term, Epoch: own.Epoch, Version: None, Step: None, Last: own.Rank}
	c.seal(now)
	return c
}

// Term is the coordinator's term.
func (c *Coordinator) Term() int64 { return c.term }

// Phase is what the coordinator is about.
func (c *Coordinator) Phase() Phase { return c.phase }

// HandleResult takes the result of an order that Next returned. One that was
// accepted has taken effect, though the rank's next report may be older.
func (c *Coordinator) HandleResult(o Order, result Result) {
	r := &c.reports[o.Rank]
	if result != Accepted || !r.ok || r.Epoch != o.Epoch {
		return
	}
	switch o.Kind {
	case OrderHold:
		r.Held = o.Step
	case OrderGo:
		r.Held = None
	}
	r.Accepted = o.Expect + 1
}

// Goal is what every rank is to be told.
func (c *Coordinator) Goal() wire.MapGoal { return c.goal }

// Current is the map in force; ok is false while its content is not known.
func (c *Coordinator) Current() (replicas []wire.Replica, ok bool) { return c.current, c.known }

// HasAnswered reports whether a rank has answered the present goal: it need not be told
// the map again.
func (c *Coordinator) HasAnswered(rank int) bool {
	return rank >= 0 && rank < len(c.reports) && c.reports[rank].ok && c.reports[rank].Seq == c.goal.Seq
}

// Heartbeat is a goal that wants nothing. Ranks that have the present one learn
// from it that the coordinator is there.
func (c *Coordinator) Heartbeat() wire.MapGoal {
	return wire.MapGoal{Group: c.goal.Group, Term: c.term, Epoch: c.goal.Epoch, Version: None, Step: None, Last: c.goal.Last, Deputy: c.goal.Deputy}
}

// seal starts over: nothing is taken for granted of the group.
func (c *Coordinator) seal(now time.Duration) {
	c.reports = make([]report, c.own.Size)
	c.hold, c.lastHold = None, None
	c.holder, c.exempt = (c.own.Rank+1)%max(c.own.Size, 1), noRank
	c.goal.Last, c.goal.Deputy = c.own.Rank, c.holder
	if c.own.Size > 2 { // a frozen holder stops the group: the deputy is another one
		c.goal.Deputy = (c.own.Rank + 2) % c.own.Size
	}
	c.known = false
	c.goal.Epoch = c.own.Epoch
	c.want(NoAction, now, Sealing)
	if c.broken.noSeal {
		c.phase = Idle
	}
}

// want tells the ranks of another stage and enters a phase.
func (c *Coordinator) want(s Stage, now time.Duration, p Phase) {
	c.goal.Stage = uint8(s)
	c.goal.Release, c.goal.Final = nil, false
	if s == Arm || s == NoAction {
		c.goal.Replicas = nil // nobody prepares: goals are sent often, and instances' links are narrow
	}
	c.goal.Seq++
	c.enter(p, now)
}

func (c *Coordinator) enter(p Phase, now time.Duration) {
	c.phase, c.since = p, now
}

// version numbers a new map.
func (c *Coordinator) version() int64 {
	c.minted++
	return (c.term+1)<<versionBits | c.minted
}

// Observe takes a fresh report of the own engine.
func (c *Coordinator) Observe(e EngineState, now time.Duration) {
	formed := e.Epoch != c.own.Epoch || e.Size != c.own.Size
	c.own = e
	if formed {
		c.seal(now)
	}
}

// HandleReport takes a rank's report.
func (c *Coordinator) HandleReport(r wire.RankReport, now time.Duration) {
	if r.Rank < 0 || r.Rank >= len(c.reports) || r.Term != c.term {
		return
	}
	if old := &c.reports[r.Rank]; old.ok && r.Seq < old.Seq {
		return
	}
	c.reports[r.Rank] = report{r, now, true}
}

// all reports whether every rank has answered the present goal in the group's
// epoch and each answer passes the test.
func (c *Coordinator) all(test func(r *report) bool) bool {
	for i := range c.reports {
		if r := &c.reports[i]; i != c.exempt && !(c.answered(r) && test(r)) {
			return false
		}
	}
	return len(c.reports) > 0
}

// answered reports whether a rank has answered the present goal in the group's
// epoch.
func (c *Coordinator) answered(r *report) bool {
	return r.ok && r.Seq == c.goal.Seq && r.Epoch == c.own.Epoch && r.Open
}

// any reports whether an answer passes the test.
func (c *Coordinator) any(test func(r *report) bool) bool {
	for i := range c.reports {
		if r := &c.reports[i]; r.ok && r.Epoch == c.own.Epoch && test(r) {
			return true
		}
	}
	return false
}

// Unresponsive lists the ranks that have not answered the present goal although it
// was wanted, and they were last heard of, longer ago than a while.
func (c *Coordinator) Unresponsive(now, while time.Duration) []int {
	var ranks []int
	for i := range c.reports {
		r := &c.reports[i]
		if r.ok && r.Seq == c.goal.Seq && r.Epoch == c.own.Epoch {
			continue
		}
		if now-max(r.at, c.since) > while {
			ranks = append(ranks, i)
		}
	}
	return ranks
}

// Ready reports whether a proposal would be taken up: nothing is underway and
// every rank has reported lately.
func (c *Coordinator) Ready(now time.Duration) bool {
	return c.phase == Idle && c.known && c.own.Open && c.exempt == noRank && c.own.Size > 1 &&
		c.all(func(r *report) bool { return now-r.at < reportLimit })
}

// Propose begins a switch to a map; it is ignored unless the coordinator is Ready.
func (c *Coordinator) Propose(replicas []wire.Replica, now time.Duration) {
	if !c.Ready(now) {
		return
	}
	c.target = replicas
	c.goal.Version = c.version()
	c.goal.Replicas = replicas
	c.goal.Step = None
	c.want(Prepare, now, Preparing)
}

// Next goes on as far as the reports allow, and returns an order for the
// engine of Order.Rank; ok is false when there is none.
func (c *Coordinator) Next(now time.Duration) (o Order, ok bool) {
	if !c.own.Open {
		return Order{}, false
	}
	o, ok = c.next(now)
	if ok {
		o.Epoch, o.Expect = c.own.Epoch, c.reports[o.Rank].Accepted
	}
	return o, ok
}

func (c *Coordinator) next(now time.Duration) (o Order, ok bool) {
	switch c.phase {
	case Sealing:
		return c.sealed(now)
	case Idle:
		return c.idle(now)
	case Preparing:
		c.prepared(now)
	case Holding:
		return c.holding(now)
	case Arming:
		return c.arming(now)
	case Cancelling:
		return c.cancelling(now)
	case Releasing:
		return c.releasing(now)
	case Settling:
		return c.settling(now)
	}
	return Order{}, false
}

// sealed looks at what an earlier coordinator has left behind, once every rank
// obeys this one.
func (c *Coordinator) sealed(now time.Duration) (Order, bool) {
	if !c.all(func(*report) bool { return true }) && !c.sealedWithout(now) {
		return Order{}, false
	}
	left := func(r *report) bool { return r.Armed != None || r.Held != None }
	if c.any(left) {
		c.hold = c.leftStep()
		c.goal.Step = c.hold
		c.takeHolder()
		c.enter(Holding, now)
		return c.holding(now)
	}
	c.adopt()
	c.enter(Idle, now)
	return Order{}, false
}

// sealedWithout reports whether the former coordinator's rank, out of reach
// with its instance, can be left out: only its deputy arms it, and the deputy,
// who obeys this coordinator now, has not.
func (c *Coordinator) sealedWithout(now time.Duration) bool {
	missing := noRank
	for i := range c.reports {
		r := &c.reports[i]
		if !c.answered(r) {
			if missing != noRank {
				return false
			}
			missing = i
		}
	}
	if missing == noRank || now-c.since < silentLimit {
		return false
	}
	for i := range c.reports {
		r := &c.reports[i]
		if i == missing {
			continue
		}
		if r.Last != missing || r.Rank == r.Deputy && r.Gave != None {
			return false
		}
	}
	c.exempt = missing
	return true
}

// takeHolder makes a rank the holder that holds already, if there is one.
func (c *Coordinator) takeHolder() {
	for i := range c.reports {
		if i != c.exempt && c.reports[i].Held != None {
			c.holder = i
		}
	}
	if c.holder == c.exempt {
		c.holder = c.own.Rank
	}
}

// idle drops holds that came late: nobody is armed under them.
func (c *Coordinator) idle(now time.Duration) (Order, bool) {
	if c.exempt != noRank && c.answered(&c.reports[c.exempt]) {
		c.exempt = noRank
	}
	if c.any(func(r *report) bool { return r.Held != None }) && c.all(func(r *report) bool { return r.Armed == None }) {
		c.releaseOthers(now)
	}
	return Order{}, false
}

// adopt takes map 0, whose content everybody knows, as the current map. Any
// other map of an earlier coordinator has unknown content: its successor is
// planned from map 0's, which costs some copies more.
func (c *Coordinator) adopt() {
	c.current, c.known = nil, true
}

// leftStep is the pass of a switch that an earlier coordinator left behind:
// the last one that any rank holds or is armed for.
func (c *Coordinator) leftStep() int64 {
	step := None
	for i := range c.reports {
		r := &c.reports[i]
		if !r.ok {
			continue
		}
		if r.Held != None {
			step = max(step, r.Held)
		}
		if r.Armed != None {
			step = max(step, r.ArmedAt)
		}
	}
	return step
}

// prepared goes on once every rank has its copies.
func (c *Coordinator) prepared(now time.Duration) {
	v := c.goal.Version
	if c.all(func(r *report) bool { return r.Prepared == v }) {
		c.hold = c.chooseStep()
		c.goal.Step = c.hold
		c.enter(Holding, now)
		return
	}
	refused := c.any(func(r *report) bool { return r.Refused == v })
	if refused || now-c.since > prepareLimit {
		c.Abandoned++
		c.want(NoAction, now, Idle) // nothing is armed: the copies are dropped by the next map
	}
}

// chooseStep is a pass that no rank is near to.
func (c *Coordinator) chooseStep() int64 {
	step := c.step()
	// A hold that was dropped may be dropped once more by a late order: no pass
	// is held twice.
	step = max(step+lead, c.lastHold+1)
	c.lastHold = step
	return step
}

// holding has the holder hold the pass of the switch. A pass that has begun
// is replaced by a later one, unless the hold is there to cancel a switch: then
// what was armed for it has happened.
func (c *Coordinator) holding(now time.Duration) (Order, bool) {
	ours := Stage(c.goal.Stage) == Prepare
	held := c.reports[c.holder].Held
	switch {
	case held == c.hold || c.broken.noHold:
		if ours {
			c.want(Arm, now, Arming)
		} else {
			c.cancel(now)
		}
		return Order{}, false
	case held != None:
		return c.goOn(held)
	case c.step() >= c.hold && !ours:
		c.seal(now)
		return Order{}, false
	case c.step() >= c.hold:
		c.hold = c.chooseStep()
		c.goal.Step = c.hold
	}
	return Order{Kind: OrderHold, Rank: c.holder, Step: c.hold}, true
}

// step is the last pass known to have begun.
func (c *Coordinator) step() int64 {
	step := c.own.Step
	for i := range c.reports {
		step = max(step, c.reports[i].Step)
	}
	return step
}

// goOn drops the holder's hold.
func (c *Coordinator) goOn(step int64) (Order, bool) {
	return Order{Kind: OrderGo, Rank: c.holder, Step: step}, true
}

// arming has the deputy arm the own rank once all others are known to be
// armed, and drops the hold once all are.
func (c *Coordinator) arming(now time.Duration) (Order, bool) {
	v, step := c.goal.Version, c.goal.Step
	armed := func(r *report) bool { return r.Armed == v && r.ArmedAt == step || r.Map == v }
	others := func(r *report) bool { return armed(r) || r.Rank == c.own.Rank }
	late := now-c.since > armLimit || c.any(func(r *report) bool { return r.Refused == v })
	switch {
	case c.broken.noProof || c.all(armed):
		c.enter(Settling, now)
		return c.settling(now)
	case late:
		c.cancel(now)
	case c.broken.noDeputy && c.all(others):
		return Order{Kind: OrderArm, Rank: c.own.Rank, Version: v, Step: step}, true
	case c.all(others) && c.own.Armed != v:
		c.goal.Final, c.goal.Accepted = true, c.own.Accepted
	}
	return Order{}, false
}

// cancel makes every rank refuse the switch. The hold stands.
func (c *Coordinator) cancel(now time.Duration) {
	c.Abandoned++
	c.goal.Version = c.version()
	c.goal.Replicas = c.current
	c.want(Cancel, now, Cancelling)
}

// cancelling drops the holds once no arm can take effect any more.
func (c *Coordinator) cancelling(now time.Duration) (Order, bool) {
	v := c.goal.Version
	void := func(r *report) bool { return r.Armed == None && (r.Prepared == v || c.broken.noCancel) }
	switch {
	case c.all(void):
		c.releaseOthers(now)
		return c.releasing(now)
	case c.any(func(r *report) bool { return r.Refused == v }):
		c.cancel(now) // a late order came between: once more, with a later version
	}
	return Order{}, false
}

// releaseOthers tells the ranks that hold a pass for an earlier coordinator to
// drop it.
func (c *Coordinator) releaseOthers(now time.Duration) {
	release := make([]int64, len(c.reports))
	for i := range c.reports {
		release[i] = c.reports[i].Held
		if i == c.exempt {
			release[i] = None
		}
	}
	c.want(NoAction, now, Releasing)
	c.goal.Release = release
}

// releasing ends when nobody holds a pass.
func (c *Coordinator) releasing(now time.Duration) (Order, bool) {
	if c.all(func(r *report) bool { return r.Held == None }) {
		c.hold = None
		c.adoptUnlessKnown()
		c.enter(Idle, now)
		return Order{}, false
	}
	if held := c.reports[c.holder].Held; held != None && c.holder != c.exempt {
		return c.goOn(held)
	}
	return Order{}, false
}

func (c *Coordinator) adoptUnlessKnown() {
	if !c.known {
		c.adopt()
	}
}

// settling drops the hold and ends when the map is in force everywhere.
func (c *Coordinator) settling(now time.Duration) (Order, bool) {
	v := c.goal.Version
	if c.all(func(r *report) bool { return r.Map == v }) {
		c.hold = None
		c.current = c.target
		c.Switched++
		c.want(NoAction, now, Idle)
		return Order{}, false
	}
	if held := c.reports[c.holder].Held; held != None {
		return c.goOn(held)
	}
	return Order{}, false
}
