package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/platform/platformtest"
)

// proofGone is the time after which a gateway without the store has no proof
// left that keys are valid.
const proofGone = platformtest.RevokeAfter + time.Second

// linesOut is the time in which the processes' last lines are written.
const linesOut = 300 * time.Millisecond

// Failures are requests that have failed on purpose, by their ids, and where a
// gateway tells of itself.
type Failures struct {
	Refused, Cut, Unknown string
	Logs                  string // folder of the processes' logs
	Metrics               string // address of a gateway's metrics
}

// Fail starts a deployment, makes one request of each kind fail, hands them to
// show while the processes run, and ends. Error: it could not be set up, or a
// request did not fail as it should.
func Fail(parent context.Context, opts Options, show func(Failures) error) error {
	w := newWorld(opts)
	defer w.close()
	ctx, end, err := w.begin(parent)
	defer end()
	if err != nil {
		return err
	}
	f := Failures{Logs: opts.Dir, Metrics: w.gateways[0].IP + ":9464"}
	lose := func(share float64) {
		for _, b := range w.live() {
			b.UpdateState(func(s *platformtest.State) { s.LossRate = share })
		}
	}
	lose(1)
	if f.Cut, err = w.fail(ctx, "cut", streamed, http.StatusOK); err != nil {
		return err
	}
	if f.Unknown, err = w.fail(ctx, "unknown", once, http.StatusBadGateway); err != nil {
		return err
	}
	lose(0)
	for _, p := range w.gateways {
		p.store(platformtest.Faults{Hang: true})
	}
	sleep(ctx, proofGone)
	if f.Refused, err = w.fail(ctx, "refused", idempotent, http.StatusServiceUnavailable); err != nil {
		return err
	}
	sleep(ctx, linesOut)
	return show(f)
}

// fail makes one request through the first gateway and checks its status.
func (w *world) fail(ctx context.Context, id string, k kind, status int) (string, error) {
	r := &record{kind: k, path: platformtest.RoutePrefixes[k] + id, body: id, key: w.keys[0]}
	w.judge.sent(id, r)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	w.ask(ctx, client, w.gateways[0], id, r)
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	if w.judge.counts[fmt.Sprint(status)] == 0 {
		return id, eris.Errorf("request %s: answers %v, not %d", id, w.judge.counts, status)
	}
	return id, nil
}
