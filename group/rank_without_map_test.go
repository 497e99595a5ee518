package group

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// A restarted engine that was armed before it had a map refused to stage again,
// and the group was restarted endlessly (rapid.seed 5756430204880529322 of
// TestFuzzOneMapPerStep).
func TestRankWithoutMapIsNotArmed(t *testing.T) {
	r, _ := NewRank(RankOptions{Group: "g", SupportsSwitchAt: true}, EngineState{}, nil)
	r.state = EngineState{Staged: 5}
	actions := r.arm(&wire.Order{Epoch: 5, Step: 10})
	require.Len(t, actions, 1)
	require.Equal(t, int(api.OrderRefused), actions[0].(SendAck).Ack.Code)
	r.state.Epoch = 4
	require.IsType(t, RunCommand{}, r.arm(&wire.Order{Epoch: 5, Step: 10})[0])
}

// A rank whose engine was restarted has no active map, so a switch cannot complete.
// The coordinator must claim the group again instead of waiting.
func TestGroupWithRankWithoutMapIsRestarted(t *testing.T) {
	c := NewCoordinator(CoordinatorOptions{Group: "g", Ranks: 2})
	c.phase = phaseCompleting
	c.acks[0].Epoch = 3
	require.Equal(t, []Action{AppendClaim{}}, c.checkSwitched())
	require.Equal(t, phaseClaiming, c.phase)
}
