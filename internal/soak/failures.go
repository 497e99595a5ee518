package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/platform/platformtest"
)

// proofExpiry is the time without the store after which a gateway no longer has
// a freshness proof for its keys.
const proofExpiry = platformtest.RevokeAfter + time.Second

// logFlushTime is how long the processes take to write their last log lines.
const logFlushTime = 300 * time.Millisecond

// Failures holds the ids of requests that were made to fail, and the places where
// the processes' logs and a gateway's metrics are found.
type Failures struct {
	Refused, Cut, Unknown string // request ids
	Logs                  string // directory of the processes' logs
	Metrics               string // address of a gateway's metrics
}

// ProvokeFailures starts a deployment, makes one request of each kind of Failures
// fail and calls show while the processes still run. It returns an error if the
// deployment could not be set up, if a request did not fail with the expected
// status, or if show fails.
func ProvokeFailures(parent context.Context, opts Options, show func(Failures) error) error {
	tb := newTestbed(opts)
	defer tb.close()
	ctx, end, err := tb.startDeployment(parent)
	defer end()
	if err != nil {
		return err
	}
	f := Failures{Logs: opts.Dir, Metrics: tb.gateways[0].IP + ":9464"}
	setLossShare := func(share float64) {
		for _, b := range tb.backendList() {
			b.UpdateState(func(s *platformtest.State) { s.LossRate = share })
		}
	}
	setLossShare(1)
	if f.Cut, err = tb.provokeFailure(ctx, "cut", streamed, http.StatusOK, true); err != nil {
		return err
	}
	if f.Unknown, err = tb.provokeFailure(ctx, "unknown", once, http.StatusBadGateway, false); err != nil {
		return err
	}
	setLossShare(0)
	for _, p := range tb.gateways {
		p.setStoreFaults(platformtest.Faults{Hang: true})
	}
	sleep(ctx, proofExpiry)
	if f.Refused, err = tb.provokeFailure(ctx, "refused", idempotent, http.StatusServiceUnavailable, false); err != nil {
		return err
	}
	sleep(ctx, logFlushTime)
	return show(f)
}

// provokeFailure sends a request through the first gateway, checks that its own
// answer has the expected status and is cut off only if cut is set, and returns id.
func (tb *testbed) provokeFailure(ctx context.Context, id string, k requestKind, status int, cut bool) (string, error) {
	r := &request{kind: k, path: platformtest.RoutePrefixes[k] + id, body: id, key: tb.keys[0]}
	tb.checker.sent(id, r)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	tb.sendRequest(ctx, client, tb.gateways[0], id, r)
	tb.checker.mu.Lock()
	defer tb.checker.mu.Unlock()
	if r.status != status || r.cut != cut {
		return id, eris.Errorf("request %s: status %d, cut off %t; want %d, %t", id, r.status, r.cut, status, cut)
	}
	return id, nil
}
