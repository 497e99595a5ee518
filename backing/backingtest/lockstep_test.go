package backingtest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
)

const pollLimit = 20 * time.Second

// ranks returns the engines of a group and a function that sends an order to all of
// them.
func ranks(t *testing.T, n int) ([]*backingtest.Engine, func(backing.EngineOrder)) {
	lockstep := backingtest.NewLockstep(n)
	var engines []*backingtest.Engine
	for rank := range n {
		opts := fastOptions()
		opts.Lockstep, opts.Rank = lockstep, rank
		engines = append(engines, backingtest.NewEngine(opts))
		t.Cleanup(engines[rank].Crash)
	}
	return engines, func(o backing.EngineOrder) {
		for _, e := range engines {
			state, err := e.Order(o)
			require.NoError(t, err)
			require.False(t, state.Refused)
		}
	}
}

func TestRanksStepInLockstep(t *testing.T) {
	engines, all := ranks(t, 3)
	all(backing.EngineOrder{Kind: backing.OrderStage, Epoch: 1, MapHash: "a"})
	all(backing.EngineOrder{Kind: backing.OrderJoin, Epoch: 1, Step: 100})
	require.True(t, engines[0].RankState().Waiting)
	_, err := engines[0].Order(backing.EngineOrder{Kind: backing.OrderDrop})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return engines[0].RankState().Next == 101 }, pollLimit, time.Millisecond)
	require.Equal(t, int64(100), engines[1].RankState().Next)
	for _, e := range engines[1:] {
		_, err := e.Order(backing.EngineOrder{Kind: backing.OrderDrop})
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return engines[2].RankState().Step > 110 }, pollLimit, time.Millisecond)
	engines[1].Crash()
	require.Zero(t, engines[1].RankState().Epoch)
	spans := engines[0].Stats().Steps
	require.Len(t, spans, 1)
	require.Equal(t, int64(100), spans[0].First)
	require.Equal(t, "a", spans[0].MapHash)
}

func TestRankRefusesOrdersInWrongState(t *testing.T) {
	e := backingtest.NewEngine(fastOptions())
	for _, o := range []backing.EngineOrder{
		{Kind: backing.OrderArm, Epoch: 1, Step: 5},
		{Kind: backing.OrderCommit, Epoch: 1},
		{Kind: backing.OrderSwitch, Epoch: 1},
		{Kind: backing.OrderJoin, Epoch: 1, Step: 5},
	} {
		state, err := e.Order(o)
		require.NoError(t, err)
		require.True(t, state.Refused, o.Kind)
	}
}

func TestEngineStateOverHTTP(t *testing.T) {
	e, base := serveEngine(t, fastOptions())
	state, err := backing.NewEngineClient(base).State(t.Context())
	require.NoError(t, err)
	require.Equal(t, e.RankState(), state)
	require.NotEmpty(t, state.Incarnation)
}
