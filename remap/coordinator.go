package remap

import (
	"time"

	"marjorampitch/wire"
)

// Phase is the phase of a switch, or of its coordinator between switches.
type Phase uint8

// Phases of a Coordinator.
const (
	Sealing    Phase = iota // waits until every rank has answered under the new term or epoch
	Idle                    // no switch is in progress
	Preparing               // ranks copy the experts that the map adds while passes continue
	Confirming              // every rank answers that it is there, so that the hold will be short
	Holding                 // the holder is ordered to hold the pass of the switch
	Arming                  // ranks are armed for that pass, the coordinator's own rank last, by the delegate
	Cancelling              // ranks are made to refuse the switch
	Releasing               // holds are released
	Settling                // all ranks are armed; waits until every rank reports the map in force
)

var phaseNames = [...]string{"sealing", "idle", "preparing", "confirming", "holding", "arming", "cancelling", "releasing", "settling"}

// String returns the name of p for log lines.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Coordinator runs the map switches of one group. It runs in the process beside
// one of the group's ranks.
type Coordinator struct {
	term          int64
	engine        EngineState // of the coordinator's own rank
	reports       []report    // by rank
	phase         Phase
	phaseStart    time.Duration
	goal          wire.MapGoal
	versionCount  int64          // map versions allocated in this term
	current       []wire.Replica // map in force, if currentKnown
	currentKnown  bool
	assumed       bool           // current is the initial map for want of better knowledge
	returning     bool           // the next switch leads to the initial map, because a rank refused a plan from an assumed map
	target        []wire.Replica // map proposed last
	targetVersion int64          // of target
	holdStep      int64          // pass that the holder is ordered to hold for the switch; None if there is none
	holder        int            // rank whose engine is ordered to hold holdStep
	excluded      int            // unreachable rank that a switch is cancelled without; noRank if there is none
	lastHoldStep  int64          // last pass chosen for a hold in this epoch
	// Switched counts the switches completed in this term, Abandoned those abandoned
	// or cancelled.
	Switched, Abandoned int
	pause               switchPause
	lead                holdLead
	recorder            recorder // of the switch in progress
	disabled            mechanisms
}

// mechanisms lists the safety mechanisms that mutation tests disable.
type mechanisms struct {
	noHold         bool // ranks are armed without a hold
	noConfirmation bool // the hold is released before all ranks are known to be armed
	noCancel       bool // a cancelled arm is only disarmed; no later version is prepared to make late arms fail
	noSeal         bool // a new coordinator does not look for switches in progress
	noDelegate     bool // the coordinator arms its own rank itself
}

// report is the report of a rank on the latest goal that it has answered.
type report struct {
	wire.RankReport
	receivedAt time.Duration
	received   bool   // whether there is a report
	lastSeq    uint64 // goal that the last report received was on; lower than Seq after a restart of the rank's process
}

// NewCoordinator returns a coordinator of a term. engine is the state of its own
// rank.
func NewCoordinator(term int64, engine EngineState, now time.Duration) *Coordinator {
	c := &Coordinator{term: term, engine: engine}
	c.goal = wire.MapGoal{Group: engine.Group, Term: term, Epoch: engine.Epoch, Version: None, Step: None, Last: engine.Rank}
	c.startSealing(now)
	return c
}

// Term returns the coordinator's term.
func (c *Coordinator) Term() int64 { return c.term }

// Phase returns the current phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// HandleResult records the result of an order returned by Next. An accepted order
// is applied to the rank's last report at once, because the rank's next report
// may predate the order.
func (c *Coordinator) HandleResult(o Order, result Result) {
	r := &c.reports[o.Rank]
	if result != Accepted || !r.received || r.Epoch != o.Epoch {
		return
	}
	switch o.Kind {
	case OrderHold:
		r.Held = o.Step
	case OrderRelease:
		r.Held = None
	}
	r.Accepted = o.Expect + 1
}

// Goal returns the current goal, to be sent to every rank.
func (c *Coordinator) Goal() wire.MapGoal { return c.goal }

// Current returns the map in force; ok is false while its content is unknown.
func (c *Coordinator) Current() (replicas []wire.Replica, ok bool) { return c.current, c.currentKnown }

// KnowsGoal reports whether the process beside a rank has the current goal, so
// that Heartbeat is sufficient for it. A process that restarts loses the goal,
// also if it, or a substitute, has answered the goal before.
func (c *Coordinator) KnowsGoal(rank int) bool {
	return rank >= 0 && rank < len(c.reports) && c.reports[rank].received && c.reports[rank].lastSeq == c.goal.Seq
}

// Heartbeat returns a goal without an action. It shows ranks that have the
// current goal that the coordinator is alive.
func (c *Coordinator) Heartbeat() wire.MapGoal {
	return wire.MapGoal{Group: c.goal.Group, Term: c.term, Epoch: c.goal.Epoch, Version: None, Step: None, Last: c.goal.Last, Delegate: c.goal.Delegate}
}

// startSealing discards all knowledge of the group and enters Sealing.
func (c *Coordinator) startSealing(now time.Duration) {
	c.recorder.begin(now)
	c.reports = make([]report, c.engine.Size)
	c.holdStep, c.lastHoldStep = None, None
	c.holder, c.excluded = (c.engine.Rank+1)%max(c.engine.Size, 1), noRank
	c.goal.Last, c.goal.Delegate = c.engine.Rank, c.holder
	if c.engine.Size > 2 { // a frozen holder stops the group, so the delegate is another rank
		c.goal.Delegate = (c.engine.Rank + 2) % c.engine.Size
	}
	c.currentKnown = false
	c.goal.Epoch = c.engine.Epoch
	c.setStage(NoAction, now, Sealing)
	if c.disabled.noSeal {
		c.phase = Idle
	}
}

// setStage starts a new goal with the given stage and enters a phase.
func (c *Coordinator) setStage(s Stage, now time.Duration, p Phase) {
	c.goal.Stage = uint8(s)
	c.goal.Release, c.goal.Final = nil, false
	if s == Arm || s == NoAction || s == Confirm {
		c.goal.Replicas = nil // only prepare orders need the map; goals are sent often over narrow links
	}
	c.goal.Seq++
	c.enterPhase(p, now)
}

// enterPhase enters a phase and restarts its timer.
func (c *Coordinator) enterPhase(p Phase, now time.Duration) {
	c.phase, c.phaseStart = p, now
}

// nextVersion allocates the version of a new map.
func (c *Coordinator) nextVersion() int64 {
	c.versionCount++
	return (c.term+1)<<versionBits | c.versionCount
}

// Observe records the state of the engine of the coordinator's own rank. A new
// epoch or size of the group restarts sealing.
func (c *Coordinator) Observe(e EngineState, now time.Duration) {
	reformed := e.Epoch != c.engine.Epoch || e.Size != c.engine.Size
	c.engine = e
	if reformed {
		c.startSealing(now)
	}
}

// HandleReport records a rank's report. Reports of other terms are ignored. A
// report on an earlier goal than the last one shows only that the rank's process
// may have restarted.
func (c *Coordinator) HandleReport(r wire.RankReport, now time.Duration) {
	if r.Rank < 0 || r.Rank >= len(c.reports) || r.Term != c.term {
		return
	}
	old := &c.reports[r.Rank]
	if old.received && r.Seq < old.Seq {
		old.lastSeq = r.Seq
		return
	}
	*old = report{RankReport: r, receivedAt: now, received: true, lastSeq: r.Seq}
}

// allAnswers reports whether every rank except the excluded one has answered the
// current goal and cond holds for each answer.
func (c *Coordinator) allAnswers(cond func(r *report) bool) bool {
	for i := range c.reports {
		if r := &c.reports[i]; i != c.excluded && !(c.isAnswer(r) && cond(r)) {
			return false
		}
	}
	return len(c.reports) > 0
}

// isAnswer reports whether a report answers the current goal in the group's
// current epoch and states that the group makes passes.
func (c *Coordinator) isAnswer(r *report) bool {
	return r.received && r.Seq == c.goal.Seq && r.Epoch == c.engine.Epoch && r.Open
}

// anyReport reports whether cond holds for a report of the current epoch.
func (c *Coordinator) anyReport(cond func(r *report) bool) bool {
	for i := range c.reports {
		if r := &c.reports[i]; r.received && r.Epoch == c.engine.Epoch && cond(r) {
			return true
		}
	}
	return false
}

// Unresponsive returns the ranks that have not done what the current phase waits
// for and have not reported for longer than timeout, counted from the start of
// the phase if they have not reported since sealing began.
func (c *Coordinator) Unresponsive(now, timeout time.Duration) []int {
	var ranks []int
	for i := range c.reports {
		r := &c.reports[i]
		if r.received && r.Seq == c.goal.Seq && r.Epoch == c.engine.Epoch && c.hasEndedSwitch(r) {
			continue
		}
		since := c.phaseStart
		if r.received {
			since = r.receivedAt
		}
		if now-since > timeout {
			ranks = append(ranks, i)
		}
	}
	return ranks
}

// hasEndedSwitch reports whether a rank that has answered the current goal has also
// done what the phases that end a switch wait for; always true in other phases.
func (c *Coordinator) hasEndedSwitch(r *report) bool {
	switch c.phase {
	case Cancelling:
		return c.hasCancelled(r)
	case Releasing:
		return r.Held == None
	}
	return true
}

// hasCancelled reports whether no arm of the cancelled switch can take effect at a
// rank any more.
func (c *Coordinator) hasCancelled(r *report) bool {
	return r.Armed == None && (r.Prepared == c.goal.Version || c.disabled.noCancel)
}

// Ready reports whether Propose would start a switch: none is in progress, the pause after
// one that failed is over, and every rank has reported within maxReportAge.
func (c *Coordinator) Ready(now time.Duration) bool {
	return c.phase == Idle && now >= c.pause.until && c.currentKnown && c.engine.Open && c.excluded == noRank && c.engine.Size > 1 &&
		c.allAnswers(func(r *report) bool { return now-r.receivedAt < maxReportAge })
}

// Slowness returns the factor by which work takes longer than usual at a rank, as
// stated in its last report; 0 if it is not known or the report is old.
func (c *Coordinator) Slowness(rank int, now time.Duration) float64 {
	if rank < 0 || rank >= len(c.reports) {
		return 0
	}
	r := &c.reports[rank]
	if !r.received || r.Epoch != c.engine.Epoch || now-r.receivedAt >= maxReportAge {
		return 0
	}
	return float64(r.Slowness)
}

// Propose starts a switch to a map. It does nothing unless Ready. After a rank has
// refused a map that was planned without knowledge of the one in force, the switch leads
// to the initial map instead: a rank that has given up experts of it cannot copy them
// together with others.
func (c *Coordinator) Propose(replicas []wire.Replica, now time.Duration) {
	if !c.Ready(now) {
		return
	}
	if c.returning {
		replicas = nil
	}
	c.target = replicas
	c.goal.Version = c.nextVersion()
	c.targetVersion = c.goal.Version
	c.goal.Replicas = replicas
	c.goal.Step = None
	c.recorder.begin(now)
	c.setStage(Prepare, now, Preparing)
}

// Abandon abandons a switch that holds no pass yet.
func (c *Coordinator) Abandon(now time.Duration) {
	if c.phase == Preparing || c.phase == Confirming {
		c.abandon(false, now)
	}
}

// Next advances the switch as far as the reports allow and returns the next order
// for the engine of Order.Rank; ok is false if there is none. The caller passes
// the order's result to HandleResult.
func (c *Coordinator) Next(now time.Duration) (o Order, ok bool) {
	if !c.engine.Open {
		return Order{}, false
	}
	c.recorder.observe(c.nextPassHeld(), now)
	if o, ok = c.next(now); !ok {
		o, ok = c.endForeignHold(now)
	}
	if ok {
		o.Epoch, o.Expect = c.engine.Epoch, c.reports[o.Rank].Accepted
	}
	return o, ok
}

func (c *Coordinator) next(now time.Duration) (o Order, ok bool) {
	switch c.phase {
	case Sealing:
		return c.sealing(now)
	case Idle:
		c.idle()
	case Preparing:
		c.preparing(now)
	case Confirming:
		return c.confirming(now)
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

// sealing waits until every rank has answered under this term, then completes the
// switch that an earlier coordinator left behind, if every rank is armed for it, or else
// cancels it.
func (c *Coordinator) sealing(now time.Duration) (Order, bool) {
	if !c.allAnswers(func(*report) bool { return true }) && !c.excludeUnreachable(now) {
		return Order{}, false
	}
	if c.startSettlingInherited(now) {
		return c.settling(now)
	}
	unfinished := func(r *report) bool { return r.Armed != None || r.Held != None }
	if c.anyReport(unfinished) {
		c.recorder.failed(Inherited, nil, false)
		c.inheritHold()
		c.enterPhase(Holding, now)
		return c.holding(now)
	}
	c.ensureCurrentKnown()
	c.enterPhase(Idle, now)
	return Order{}, false
}

// startSettlingInherited enters Settling if every rank is armed for the same pass, and
// reports whether it did. The earlier coordinator may know that and have ordered the
// release, which may be carried out at any later time: ranks that this one disarmed by
// then would begin the pass with another map than the others.
func (c *Coordinator) startSettlingInherited(now time.Duration) bool {
	first := &c.reports[0]
	for i := range c.reports {
		r := &c.reports[i]
		if r.Armed != None {
			first = r
		}
	}
	version, step := first.Armed, first.ArmedAt
	if version == None || !c.allAnswers(func(r *report) bool { return r.Armed == version && r.ArmedAt == step || r.Map == version }) || c.excluded != noRank {
		return false
	}
	c.setStage(NoAction, now, Settling)
	c.goal.Version, c.goal.Step, c.holdStep = version, step, step
	return true
}

// excludeUnreachable excludes the former coordinator's rank if that is the only
// rank without an answer for sealTimeout and is not armed, and reports whether
// it did. Only the former coordinator's delegate arms that rank; the delegate
// follows this coordinator now and has reported that it sent no such order.
func (c *Coordinator) excludeUnreachable(now time.Duration) bool {
	missing := noRank
	for i := range c.reports {
		r := &c.reports[i]
		if !c.isAnswer(r) {
			if missing != noRank {
				return false
			}
			missing = i
		}
	}
	if missing == noRank || now-c.phaseStart < sealTimeout {
		return false
	}
	for i := range c.reports {
		r := &c.reports[i]
		if i == missing {
			continue
		}
		if r.Last != missing || r.Rank == r.Delegate && r.DelegateVersion != None {
			return false
		}
	}
	c.excluded = missing
	return true
}

// inheritHold selects the pass that stays held until the switch of an earlier coordinator
// is cancelled, and the rank that holds it: no pass for which a rank may be armed may begin
// before. A rank that holds that pass, or an earlier one, is left to do so.
func (c *Coordinator) inheritHold() {
	c.holdStep = c.firstUnfinishedStep()
	c.goal.Step = c.holdStep
	last, free := c.lastStep(), noRank
	if c.holder == c.excluded || c.reports[c.holder].Held != None {
		c.holder = noRank
	}
	for i := range c.reports {
		switch held := c.reports[i].Held; {
		case i == c.excluded:
		case held == None:
			free = i
		case held > last && held <= c.holdStep:
			c.holder, c.holdStep = i, held
			return
		}
	}
	switch {
	case c.holder != noRank:
	case free != noRank:
		c.holder = free
	default: // every rank holds a later pass
		c.holder = c.engine.Rank
	}
}

// idle ends the exclusion of a rank that answers.
func (c *Coordinator) idle() {
	if c.excluded != noRank && c.isAnswer(&c.reports[c.excluded]) {
		c.excluded = noRank
	}
}

// adoptInitialMap assumes that the initial map, which has no replicas, is in
// force. The content of any other map of an earlier coordinator is unknown;
// planning from the initial map instead costs some additional copies.
func (c *Coordinator) adoptInitialMap() {
	c.current, c.currentKnown = nil, true
	c.assumed, c.returning = true, false
}

// firstUnfinishedStep returns the first pass to come for which a rank is armed; if none is,
// the first that a rank holds.
func (c *Coordinator) firstUnfinishedStep() int64 {
	armed, held, last := None, None, c.lastStep()
	first := func(step *int64, s int64) {
		if s > last && (*step == None || s < *step) {
			*step = s
		}
	}
	for i := range c.reports {
		r := &c.reports[i]
		if !r.received {
			continue
		}
		if r.Armed != None {
			first(&armed, r.ArmedAt)
		}
		first(&held, r.Held)
	}
	if armed == None {
		return max(held, last)
	}
	return armed
}

// preparing enters Confirming once every rank has copied the experts that the map
// adds, and abandons the switch if a rank refuses or prepareTimeout has passed.
func (c *Coordinator) preparing(now time.Duration) {
	v := c.goal.Version
	if c.allAnswers(func(r *report) bool { return r.Prepared == v }) {
		prepareStart := c.phaseStart
		c.setStage(Confirm, now, Confirming)
		c.phaseStart = prepareStart // prepareTimeout includes the confirmation
		return
	}
	c.abandonLate(now)
}

// confirming enters Holding once every rank has just answered. A rank whose process is
// gone could not be armed, and the hold would last until the switch is cancelled.
func (c *Coordinator) confirming(now time.Duration) (Order, bool) {
	v := c.goal.Version
	if c.allAnswers(func(r *report) bool { return r.Prepared == v && r.lastSeq == r.Seq && now-r.receivedAt < maxConfirmAge }) {
		c.holdStep = c.chooseStep()
		c.goal.Step = c.holdStep
		c.enterPhase(Holding, now)
		return c.holding(now)
	}
	c.abandonLate(now)
	return Order{}, false
}

// abandonLate abandons a switch that holds no pass yet if a rank refuses or prepareTimeout
// has passed.
func (c *Coordinator) abandonLate(now time.Duration) {
	v := c.goal.Version
	refused := c.anyReport(func(r *report) bool { return r.Refused == v })
	if refused || now-c.phaseStart > prepareTimeout {
		c.abandon(refused, now)
	}
}

// abandon abandons the switch, for which no rank is armed. The next one to be prepared
// replaces the copies.
func (c *Coordinator) abandon(refused bool, now time.Duration) {
	c.Abandoned++
	c.holdStep = None // a hold that takes effect late is released
	c.returning = c.returning || refused && c.assumed
	c.recorder.failed(Abandoned, c.Missing(now), refused)
	c.recorder.end(c.goal.Version, now)
	c.setStage(NoAction, now, Idle)
}

// chooseStep returns a pass to hold that is at least as far ahead as arming takes.
func (c *Coordinator) chooseStep() int64 {
	step := c.lastStep()
	// No pass is held again after a release, which a late order may repeat.
	step = max(step+c.lead.passes(), c.lastHoldStep+1)
	c.lastHoldStep = step
	return step
}

// holding orders the holder to hold the pass of the switch. If that pass has
// begun, a later one is chosen; when cancelling an inherited switch, sealing
// starts over instead, because arms for that pass have taken effect. A holder that cannot
// be reached within holdTimeout is given up: the switch is abandoned, an inherited one held
// at another rank.
func (c *Coordinator) holding(now time.Duration) (Order, bool) {
	ownSwitch := Stage(c.goal.Stage) == Confirm
	held := c.reports[c.holder].Held
	earlier := !ownSwitch && held > c.lastStep() && held < c.holdStep
	switch {
	case held == c.holdStep || earlier || c.disabled.noHold:
		if ownSwitch {
			c.setStage(Arm, now, Arming)
		} else {
			c.startCancelling(now)
		}
		return Order{}, false
	case held != None && ownSwitch:
		return c.releaseHold(c.holder, held)
	case c.lastStep() >= c.holdStep && !ownSwitch:
		c.startSealing(now)
		return Order{}, false
	case now-c.phaseStart > holdTimeout && ownSwitch:
		c.nextHolder()
		c.abandon(false, now)
		return Order{}, false
	case now-c.phaseStart > holdTimeout:
		c.nextHolder()
		c.enterPhase(Holding, now)
	case c.lastStep() >= c.holdStep:
		c.holdStep = c.chooseStep()
		c.goal.Step = c.holdStep
	}
	return Order{Kind: OrderHold, Rank: c.holder, Step: c.holdStep}, true
}

// nextHolder makes the next rank the holder that is neither excluded nor the coordinator's,
// whose instance is the most likely one to be lost in a switch.
func (c *Coordinator) nextHolder() {
	for range c.reports {
		c.holder = (c.holder + 1) % len(c.reports)
		if c.holder != c.excluded && c.holder != c.engine.Rank {
			return
		}
	}
}

// lastStep returns the last pass known to have begun.
func (c *Coordinator) lastStep() int64 {
	step := c.engine.Step
	for i := range c.reports {
		step = max(step, c.reports[i].Step)
	}
	return step
}

// releaseHold returns the order that releases a rank's hold of a pass.
func (c *Coordinator) releaseHold(rank int, step int64) (Order, bool) {
	c.lastHoldStep = max(c.lastHoldStep, step)
	return Order{Kind: OrderRelease, Rank: rank, Step: step}, true
}

// endForeignHold ends a hold that is not that of the switch in progress, such as one that a
// superseded coordinator has ordered before it heard of this one. It is released at once
// where no rank can be armed for the pass: all are armed for that of the switch, or refuse
// what was cancelled. Otherwise sealing begins anew: a process that has restarted
// since it answered may have followed the superseded coordinator. An inherited switch is
// left alone until it is cancelled, because there any hold may be the one that counts.
func (c *Coordinator) endForeignHold(now time.Duration) (Order, bool) {
	rank, step := c.foreignHold()
	switch {
	case rank == noRank:
	case c.phase == Releasing || c.phase == Settling || c.disabled.noSeal:
		return c.releaseHold(rank, step)
	case c.phase == Idle && c.excluded != noRank:
		c.recorder.begin(now)
		c.recorder.failed(Inherited, nil, false)
		c.startReleasing(now)
	case c.phase == Idle || c.ownSwitch():
		c.reseal(now)
	}
	return Order{}, false
}

// foreignHold returns the rank and the pass of a hold that is not that of the switch in
// progress; noRank if there is none.
func (c *Coordinator) foreignHold() (rank int, step int64) {
	last := c.lastStep()
	for i := range c.reports {
		r := &c.reports[i]
		if r.received && r.Epoch == c.engine.Epoch && r.Held > last && i != c.excluded && !c.isOwnHold(r) {
			return i, r.Held
		}
	}
	return noRank, None
}

// reseal gives up the switch in progress, if there is one, and begins sealing anew. What is
// known of the map in force remains known.
func (c *Coordinator) reseal(now time.Duration) {
	current, known, assumed, lastHold := c.current, c.currentKnown, c.assumed, c.lastHoldStep
	if c.phase != Idle {
		c.Abandoned++
	}
	c.startSealing(now)
	c.current, c.currentKnown, c.assumed, c.lastHoldStep = current, known, assumed, lastHold
}

// isOwnHold reports whether a rank's hold is that of the switch in progress, one that
// keeps the group from it in its place, or one that the goal has the rank release.
func (c *Coordinator) isOwnHold(r *report) bool {
	if r.Rank == c.holder && (r.Held == c.holdStep || c.phase == Arming && r.Held < c.holdStep) {
		return true
	}
	return r.Rank < len(c.goal.Release) && c.goal.Release[r.Rank] == r.Held
}

// restoreHold returns the order that holds the pass of the switch again, if the holder
// does not keep the group from it any more: a rank has one hold at a time, and an order
// of an earlier coordinator that is carried out late replaces it.
func (c *Coordinator) restoreHold() (Order, bool) {
	held := c.reports[c.holder].Held
	if c.disabled.noHold || c.holdStep == None || held != None && held <= c.holdStep || c.lastStep() >= c.holdStep {
		return Order{}, false
	}
	return Order{Kind: OrderHold, Rank: c.holder, Step: c.holdStep}, true
}

// ownSwitch reports whether the switch in progress was proposed to this coordinator and
// is not cancelled.
func (c *Coordinator) ownSwitch() bool {
	s := Stage(c.goal.Stage)
	return s == Prepare || s == Confirm || s == Arm
}

// arming lets the delegate arm the coordinator's own rank once all other ranks are
// known to be armed, and enters Settling once all are. It cancels the switch if a
// rank refuses or is silent, or armTimeout has passed.
func (c *Coordinator) arming(now time.Duration) (Order, bool) {
	v, step := c.goal.Version, c.goal.Step
	othersArmed := func(r *report) bool { return c.isArmed(r) || r.Rank == c.engine.Rank }
	failed := now-c.phaseStart > armTimeout || c.anyReport(func(r *report) bool { return r.Refused == v || !c.isArmed(r) && c.isSilent(r, now) })
	switch {
	case c.disabled.noConfirmation || c.allAnswers(c.isArmed):
		c.enterPhase(Settling, now)
		return c.settling(now)
	case failed:
		c.startCancelling(now)
	case c.disabled.noDelegate && c.allAnswers(othersArmed):
		return Order{Kind: OrderArm, Rank: c.engine.Rank, Version: v, Step: step}, true
	case c.allAnswers(othersArmed) && c.engine.Armed != v:
		c.goal.Final, c.goal.Accepted = true, c.engine.Accepted
	}
	return c.restoreHold()
}

// isSilent reports whether a rank has not reported for silentTimeout.
func (c *Coordinator) isSilent(r *report, now time.Duration) bool {
	return r.Rank != c.engine.Rank && now-max(r.receivedAt, c.phaseStart) > silentTimeout
}

// isArmed reports whether a rank is armed for the switch, or has carried it out.
func (c *Coordinator) isArmed(r *report) bool {
	return r.Armed == c.goal.Version && r.ArmedAt == c.goal.Step || r.Map == c.goal.Version
}

// startCancelling has every rank prepare a later version, after which engines
// refuse the arm of the cancelled switch. The hold remains.
func (c *Coordinator) startCancelling(now time.Duration) {
	c.Abandoned++
	c.recorder.failed(Cancelled, c.Missing(now), c.anyReport(func(r *report) bool { return r.Refused == c.goal.Version }))
	c.goal.Version = c.nextVersion()
	c.goal.Replicas = c.current
	c.setStage(Cancel, now, Cancelling)
}

// cancelling releases the holds once no arm can take effect any more.
func (c *Coordinator) cancelling(now time.Duration) (Order, bool) {
	v := c.goal.Version
	switch {
	case c.allAnswers(c.hasCancelled):
		c.startReleasing(now)
		return c.releasing(now)
	case c.anyReport(func(r *report) bool { return r.Refused == v }):
		c.startCancelling(now) // a late order interfered: retry with a later version
	}
	return c.restoreHold()
}

// startReleasing starts a goal that releases the passes that ranks hold, those
// of earlier coordinators included.
func (c *Coordinator) startReleasing(now time.Duration) {
	release := make([]int64, len(c.reports))
	for i := range c.reports {
		release[i] = c.reports[i].Held
		if i == c.excluded {
			release[i] = None
		}
		c.lastHoldStep = max(c.lastHoldStep, release[i])
	}
	c.setStage(NoAction, now, Releasing)
	c.goal.Release = release
}

// releasing enters Idle once no rank holds a pass.
func (c *Coordinator) releasing(now time.Duration) (Order, bool) {
	if c.allAnswers(func(r *report) bool { return r.Held == None }) {
		c.holdStep = None
		c.ensureCurrentKnown()
		c.pause.ended(c.recorder.end(c.goal.Version, now), now)
		c.enterPhase(Idle, now)
		return Order{}, false
	}
	if held := c.reports[c.holder].Held; held != None && c.holder != c.excluded {
		return c.releaseHold(c.holder, held)
	}
	return Order{}, false
}

// ensureCurrentKnown adopts the initial map if the current one is unknown.
func (c *Coordinator) ensureCurrentKnown() {
	if !c.currentKnown {
		c.adoptInitialMap()
	}
}

// settling orders the release of the hold until every rank reports the map in
// force, or the pass of the switch has begun: all ranks are armed for it. It then enters
// Idle.
func (c *Coordinator) settling(now time.Duration) (Order, bool) {
	v := c.goal.Version
	if c.lastStep() >= c.goal.Step || c.allAnswers(func(r *report) bool { return r.Map == v }) {
		c.holdStep = None
		if v == c.targetVersion {
			c.current, c.currentKnown, c.assumed, c.returning = c.target, true, false, false
		} else { // that of an earlier coordinator
			c.adoptInitialMap()
		}
		c.Switched++
		r := c.recorder.end(v, now)
		c.pause.ended(r, now)
		c.lead.ended(r)
		c.setStage(NoAction, now, Idle)
		return Order{}, false
	}
	if held := c.reports[c.holder].Held; held != None {
		return c.releaseHold(c.holder, held)
	}
	return Order{}, false
}
