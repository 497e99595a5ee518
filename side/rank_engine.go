package side

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjorampitch/backing"
	"marjorampitch/group"
)

// stateRetry is the pause before an engine that did not tell its state is asked again.
const stateRetry = 20 * time.Millisecond

// rankEngine is the control interface of an engine as a group.Rank needs it.
type rankEngine struct {
	client *backing.EngineClient
	group  string
	rank   int
}

// orderKinds are the engine's orders for the commands of a group.Rank.
var orderKinds = map[group.CommandKind]backing.OrderKind{
	group.CmdFence:     backing.OrderSeal,
	group.CmdStage:     backing.OrderStage,
	group.CmdHold:      backing.OrderArm,
	group.CmdSwitchAt:  backing.OrderCommit,
	group.CmdSwitchNow: backing.OrderSwitch,
	group.CmdRelease:   backing.OrderDrop,
	group.CmdJoin:      backing.OrderJoin,
}

// do passes a command to the engine and returns its outcome and the
// incarnation that carried it out, if that is known.
func (e rankEngine) do(ctx context.Context, c group.Command) (outcome group.Outcome, incarnation string) {
	order := backing.EngineOrder{
		Kind:  orderKinds[c.Kind],
		Fence: c.Fence,
		Group: e.group,
		Rank:  e.rank,
		Epoch: c.Epoch,
		Step:  c.Step,
		Map:   c.Map,
	}
	if c.Map != nil {
		order.MapHash = mapHash(c.Map)
	}
	state, err := e.client.Order(ctx, order)
	switch {
	case errors.Is(err, backing.ErrStaleFence):
		return group.Refused, state.Incarnation
	case err != nil:
		return group.Unknown, ""
	case state.Refused:
		return group.Refused, state.Incarnation
	}
	return group.Succeeded, state.Incarnation
}

// mapHash names an encoded map towards engines.
func mapHash(data []byte) string {
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// await asks for the state until the engine tells it or ctx ends.
func (e rankEngine) await(ctx context.Context) (backing.EngineState, error) {
	for {
		state, err := e.client.State(ctx)
		if err == nil {
			return state, nil
		}
		select {
		case <-ctx.Done():
			return backing.EngineState{}, ctx.Err()
		case <-time.After(stateRetry):
		}
	}
}

// rankView is the state of an engine in the terms of a group.Rank.
func rankView(s *backing.EngineState) group.EngineState {
	view := group.EngineState{
		Incarnation: s.Incarnation,
		Epoch:       s.Epoch,
		Next:        s.Next,
		Staged:      s.Staged,
		Armed:       s.Armed,
		HoldAt:      s.ArmedStep,
		Waiting:     s.Waiting,
	}
	if s.Committed {
		view.Pending = s.Armed
	}
	return view
}
