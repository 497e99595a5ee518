package side

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
	"marjorampitch/group"
	"marjorampitch/logfold"
	"marjorampitch/wire"
)

const rankTestTimeout = 20 * time.Second

// ackChannel receives the acknowledgements of a rank.
type ackChannel chan *wire.OrderAck

func (a ackChannel) Send(m wire.Message) error {
	a <- m.(*wire.OrderAck)
	return nil
}

// startRank runs rank 0 of group g for the engine, with a log that contains the
// given number of claims.
func startRank(t *testing.T, engine *backingtest.Engine, claims int) *rank {
	srv := httptest.NewServer(engine.Handler())
	t.Cleanup(srv.Close)
	store := backingtest.NewLog()
	for range claims {
		_, err := store.Append(t.Context(), logfold.GroupStream("s"), [][]byte{[]byte("claim")})
		require.NoError(t, err)
	}
	opt := Options{Hello: wire.Hello{Service: "s"}, Claims: store, Log: log.New(io.Discard)}
	r := newRank(&opt, backing.NewEngineClient(srv.URL), "g", 0)
	go r.run(t.Context())
	return r
}

// sendOrder sends an order until the rank is ready for it, and returns the
// acknowledgement.
func sendOrder(t *testing.T, r *rank, o wire.Order) *wire.OrderAck {
	answers := make(ackChannel, orderQueueSize)
	deadline := time.After(rankTestTimeout)
	for {
		order := o
		r.enqueue(answers, &order)
		select {
		case a := <-answers:
			if api.Code(a.Code) != api.NotReady {
				return a
			}
		case <-time.After(rankPollInterval):
		case <-deadline:
			require.Fail(t, "no acknowledgement")
		}
	}
}

// newTwoRankGroup returns the engines of a group with two ranks.
func newTwoRankGroup(t *testing.T) (first, second *backingtest.Engine) {
	opts := backingtest.DefaultEngineOptions()
	opts.Lockstep = backingtest.NewLockstep(2)
	first = backingtest.NewEngine(opts)
	opts.Rank = 1
	second = backingtest.NewEngine(opts)
	t.Cleanup(first.Crash)
	t.Cleanup(second.Crash)
	return first, second
}

// A sidecar that has just started reads the claims on the log and forwards no
// order of an earlier coordinator to the engine.
func TestRankRefusesStaleCoordinator(t *testing.T) {
	e, _ := newTwoRankGroup(t)
	r := startRank(t, e, 3)
	a := sendOrder(t, r, wire.Order{Group: "g", Kind: uint8(group.Seal), Fence: 1, Seq: 1})
	require.Equal(t, int(api.StaleFence), a.Code)
	require.Equal(t, int64(2), a.Fence)
	require.Empty(t, e.Stats().Orders)
	a = sendOrder(t, r, wire.Order{Group: "g", Kind: uint8(group.Stage), Fence: 2, Seq: 1, Map: []byte("m"), Epoch: 9})
	require.Equal(t, int(api.NotSealed), a.Code)
	a = sendOrder(t, r, wire.Order{Group: "g", Kind: uint8(group.Seal), Fence: 2, Seq: 1})
	require.Equal(t, int(api.OK), a.Code)
	require.Len(t, e.Stats().Orders, 1)
}

// A rank joins with a map and switches to the next one at the armed step. The
// other rank joins last, so no step starts before the commit.
func TestRankSwitchesMapAtArmedStep(t *testing.T) {
	e, other := newTwoRankGroup(t)
	r := startRank(t, e, 0)
	first, second := []byte("first"), []byte("second")
	const far = 1 << 32
	for i, o := range []wire.Order{
		{Kind: uint8(group.Seal)},
		{Kind: uint8(group.Stage), Epoch: 1, Map: first},
		{Kind: uint8(group.Join), Epoch: 1, Step: far},
		{Kind: uint8(group.Release)},
		{Kind: uint8(group.Stage), Epoch: 2, Map: second},
		{Kind: uint8(group.Arm), Epoch: 2, Step: far + 3},
		{Kind: uint8(group.Commit), Epoch: 2},
	} {
		o.Group, o.Seq = "g", uint64(i+1)
		a := sendOrder(t, r, o)
		require.Equal(t, int(api.OK), a.Code, "order %d", i)
	}
	for _, o := range []backing.EngineOrder{
		{Kind: backing.OrderStage, Epoch: 1},
		{Kind: backing.OrderJoin, Epoch: 1, Step: far},
		{Kind: backing.OrderDrop},
	} {
		_, err := other.Order(o)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return e.RankState().Step > far+3 }, rankTestTimeout, time.Millisecond)
	a := sendOrder(t, r, wire.Order{Group: "g", Kind: uint8(group.Query), Seq: 100})
	require.Equal(t, mapHash(second), a.MapHash)
	spans := e.Stats().Steps
	require.Len(t, spans, 2)
	require.Equal(t, int64(far+3), spans[1].First)
	require.Equal(t, mapHash(first), spans[0].MapHash)
}
