package group

import (
	"marjorampitch/api"
	"marjorampitch/wire"
)

// RankOptions are the settings of a Rank.
type RankOptions struct {
	Group            string
	Rank             int
	SupportsSwitchAt bool // the engine can switch at a given step by itself; else it only switches now
}

// Rank decides at the side process what the engine of one rank is told. It
// is not safe for concurrent use.
//
// A new Rank obeys nothing before SetFence has told it the highest claim on
// the log, and then only the coordinator that has sealed it.
type Rank struct {
	opts      RankOptions
	ready     bool // SetFence has been called
	fence     int64
	sealed    bool   // by the coordinator with number fence, since this start
	seq       uint64 // highest order obeyed under fence
	state     EngineState
	committed uint64 // committed map that the engine does not know of yet
	busy      *wire.Order
	running   CommandKind // command underway for busy, or for the committed map; 0 for none
	staging   *wire.Order // underway beside other commands, since it takes long
	maps      map[uint64][]byte
	broken    mechanisms
}

// mechanisms lists what tests take out of the machines to show that it is needed.
type mechanisms struct {
	noHold    bool // armed ranks do not hold
	noFence   bool // lower fencing numbers are obeyed
	earlyDone bool // a round ends before all ranks have answered
	noSeq     bool // late orders of an earlier round are obeyed
	seenAbort bool // aborts even though a rank has committed
}

// NewRank returns the machine of one rank. state is the engine's at the start
// and current its map, nil for none. The first action to perform is ReadFence.
func NewRank(opts RankOptions, state EngineState, current []byte) (*Rank, []Action) {
	r := &Rank{opts: opts, state: state, fence: -1, maps: make(map[uint64][]byte)}
	if current != nil {
		r.maps[state.Epoch] = current
	}
	return r, []Action{ReadFence{}}
}

// SetFence takes the offset of the group's latest claim; -1 for none.
func (r *Rank) SetFence(offset int64) {
	r.ready = true
	if offset > r.fence {
		r.fence, r.sealed, r.seq = offset, false, 0
	}
}

// HandleOrder takes an order of a coordinator. An order that arrives while the
// engine is busy with another is dropped; coordinators send again.
func (r *Rank) HandleOrder(o *wire.Order) []Action {
	if code := r.admit(o); code != api.OK {
		return r.answer(o, code, nil)
	}
	late := o.Seq < r.seq && !r.broken.noSeq
	if late || r.running != 0 {
		return nil
	}
	r.seq = o.Seq
	if OrderKind(o.Kind) == Seal {
		return r.run(o, Command{Kind: CmdFence})
	}
	return r.obey(o)
}

// admit checks the fencing number of an order and takes a higher one over.
func (r *Rank) admit(o *wire.Order) api.Code {
	if !r.ready {
		return api.NotReady
	}
	if r.broken.noFence {
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

// obey carries out an order of the coordinator that has sealed the rank.
func (r *Rank) obey(o *wire.Order) []Action {
	switch OrderKind(o.Kind) {
	case Query:
		return r.answer(o, api.OK, nil)
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
	return r.answer(o, api.UnknownMessage, nil)
}

// fetch answers with the map, or without one when this process does not have it.
func (r *Rank) fetch(o *wire.Order) []Action {
	return r.answer(o, api.OK, r.maps[o.Epoch])
}

func (r *Rank) stage(o *wire.Order) []Action {
	if r.has(o.Epoch) {
		r.maps[o.Epoch] = o.Map
		return r.answer(o, api.OK, nil)
	}
	if r.staging != nil && r.staging.Epoch == o.Epoch {
		r.staging = o
		return nil
	}
	r.staging = o
	return []Action{RunCommand{Command{Kind: CmdStage, Fence: o.Fence, Epoch: o.Epoch, Map: o.Map}}}
}

// has says whether the engine can use the map of epoch without copying weights.
func (r *Rank) has(epoch uint64) bool {
	return r.state.Staged == epoch || r.state.Epoch == epoch
}

// arm holds the engine at a step. A rank without a map has none to go on with
// until then: it joins first, and what is armed would keep it from staging.
func (r *Rank) arm(o *wire.Order) []Action {
	if r.state.Armed == o.Epoch && r.state.HoldAt == o.Step {
		return r.answer(o, api.OK, nil)
	}
	if r.state.Epoch == 0 || r.state.HoldAt != 0 || r.state.Staged != o.Epoch || r.state.Next > o.Step {
		return r.answer(o, api.OrderRefused, nil)
	}
	return r.run(o, Command{Kind: CmdHold, Step: o.Step})
}

func (r *Rank) commit(o *wire.Order) []Action {
	if r.state.Epoch == o.Epoch || r.state.Pending == o.Epoch || r.committed == o.Epoch {
		return r.answer(o, api.OK, nil)
	}
	if r.state.Armed != o.Epoch {
		return r.answer(o, api.OrderRefused, nil)
	}
	r.committed = o.Epoch
	if r.opts.SupportsSwitchAt {
		return r.run(o, Command{Kind: CmdSwitchAt})
	}
	return append(r.answer(o, api.OK, nil), r.switchNow()...)
}

// switchNow tells an engine that stands at its hold to use the committed map.
func (r *Rank) switchNow() []Action {
	due := r.committed != 0 && r.committed == r.state.Armed && r.state.Waiting
	if !due || r.running != 0 {
		return nil
	}
	r.running = CmdSwitchNow
	return []Action{RunCommand{Command{Kind: CmdSwitchNow, Fence: r.fence, Epoch: r.committed}}}
}

func (r *Rank) release(o *wire.Order) []Action {
	if r.state.HoldAt == 0 {
		return r.answer(o, api.OK, nil)
	}
	if r.committed != 0 || r.state.Pending != 0 {
		return r.answer(o, api.OrderRefused, nil)
	}
	held := wire.Order{Seq: o.Seq, Kind: o.Kind, Fence: o.Fence, Epoch: r.state.Armed}
	return r.run(&held, Command{Kind: CmdRelease})
}

func (r *Rank) join(o *wire.Order) []Action {
	wanted := *o
	if o.Epoch == 0 {
		wanted.Epoch = r.state.Epoch
	}
	if r.state.Epoch == wanted.Epoch && r.state.Next >= o.Step {
		return r.answer(o, api.OK, nil)
	}
	if !r.has(wanted.Epoch) {
		return r.answer(o, api.OrderRefused, nil)
	}
	r.committed = 0
	return r.run(&wanted, Command{Kind: CmdJoin, Step: o.Step})
}

// run passes a command for o to the engine; the answer waits for its result.
func (r *Rank) run(o *wire.Order, c Command) []Action {
	c.Fence = o.Fence
	c.Epoch = o.Epoch
	r.busy = o
	r.running = c.Kind
	return []Action{RunCommand{c}}
}

// HandleResult takes the result of a command passed to the engine. After an unknown
// outcome the order is not answered; coordinators send again.
func (r *Rank) HandleResult(res Result) []Action {
	o := r.finished(res)
	r.note(res.State)
	var actions []Action
	if res.Kind != CmdSwitchNow {
		actions = r.switchNow() // a refused one is tried again at the next Observe
	}
	if o == nil || res.Outcome == Unknown {
		return actions
	}
	code := api.OK
	if res.Outcome == Refused {
		code = api.OrderRefused
	}
	return append(actions, r.answer(o, code, nil)...)
}

// finished returns the order that the command of res was for, or nil.
func (r *Rank) finished(res Result) *wire.Order {
	if res.Kind == CmdStage {
		o := r.staging
		r.staging = nil
		if o != nil && res.State.Staged == o.Epoch {
			r.maps[o.Epoch] = o.Map
		}
		return o
	}
	if res.Kind != r.running {
		return nil
	}
	o := r.busy
	r.running = 0
	r.busy = nil
	return o
}

// HandleState takes the engine's state, as read at any time after the last
// result. A restart of the engine makes the rank ask to be sealed again.
func (r *Rank) HandleState(state EngineState) []Action {
	r.note(state)
	return r.switchNow()
}

// note takes the engine's state over.
func (r *Rank) note(state EngineState) {
	if r.state.Incarnation != state.Incarnation {
		r.sealed = false
		r.committed = 0
		r.busy, r.running, r.staging = nil, 0, nil
	}
	r.state = state
	if r.committed != 0 && (state.Epoch == r.committed || state.Pending == r.committed) {
		r.committed = 0
	}
	r.forgetMaps()
}

// forgetMaps drops the maps that the engine neither uses nor has staged.
func (r *Rank) forgetMaps() {
	for epoch := range r.maps {
		if !r.has(epoch) && epoch != r.state.Pending {
			delete(r.maps, epoch)
		}
	}
}

// answer reports the state of the rank with code.
func (r *Rank) answer(o *wire.Order, code api.Code, data []byte) []Action {
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
