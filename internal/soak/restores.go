package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"marjorampitch/platform/platformtest"
)

// Returns of the store from an older copy.
const (
	storeAway     = time.Second     // for which it answers nothing before it is back
	maxCopyAge    = 4 * time.Second // of the copy when the store goes away
	maxRestoreGap = 5 * time.Second // between two of them
)

// restoreStore has the store come back from older copies while faults are injected, if the
// options ask for it. It draws from a source of its own, so that the faults of a seed stay
// the same.
func (tb *testbed) restoreStore(ctx context.Context) {
	if !tb.opts.Restores {
		return
	}
	rnd := rand.New(rand.NewPCG(tb.opts.Seed, 5))
	processes := slices.Concat(tb.gateways, tb.rebalancers)
	setFaults := func(f platformtest.Faults) {
		for _, p := range processes {
			p.setStoreFaults(f)
		}
	}
	for end := time.Now().Add(tb.opts.Faults); ctx.Err() == nil; {
		age := time.Duration(rnd.Float64() * float64(maxCopyAge))
		if time.Now().Add(age + storeAway).After(end) {
			return
		}
		copied := tb.store.Copy()
		sleep(ctx, age)
		tb.checker.faultActive(impactTiming, time.Now().Add(storeAway+timingMargin))
		setFaults(platformtest.Faults{Hang: true})
		sleep(ctx, storeAway)
		tb.recordFault("store restored from a copy of %v before", (age + storeAway).Round(time.Millisecond))
		tb.store.RestoreRewritten(copied, platformtest.OperatorTopic, platformtest.ServersTopic)
		setFaults(platformtest.Faults{})
		if rnd.IntN(2) == 0 {
			tb.revokeKey() // the offsets reach those of before again
		}
		sleep(ctx, time.Duration(rnd.Float64()*float64(maxRestoreGap)))
	}
}
