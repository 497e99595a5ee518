package group

import (
	"marjorampitch/api"
	"marjorampitch/wire"
)

// RankOptions are the settings of a Rank.
type RankOptions struct {
	Group            string
	Rank             int
	SupportsSwitchAt bool // the engine accepts CmdSwitchAt; otherwise only CmdSwitchNow
}

// Rank is the state machine in a sidecar that turns the orders of coordinators
// into commands to the engine of one rank. It is not safe for concurrent use.
//
// A new Rank refuses all orders until SetFence has set the latest claim on the
// log. After that it accepts orders only from the coordinator that has sealed it.
type Rank struct {
	opts         RankOptions
	ready        bool // SetFence has been called
	fence        int64
	sealed       bool   // sealed by the coordinator with number fence since the sidecar or the engine started
	seq          uint64 // highest sequence number executed under fence
	state        EngineState
	committed    uint64            // committed map that the engine does not yet report as active or pending
	pendingOrder *wire.Order       // answered when command completes
	command      CommandKind       // in progress for pendingOrder or for the committed map; 0 for none
	staging      *wire.Order       // stage order in progress, concurrent with other commands because it is slow
	maps         map[uint64][]byte // encoded maps by epoch
	mut          mutation          // set by mutation tests only
}

// mutation lists mechanisms that mutation tests disable to show that each is needed.
type mutation struct {
	noHold          bool // armed ranks do not hold at the step of the switch
	noFence         bool // orders with lower fencing numbers are executed
	earlyCompletion bool // a round completes before all ranks have acknowledged it
	noSeq           bool // late orders of an earlier round are executed
	abortCommitted  bool // a new coordinator aborts a switch that a rank has committed
}

// NewRank returns a Rank and its first action, ReadFence. state is the current
// state of the engine and current its encoded map, nil for none.
func NewRank(opts RankOptions, state EngineState, current []byte) (*Rank, []Action) {
	r := &Rank{opts: opts, state: state, fence: -1, maps: make(map[uint64][]byte)}
	if current != nil {
		r.maps[state.Epoch] = current
	}
	return r, []Action{ReadFence{}}
}

// SetFence sets the offset of the group's latest claim, -1 for none. Orders are
// accepted from then on.
func (r *Rank) SetFence(offset int64) {
	r.ready = true
	if offset > r.fence {
		r.fence, r.sealed, r.seq = offset, false, 0
	}
}

// HandleOrder handles an order of a coordinator. An order that arrives while a
// command is in progress is dropped; coordinators resend it.
func (r *Rank) HandleOrder(o *wire.Order) []Action {
	if code := r.checkFence(o); code != api.OK {
		return r.ack(o, code, nil)
	}
	late := o.Seq < r.seq && !r.mut.noSeq
	if late || r.command != 0 {
		return nil
	}
	r.seq = o.Seq
	if OrderKind(o.Kind) == Seal {
		return r.run(o, Command{Kind: CmdFence})
	}
	return r.execute(o)
}

// checkFence checks the fencing number of an order and adopts a higher one.
func (r *Rank) checkFence(o *wire.Order) api.Code {
	if !r.ready {
		return api.NotReady
	}
	if r.mut.noFence {
		if o.Fence != r.fence {
			r.seq = 0
		}
		r.fence, r.sealed = o.Fence, true
		return api.OK
	}
	if o.Fence < r.fence {
		return api.StaleFence
	}
	seal := OrderKind(o.Kind) == Seal
	if o.Fence > r.fence {
		r.fence, r.sealed, r.seq = o.Fence, false, 0
	}
	if !r.sealed && !seal {
		return api.NotSealed
	}
	r.sealed = true
	return api.OK
}

// execute executes an order of the coordinator that has sealed the rank.
func (r *Rank) execute(o *wire.Order) []Action {
	switch OrderKind(o.Kind) {
	case Query:
		return r.ack(o, api.OK, nil)
	case Fetch:
		return r.fetch(o)
	case Stage:
		return r.stage(o)
	case Arm:
		return r.arm(o)
	case Commit:
		return r.commit(o)
	case Release:
		return r.release(o)
	case Join:
		return r.join(o)
	}
	return r.ack(o, api.UnknownMessage, nil)
}

// fetch acknowledges with the encoded map, or without one if this process does not have it.
func (r *Rank) fetch(o *wire.Order) []Action {
	return r.ack(o, api.OK, r.maps[o.Epoch])
}

func (r *Rank) stage(o *wire.Order) []Action {
	if r.hasWeights(o.Epoch) {
		r.maps[o.Epoch] = o.Map
		return r.ack(o, api.OK, nil)
	}
	if r.staging != nil && r.staging.Epoch == o.Epoch {
		r.staging = o
		return nil
	}
	r.staging = o
	return []Action{RunCommand{Command{Kind: CmdStage, Fence: o.Fence, Epoch: o.Epoch, Map: o.Map}}}
}

// hasWeights reports whether the engine can use the map of epoch without copying weights.
func (r *Rank) hasWeights(epoch uint64) bool {
	return r.state.Staged == epoch || r.state.Epoch == epoch
}

// arm makes the engine hold at a step. It refuses if the rank has no active map
// (Epoch 0): such a rank cannot execute the steps before the hold, so it must stage
// a map and join first, and an engine refuses CmdStage while a map is armed.
func (r *Rank) arm(o *wire.Order) []Action {
	if r.state.Armed == o.Epoch && r.state.HoldAt == o.Step {
		return r.ack(o, api.OK, nil)
	}
	if r.state.Epoch == 0 || r.state.HoldAt != 0 || r.state.Staged != o.Epoch || r.state.Next > o.Step {
		return r.ack(o, api.OrderRefused, nil)
	}
	return r.run(o, Command{Kind: CmdHold, Step: o.Step})
}

func (r *Rank) commit(o *wire.Order) []Action {
	if r.state.Epoch == o.Epoch || r.state.Pending == o.Epoch || r.committed == o.Epoch {
		return r.ack(o, api.OK, nil)
	}
	if r.state.Armed != o.Epoch {
		return r.ack(o, api.OrderRefused, nil)
	}
	r.committed = o.Epoch
	if r.opts.SupportsSwitchAt {
		return r.run(o, Command{Kind: CmdSwitchAt})
	}
	return append(r.ack(o, api.OK, nil), r.switchNow()...)
}

// switchNow switches an engine that waits at its hold to the committed map.
func (r *Rank) switchNow() []Action {
	due := r.committed != 0 && r.committed == r.state.Armed && r.state.Waiting
	if !due || r.command != 0 {
		return nil
	}
	r.command = CmdSwitchNow
	return []Action{RunCommand{Command{Kind: CmdSwitchNow, Fence: r.fence, Epoch: r.committed}}}
}

func (r *Rank) release(o *wire.Order) []Action {
	if r.state.HoldAt == 0 {
		return r.ack(o, api.OK, nil)
	}
	if r.committed != 0 || r.state.Pending != 0 {
		return r.ack(o, api.OrderRefused, nil)
	}
	held := wire.Order{Seq: o.Seq, Kind: o.Kind, Fence: o.Fence, Epoch: r.state.Armed}
	return r.run(&held, Command{Kind: CmdRelease})
}

func (r *Rank) join(o *wire.Order) []Action {
	resolved := *o // Epoch 0 replaced by the active one
	if o.Epoch == 0 {
		resolved.Epoch = r.state.Epoch
	}
	if r.state.Epoch == resolved.Epoch && r.state.Next >= o.Step {
		return r.ack(o, api.OK, nil)
	}
	if !r.hasWeights(resolved.Epoch) {
		return r.ack(o, api.OrderRefused, nil)
	}
	r.committed = 0
	return r.run(&resolved, Command{Kind: CmdJoin, Step: o.Step})
}

// run passes a command for o to the engine. The order is acknowledged when the
// result arrives.
func (r *Rank) run(o *wire.Order, c Command) []Action {
	c.Fence = o.Fence
	c.Epoch = o.Epoch
	r.pendingOrder = o
	r.command = c.Kind
	return []Action{RunCommand{c}}
}

// HandleResult handles the result of a command passed to the engine. After an
// unknown outcome the order is not acknowledged; coordinators resend it.
func (r *Rank) HandleResult(res Result) []Action {
	o := r.finishCommand(res)
	r.setState(res.State)
	var actions []Action
	if res.Kind != CmdSwitchNow {
		actions = r.switchNow() // a refused CmdSwitchNow is retried at the next HandleState
	}
	if o == nil || res.Outcome == Unknown {
		return actions
	}
	code := api.OK
	if res.Outcome == Refused {
		code = api.OrderRefused
	}
	return append(actions, r.ack(o, code, nil)...)
}

// finishCommand clears the command of res and returns the order that caused it, or nil.
func (r *Rank) finishCommand(res Result) *wire.Order {
	if res.Kind == CmdStage {
		o := r.staging
		r.staging = nil
		if o != nil && res.State.Staged == o.Epoch {
			r.maps[o.Epoch] = o.Map
		}
		return o
	}
	if res.Kind != r.command {
		return nil
	}
	o := r.pendingOrder
	r.command = 0
	r.pendingOrder = nil
	return o
}

// HandleState handles an engine state read after the last result. After a
// restart of the engine the rank must be sealed again.
func (r *Rank) HandleState(state EngineState) []Action {
	r.setState(state)
	return r.switchNow()
}

// setState stores the engine state and discards what a restart of the engine
// invalidates.
func (r *Rank) setState(state EngineState) {
	if r.state.Incarnation != state.Incarnation {
		r.sealed = false
		r.committed = 0
		r.pendingOrder, r.command, r.staging = nil, 0, nil
	}
	r.state = state
	if r.committed != 0 && (state.Epoch == r.committed || state.Pending == r.committed) {
		r.committed = 0
	}
	r.dropUnusedMaps()
}

// dropUnusedMaps drops the maps that are neither active, staged nor pending.
func (r *Rank) dropUnusedMaps() {
	for epoch := range r.maps {
		if !r.hasWeights(epoch) && epoch != r.state.Pending {
			delete(r.maps, epoch)
		}
	}
}

// ack acknowledges an order with code and the state of the rank.
func (r *Rank) ack(o *wire.Order, code api.Code, data []byte) []Action {
	s := r.state
	return []Action{SendAck{wire.OrderAck{
		Seq: o.Seq, Group: r.opts.Group, Rank: r.opts.Rank, Kind: o.Kind,
		Code:      int(code),
		Fence:     r.fence,
		Epoch:     s.Epoch,
		Staged:    s.Staged,
		Armed:     s.Armed,
		ArmedStep: s.HoldAt,
		Committed: r.committed != 0 || s.Pending != 0,
		Step:      s.Next - 1,
		Next:      s.Next,
		Holding:   s.HoldAt != 0,
		Map:       data,
	}}}
}
