package group

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// An engine that was restarted and armed before it had a map could not be
// staged again, and its group was restarted for ever (rapid.seed
// 5756430204880529322 of TestFuzzOneMapPerStep).
func TestARankWithoutAMapIsNotArmed(t *testing.T) {
	r, _ := NewRank(RankOptions{Group: "g", SupportsSwitchAt: true}, EngineState{}, nil)
	r.state = EngineState{Staged: 5}
	actions := r.arm(&wire.Order{Epoch: 5, Step: 10})
	require.Len(t, actions, 1)
	require.Equal(t, int(api.OrderRefused), actions[0].(SendAck).Ack.Code)
	r.state.Epoch = 4
	require.IsType(t, RunCommand{}, r.arm(&wire.Order{Epoch: 5, Step: 10})[0])
}

func TestAGroupWithARankWithoutAMapIsRestarted(t *testing.T) {
	c := NewCoordinator(CoordinatorOptions{Group: "g", Ranks: 2})
	c.phase = phaseWaiting
	c.acks[0].Epoch = 3
	require.Equal(t, []Action{AppendClaim{}}, c.settle())
	require.Equal(t, phaseClaiming, c.phase)
}
