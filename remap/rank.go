package remap

import (
	"time"

	"marjorampitch/wire"
)

// RankDriver drives the engine of one rank towards the goal of the coordinator.
type RankDriver struct {
	engine EngineState
	known  bool // engine has been reported
	goal   wire.MapGoal
	refuse int64    // version whose order the engine refused
	last   int      // who is armed last in the last switch heard of; noRank once it was cancelled
	deputy int      // who arms it
	gave   struct { // the last order to arm the rank that is armed last
		version  int64 // None before the first
		accepted int64 // Order.Expect
		at       time.Duration
	}
	posted struct {
		version int64
		at      time.Duration
	}
}

// noRank stands for no rank.
const noRank = -1

// NewRankDriver returns a rank that knows no coordinator.
func NewRankDriver() *RankDriver {
	r := &RankDriver{goal: wire.MapGoal{Term: None}, refuse: None, last: noRank, deputy: noRank}
	r.gave.version = None
	return r
}

// Observe takes a fresh report of the rank's own engine.
func (r *RankDriver) Observe(e EngineState) {
	r.engine, r.known = e, true
}

// EngineState is the last report; ok is false before the first.
func (r *RankDriver) EngineState() (e EngineState, ok bool) { return r.engine, r.known }

// Term is the highest term that the rank has heard of.
func (r *RankDriver) Term() int64 { return r.goal.Term }

// SetGoal takes a coordinator's goal; earlier ones than the last are ignored.
// It reports whether the goal comes from the coordinator that is in office.
func (r *RankDriver) SetGoal(g wire.MapGoal) bool {
	if g.Term < r.goal.Term {
		return false
	}
	if g.Term == r.goal.Term && g.Seq <= r.goal.Seq {
		if g.Seq == r.goal.Seq && g.Final && g.Accepted >= r.goal.Accepted {
			r.goal.Final, r.goal.Accepted = true, g.Accepted
		}
		return true
	}
	switch Stage(g.Stage) {
	case Prepare, Arm:
		r.last, r.deputy = g.Last, g.Deputy
		if g.Version > r.gave.version {
			r.gave.version = None // of an earlier switch
		}
	case Cancel:
		r.last, r.deputy = noRank, noRank
	}
	r.goal = g
	return true
}

// Next returns the order that brings the group closer to the goal; ok is
// false when there is none. It is for the own engine but for that of the
// deputy. Its result goes to Done, and the engine's state is observed again,
// before Next is called again.
func (r *RankDriver) Next(now time.Duration) (o Order, ok bool) {
	if o, ok = r.next(now); !ok {
		return r.armLast(now)
	}
	o.Rank = r.engine.Rank
	o.Epoch, o.Expect = r.engine.Epoch, r.engine.Accepted
	return o, ok
}

func (r *RankDriver) next(now time.Duration) (o Order, ok bool) {
	e := &r.engine
	if !r.known || !e.Open || r.goal.Term == None || e.Group != r.goal.Group || e.Epoch != r.goal.Epoch {
		return Order{}, false
	}
	if step := r.released(); step != None && e.Held == step {
		return Order{Kind: OrderGo, Step: step}, true
	}
	switch Stage(r.goal.Stage) {
	case Prepare:
		return r.prepare(now)
	case Arm:
		return r.arm()
	case Cancel:
		if e.Armed != None {
			return Order{Kind: OrderDisarm, Version: e.Armed}, true
		}
		return r.prepare(now)
	}
	return Order{}, false
}

// released is the pass whose hold the goal drops at this rank.
func (r *RankDriver) released() int64 {
	if r.engine.Rank < len(r.goal.Release) {
		return r.goal.Release[r.engine.Rank]
	}
	return None
}

func (r *RankDriver) prepare(now time.Duration) (Order, bool) {
	e, v := &r.engine, r.goal.Version
	if e.Map >= v || e.Prepared >= v || e.Armed != None || r.refuse == v {
		return Order{}, false
	}
	if r.posted.version == v && (e.Busy || now-r.posted.at < prepareAgain) {
		return Order{}, false
	}
	r.posted.version, r.posted.at = v, now
	return Order{Kind: OrderPrepare, Version: v, Replicas: r.goal.Replicas}, true
}

func (r *RankDriver) arm() (Order, bool) {
	e, v := &r.engine, r.goal.Version
	if e.Map == v || e.Prepared != v || e.Step >= r.goal.Step || r.refuse == v {
		return Order{}, false
	}
	if e.Armed == v && e.ArmedAt == r.goal.Step || e.Rank == r.goal.Last {
		return Order{}, false
	}
	return Order{Kind: OrderArm, Version: v, Step: r.goal.Step}, true
}

// armLast has the deputy arm the rank beside the coordinator. What it ordered
// is known here also when the coordinator's instance is out of reach.
func (r *RankDriver) armLast(now time.Duration) (Order, bool) {
	e, g := &r.engine, &r.goal
	due := r.known && e.Open && e.Group == g.Group && e.Epoch == g.Epoch && e.Rank == g.Deputy && e.Step < g.Step
	if !due || Stage(g.Stage) != Arm || !g.Final {
		return Order{}, false
	}
	if r.gave.version == g.Version && r.gave.accepted == g.Accepted && now-r.gave.at < armAgain {
		return Order{}, false
	}
	r.gave.version, r.gave.accepted, r.gave.at = g.Version, g.Accepted, now
	return Order{Kind: OrderArm, Rank: g.Last, Epoch: e.Epoch, Version: g.Version, Step: g.Step, Expect: g.Accepted}, true
}

// HandleResult takes the result of the order that Next returned.
func (r *RankDriver) HandleResult(o Order, result Result) {
	switch {
	case o.Rank != r.engine.Rank: // the coordinator sees what became of it
	case result == Refused && (o.Kind == OrderPrepare || o.Kind == OrderArm):
		r.refuse = o.Version
	case result == Unanswered && o.Kind == OrderPrepare:
		r.posted.at -= prepareAgain // ordered again unless the engine is found busy
	}
}

// Report is what the coordinator is told. Demand is the caller's to add.
func (r *RankDriver) Report() wire.RankReport {
	e := &r.engine
	return wire.RankReport{
		Group: e.Group, Rank: e.Rank, Term: r.goal.Term, Seq: r.goal.Seq, Epoch: e.Epoch, Open: e.Open,
		Step: e.Step, Map: e.Map, Prepared: e.Prepared, Armed: e.Armed, ArmedAt: e.ArmedAt, Held: e.Held,
		Refused: r.refuse, Running: e.Running, Accepted: e.Accepted, Last: r.last, Deputy: r.deputy, Gave: r.gave.version,
	}
}

// Seq is the number of the last goal, within its term.
func (r *RankDriver) Seq() uint64 { return r.goal.Seq }

// Active reports whether a coordinator wants something of the rank.
func (r *RankDriver) Active() bool { return r.goal.Term != None && Stage(r.goal.Stage) != NoAction }
