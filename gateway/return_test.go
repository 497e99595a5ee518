package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
	"marjorampitch/wire"
)

// peerLoad delivers the load report of a peer.
func (tg *testGateway) peerLoad(serving bool) {
	l := wire.GatewayLoad{Instance: "peer", Serving: serving}
	data, err := l.MarshalMsg([]byte{wire.KindGatewayLoad})
	require.NoError(tg.t, err)
	require.NoError(tg.t, tg.g.peers.handleDatagram(data))
}

// Half of the callers meet an instance that cannot serve: it has lost the store, is
// about to stop, or has just started. The platform sends a caller
// that returns to another instance. With a peer that serves, all of them get their
// answer within the latency objective; a refusal says when to return.
func TestCallersReturnToServingPeerInTime(t *testing.T) {
	const callers = 20
	cannotServe := map[string]func(tg *testGateway){
		"store lost":   func(tg *testGateway) { tg.proof.Store(1) },
		"leaving":      func(tg *testGateway) { tg.g.stages.leaving.Store(true) },
		"no document":  func(tg *testGateway) { tg.g.opts.Cache = fleet.NewCache(time.Second) },
		"keys unknown": func(tg *testGateway) { tg.proof.Store(0) },
	}
	for name, breakInstance := range cannotServe {
		t.Run(name, func(t *testing.T) {
			broken, sound := newTestGateway(t), newTestGateway(t)
			sound.server(serve("answer"))
			breakInstance(broken)
			broken.peerLoad(true)
			objective := sound.cache.View().Document.Routes[0].TargetLatency
			for i := range callers {
				tg, waited := sound, time.Duration(0)
				if i%2 == 0 {
					tg = broken
				}
				status, body, h := tg.call("/once/")
				if status == http.StatusServiceUnavailable {
					seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
					require.NoError(t, err)
					waited = time.Duration(seconds * float64(time.Second))
					status, body, _ = sound.call("/once/")
				}
				require.Equal(t, http.StatusOK, status, body)
				require.Less(t, waited, objective/4, "the wait leaves time for the answer")
			}
		})
	}
}

// Without a peer that is known to serve, an early return would use up the caller's
// attempts: it is told to return later.
func TestReturnWithoutServingPeer(t *testing.T) {
	for name, report := range map[string]func(tg *testGateway){
		"no peer known":            func(*testGateway) {},
		"peer cannot serve either": func(tg *testGateway) { tg.peerLoad(true); tg.peerLoad(false) },
		"report is old": func(tg *testGateway) {
			tg.peerLoad(true)
			tg.g.start = tg.g.start.Add(-2 * servingReportTTL)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTestGateway(t)
			tg.proof.Store(1)
			report(tg)
			status, _, h := tg.call("/once/")
			require.Equal(t, http.StatusServiceUnavailable, status)
			seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.Equal(t, notReadyRetryAfter.Seconds(), seconds)
		})
	}
}
