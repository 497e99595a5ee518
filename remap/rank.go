package remap

import (
	"time"

	"marjorampitch/wire"
)

// RankDriver drives the engine of one rank towards the coordinator's goal.
type RankDriver struct {
	engine         EngineState
	known          bool // engine was observed
	goal           wire.MapGoal
	confirmed      int64    // version of the last switch that this process has confirmed; None if there is none
	refusedVersion int64    // version whose order the engine refused; None if there is none
	lastRank       int      // rank armed last in the last switch received; noRank once it was cancelled
	delegate       int      // rank whose process arms lastRank
	delegateOrder  struct { // last order to arm lastRank, sent by this process as delegate
		version  int64 // None if there is none
		accepted int64 // Order.Expect
		at       time.Duration
	}
	prepareOrder struct { // last prepare order
		version int64
		at      time.Duration
	}
}

// noRank is the value of an absent rank.
const noRank = -1

// NewRankDriver returns a driver without a coordinator.
func NewRankDriver() *RankDriver {
	r := &RankDriver{goal: wire.MapGoal{Term: None}, confirmed: None, refusedVersion: None, lastRank: noRank, delegate: noRank}
	r.delegateOrder.version = None
	return r
}

// Observe records the state of the rank's engine.
func (r *RankDriver) Observe(e EngineState) {
	r.engine, r.known = e, true
}

// EngineState returns the last observed state; ok is false before the first.
func (r *RankDriver) EngineState() (e EngineState, ok bool) { return r.engine, r.known }

// Term returns the highest term received; None before the first goal.
func (r *RankDriver) Term() int64 { return r.goal.Term }

// SetGoal records a coordinator's goal; goals older than the last are ignored. It
// returns false if the goal's term is lower than the highest term received.
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
	case Prepare, Confirm, Arm:
		if Stage(g.Stage) == Confirm {
			r.confirmed = g.Version
		}
		r.lastRank, r.delegate = g.Last, g.Delegate
		switch {
		case Stage(g.Stage) == Arm && g.Version != r.goal.Version:
			// This process has started during the switch: the one before it may have sent the order.
			r.delegateOrder.version, r.delegateOrder.at = g.Version, -armRetryInterval
		case g.Version > r.delegateOrder.version:
			r.delegateOrder.version = None // the order belongs to an earlier switch
		}
	case Cancel:
		r.lastRank, r.delegate = noRank, noRank
	}
	r.goal = g
	return true
}

// Next returns the next order towards the goal; ok is false if there is none. The
// order goes to the engine of the driver's rank, except the delegate's order to arm
// MapGoal.Last. Before calling Next again, the caller passes the order's result to
// HandleResult and the engine's new state to Observe.
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
	if step := r.releasedStep(); step != None && e.Held == step {
		return Order{Kind: OrderRelease, Step: step}, true
	}
	switch Stage(r.goal.Stage) {
	case Prepare:
		return r.prepare(now)
	case Arm:
		return r.armOwn()
	case Cancel:
		if e.Armed != None {
			return Order{Kind: OrderDisarm, Version: e.Armed}, true
		}
		return r.prepare(now)
	}
	return Order{}, false
}

// releasedStep returns the pass whose hold the goal releases at this rank.
func (r *RankDriver) releasedStep() int64 {
	if r.engine.Rank < len(r.goal.Release) {
		return r.goal.Release[r.engine.Rank]
	}
	return None
}

// prepare returns the order to copy the experts that the goal's map adds.
func (r *RankDriver) prepare(now time.Duration) (Order, bool) {
	e, v := &r.engine, r.goal.Version
	if e.Map >= v || e.Prepared >= v || e.Armed != None || r.refusedVersion == v {
		return Order{}, false
	}
	if r.prepareOrder.version == v && (e.Busy || now-r.prepareOrder.at < prepareRetryInterval) {
		return Order{}, false
	}
	r.prepareOrder.version, r.prepareOrder.at = v, now
	return Order{Kind: OrderPrepare, Version: v, Replicas: r.goal.Replicas}, true
}

// armOwn returns the order to arm the driver's rank; the rank armed last is left to
// the delegate. A process arms no rank for a switch that it has not confirmed: it has
// started since, and does not know whether the coordinator is superseded.
func (r *RankDriver) armOwn() (Order, bool) {
	e, v := &r.engine, r.goal.Version
	if r.confirmed != v || e.Map == v || e.Prepared != v || e.Step >= r.goal.Step || r.refusedVersion == v {
		return Order{}, false
	}
	if e.Armed == v && e.ArmedAt == r.goal.Step || e.Rank == r.goal.Last {
		return Order{}, false
	}
	return Order{Kind: OrderArm, Version: v, Step: r.goal.Step}, true
}

// armLast returns the delegate's order to arm the coordinator's rank. The order is
// recorded here, so that it is known even if the coordinator's instance becomes
// unreachable.
func (r *RankDriver) armLast(now time.Duration) (Order, bool) {
	e, g := &r.engine, &r.goal
	canArm := r.known && e.Open && e.Group == g.Group && e.Epoch == g.Epoch && e.Rank == g.Delegate && e.Step < g.Step
	if !canArm || Stage(g.Stage) != Arm || !g.Final || r.confirmed != g.Version {
		return Order{}, false
	}
	if r.delegateOrder.version == g.Version && r.delegateOrder.accepted == g.Accepted && now-r.delegateOrder.at < armRetryInterval {
		return Order{}, false
	}
	r.delegateOrder.version, r.delegateOrder.accepted, r.delegateOrder.at = g.Version, g.Accepted, now
	return Order{Kind: OrderArm, Rank: g.Last, Epoch: e.Epoch, Version: g.Version, Step: g.Step, Expect: g.Accepted}, true
}

// HandleResult records the result of an order returned by Next.
func (r *RankDriver) HandleResult(o Order, result Result) {
	switch {
	case o.Rank != r.engine.Rank: // the coordinator learns the result from that rank's report
	case o.Kind == OrderPrepare && (result == Unanswered || result == Refused && r.engine.Busy):
		r.prepareOrder.at -= prepareRetryInterval // retry as soon as the engine is not busy
	case result == Refused && (o.Kind == OrderPrepare || o.Kind == OrderArm):
		r.refusedVersion = o.Version
	}
}

// Report returns the report for the coordinator, without Demand.
func (r *RankDriver) Report() wire.RankReport {
	e := &r.engine
	return wire.RankReport{
		Group: e.Group, Rank: e.Rank, Term: r.goal.Term, Seq: r.goal.Seq, Epoch: e.Epoch, Open: e.Open,
		Step: e.Step, Map: e.Map, Prepared: e.Prepared, Armed: e.Armed, ArmedAt: e.ArmedAt, Held: e.Held,
		Refused: r.refusedVersion, Running: e.Running, Slowness: float32(e.Slowness), Accepted: e.Accepted, Last: r.lastRank, Delegate: r.delegate, DelegateVersion: r.delegateOrder.version,
	}
}

// Seq returns the number of the last goal within its term.
func (r *RankDriver) Seq() uint64 { return r.goal.Seq }

// Active reports whether the last goal requires an action.
func (r *RankDriver) Active() bool { return r.goal.Term != None && Stage(r.goal.Stage) != NoAction }

// Prepares reports whether the last goal is to copy the experts of a map.
func (r *RankDriver) Prepares() bool { return r.goal.Term != None && Stage(r.goal.Stage) == Prepare }

// Confirms reports whether the last goal asks for a confirmation that the process is there.
func (r *RankDriver) Confirms() bool { return r.goal.Term != None && Stage(r.goal.Stage) == Confirm }

// MayEnd reports whether the process may end, having sent no confirmation for a time:
// whether the switch in progress can do without it.
func (r *RankDriver) MayEnd(unconfirmed time.Duration) bool {
	switch Stage(r.goal.Stage) {
	case Arm, Cancel:
		return false
	case Confirm:
		return unconfirmed >= 2*maxConfirmAge // nor is a goal to arm the rank underway
	}
	step := r.releasedStep()
	return step == None || r.engine.Held != step
}
