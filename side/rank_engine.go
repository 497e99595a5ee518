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

// stateRetryDelay is the delay before a failed query for the engine's state is
// retried.
const stateRetryDelay = 20 * time.Millisecond

// rankEngine executes the commands of a group.Rank at an engine.
type rankEngine struct {
	client *backing.EngineClient
	group  string
	rank   int
}

// orderKinds maps the commands of a group.Rank to orders of the engine interface.
var orderKinds = map[group.CommandKind]backing.OrderKind{
	group.CmdFence:     backing.OrderSeal,
	group.CmdStage:     backing.OrderStage,
	group.CmdHold:      backing.OrderArm,
	group.CmdSwitchAt:  backing.OrderCommit,
	group.CmdSwitchNow: backing.OrderSwitch,
	group.CmdRelease:   backing.OrderDrop,
	group.CmdJoin:      backing.OrderJoin,
}

// execute sends a command to the engine. It returns the outcome and the
// incarnation of the engine that responded; empty if the outcome is unknown.
func (e rankEngine) execute(ctx context.Context, c group.Command) (outcome group.Outcome, incarnation string) {
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

// mapHash returns the hash by which engines identify an encoded map.
func mapHash(data []byte) string {
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// awaitState queries the engine's state until the engine responds or ctx ends.
func (e rankEngine) awaitState(ctx context.Context) (backing.EngineState, error) {
	for {
		state, err := e.client.State(ctx)
		if err == nil {
			return state, nil
		}
		select {
		case <-ctx.Done():
			return backing.EngineState{}, ctx.Err()
		case <-time.After(stateRetryDelay):
		}
	}
}

// rankState converts the state of an engine for a group.Rank.
func rankState(s *backing.EngineState) group.EngineState {
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
