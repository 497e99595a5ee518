package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"marjorampitch/internal/relay"
	"marjorampitch/platform/platformtest"
)

// Timing of faults.
const (
	meanFaultGap         = 500 * time.Millisecond // between the starts of two faults
	maxFaultDuration     = 3 * time.Second        // upper limit of the random duration, which some faults scale
	halfRevocationOutage = 5 * time.Second        // half the duration of the store fault during which a key is withdrawn: injectStoreFault doubles its argument
	restartDelay         = 300 * time.Millisecond // between the exit of a process and its restart
)

// impact is the class of invariants that a fault suspends.
type impact uint8

const (
	impactNone    impact = iota
	impactTiming         // the store or gateways are affected: time limits do not apply
	impactServers        // servers may abort running requests
)

// fault is one kind of fault. inject starts it and returns at once; d scales
// the duration of a fault that does not end by itself.
type fault struct {
	name   string
	impact impact
	weight int
	inject func(tb *testbed, rnd *rand.Rand, d time.Duration)
}

// faults lists all faults with their relative weights. Several may be active at
// the same time.
var faults = []fault{
	{"gateway killed", impactTiming, 2, func(tb *testbed, rnd *rand.Rand, d time.Duration) { tb.kill(pick(rnd, tb.gateways), d/4) }},
	{"gateway stopped", impactNone, 3, func(tb *testbed, rnd *rand.Rand, _ time.Duration) { tb.stopGracefully(pick(rnd, tb.gateways)) }},
	{"gateway paused", impactTiming, 2, func(tb *testbed, rnd *rand.Rand, d time.Duration) { pause(pick(rnd, tb.gateways), d) }},
	{"rebalancer killed", impactServers, 2, func(tb *testbed, rnd *rand.Rand, d time.Duration) { tb.kill(pick(rnd, tb.rebalancers), d/4) }},
	{"rebalancer paused", impactServers, 2, func(tb *testbed, rnd *rand.Rand, d time.Duration) { pause(pick(rnd, tb.rebalancers), d) }},
	{"all processes killed", impactTiming, 1, func(tb *testbed, _ *rand.Rand, _ time.Duration) {
		for _, p := range slices.Concat(tb.gateways, tb.rebalancers) {
			tb.kill(p, restartDelay)
		}
	}},
	{"fault on connections to a gateway", impactTiming, 2, func(tb *testbed, rnd *rand.Rand, d time.Duration) {
		injectConnectionFault(pick(rnd, tb.gateways).frontRelay, rnd, d)
	}},
	{"fault on connections to a server", impactServers, 3, func(tb *testbed, rnd *rand.Rand, d time.Duration) {
		injectConnectionFault(pick(rnd, tb.backendList()).Relay, rnd, d)
	}},
	{"store fault for one process", impactTiming, 3, func(tb *testbed, rnd *rand.Rand, d time.Duration) {
		tb.injectStoreFault(rnd, d, pick(rnd, slices.Concat(tb.gateways, tb.rebalancers)))
	}},
	{"store fault for all processes", impactTiming, 2, func(tb *testbed, rnd *rand.Rand, d time.Duration) {
		tb.injectStoreFault(rnd, d, slices.Concat(tb.gateways, tb.rebalancers)...)
	}},
	{"store drops its history", impactNone, 1, func(tb *testbed, _ *rand.Rand, _ time.Duration) { tb.store.DropKeyedHistory() }},
	{"key withdrawn", impactNone, 3, func(tb *testbed, _ *rand.Rand, _ time.Duration) { tb.revokeKey() }},
	{"key withdrawn during a store fault for one gateway", impactTiming, 1, func(tb *testbed, rnd *rand.Rand, _ time.Duration) {
		tb.injectStoreFault(rnd, halfRevocationOutage, pick(rnd, tb.gateways))
		time.AfterFunc(restartDelay, tb.revokeKey)
	}},
	{"several documents published in a row", impactNone, 2, func(tb *testbed, rnd *rand.Rand, _ time.Duration) {
		for range 4 {
			tb.publish(rnd.IntN(300))
		}
	}},
	{"server replaced", impactNone, 3, func(tb *testbed, rnd *rand.Rand, _ time.Duration) { tb.replaceServer(rnd) }},
	{"server crashes and returns cold", impactServers, 2, func(tb *testbed, rnd *rand.Rand, d time.Duration) { tb.crashServer(pick(rnd, tb.backendList()), d) }},
	{"server turns cold", impactNone, 2, func(tb *testbed, rnd *rand.Rand, d time.Duration) {
		tb.turnCold(pick(rnd, tb.backendList()), d+2*announceDelay)
	}},
	{"server loses answers, sends stray bytes and fails requests", impactServers, 3, func(tb *testbed, rnd *rand.Rand, d time.Duration) {
		b := pick(rnd, tb.backendList())
		b.UpdateState(func(s *platformtest.State) { s.LossRate, s.StrayRate, s.ErrorRate = 0.2, 0.2, 0.2 })
		time.AfterFunc(d, func() {
			b.UpdateState(func(s *platformtest.State) { s.LossRate, s.StrayRate, s.ErrorRate = 0, 0, 0 })
		})
	}},
	{"expert demand shifts", impactNone, 4, func(tb *testbed, rnd *rand.Rand, _ time.Duration) { tb.group.SetHotExpert(rnd.IntN(64)) }},
	{"rank executes orders late", impactServers, 2, func(tb *testbed, rnd *rand.Rand, d time.Duration) {
		r := rnd.IntN(platformtest.Ranks)
		tb.group.SetLateOrders(r, true)
		time.AfterFunc(d, func() { tb.group.SetLateOrders(r, false) })
	}},
	{"data centre taken out", impactNone, 1, func(tb *testbed, rnd *rand.Rand, d time.Duration) { tb.takeCentreOut(pick(rnd, centres), 3*d) }},
}

// pick returns a random element of list.
func pick[T any](rnd *rand.Rand, list []T) T { return list[rnd.IntN(len(list))] }

// injectFaults injects random faults for the time set in the options. Faults may
// overlap; now and then there is a longer gap without a new one.
func (tb *testbed) injectFaults(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(tb.opts.Seed, 2))
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	for end := time.Now().Add(tb.opts.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		x := rnd.IntN(total)
		for _, f := range faults {
			if x -= f.weight; x >= 0 {
				continue
			}
			d := time.Duration(rnd.Float64() * float64(maxFaultDuration))
			tb.recordFault("%s (%v)", f.name, d.Round(time.Millisecond))
			tb.checker.faultActive(f.impact, time.Now().Add(d+time.Second))
			f.inject(tb, rnd, d)
			break
		}
		gap := time.Duration(rnd.ExpFloat64() * float64(meanFaultGap))
		if rnd.IntN(14) == 0 {
			gap += 2 * timingMargin // long enough for time limits to apply again
		}
		sleep(ctx, min(gap, 3*timingMargin))
	}
}

// backendList returns the servers that have not left.
func (tb *testbed) backendList() []*platformtest.Backend {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return slices.Clone(tb.backends)
}

// kill kills a process and restarts it after the given time plus restartDelay.
func (tb *testbed) kill(p *process, after time.Duration) {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	time.AfterFunc(after+restartDelay, func() { tb.restart(p) })
}

// restart starts a process again once it has exited.
func (tb *testbed) restart(p *process) {
	p.WaitOrKill(stopTimeout)
	if err := p.Start(); err != nil {
		tb.checker.Violation("test harness", err.Error())
	}
	tb.checker.started(p)
}

// stopGracefully sends SIGTERM to a process, checks that it exits within its
// grace time plus one second, and restarts it.
func (tb *testbed) stopGracefully(p *process) {
	p.Signal(syscall.SIGTERM)
	go func() {
		stopRequested, done := p.StopRequested()
		<-done
		if elapsed := time.Since(stopRequested); !stopRequested.IsZero() && elapsed > platformtest.GraceTime+time.Second {
			tb.checker.Violation("slow stop", p.Name+" took "+elapsed.String())
		}
		tb.restart(p)
	}()
}

// pause stops a process with SIGSTOP for d.
func pause(p *process, d time.Duration) {
	p.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.Signal(syscall.SIGCONT) })
}

// injectConnectionFault resets, silences, cuts or delays the connections through
// a relay.
func injectConnectionFault(r *relay.Relay, rnd *rand.Rand, d time.Duration) {
	switch rnd.IntN(5) {
	case 0:
		r.Reset()
	case 1:
		r.BlackholeOpen()
	case 2:
		r.Blackhole(pick(rnd, []relay.Direction{relay.ToTarget, relay.ToCaller, relay.Both}))
		time.AfterFunc(d, r.Heal)
	case 3:
		r.Delay(time.Duration(rnd.IntN(60)) * time.Millisecond)
		time.AfterFunc(d, r.Heal)
	case 4:
		r.BlackholeOpen()
		r.Blackhole(relay.ToCaller)
		time.AfterFunc(d/2, r.Heal)
	}
}

// injectStoreFault injects a random fault of the store for some processes. It
// lasts 2*d.
func (tb *testbed) injectStoreFault(rnd *rand.Rand, d time.Duration, processes ...*process) {
	f := pick(rnd, []platformtest.Faults{
		{RefuseStatus: http.StatusServiceUnavailable},
		{RefuseStatus: http.StatusTooManyRequests},
		{Reset: true},
		{Hang: true},
		{AnswerDelay: 250 * time.Millisecond},
		{LoseAnswers: true},
		{LateBy: 2 * time.Second},
	})
	d *= 2 // longer than keys may be used without a freshness proof
	tb.checker.faultActive(impactTiming, time.Now().Add(d+time.Second))
	var undo sync.Once
	for _, p := range processes {
		p.setStoreFaults(f)
	}
	time.AfterFunc(d, func() {
		undo.Do(func() {
			for _, p := range processes {
				p.setStoreFaults(platformtest.Faults{})
			}
		})
	})
}

// revokeKey publishes a document in which the oldest key is replaced by a new one.
func (tb *testbed) revokeKey() {
	tb.mu.Lock()
	old, fresh := tb.keys[0], fmt.Sprintf("org%d-1", tb.version+4)
	tb.keys = append(slices.Clone(tb.keys[1:]), fresh)
	tb.mu.Unlock()
	tb.checker.keyReplaced(old, fresh) // a gateway may apply the document before publish returns
	tb.publish(0)
	tb.checker.keyReplaced(old, fresh)
	tb.mu.Lock()
	tb.revokedKeys = append(tb.revokedKeys, old)
	tb.mu.Unlock()
}

// replaceServer starts a plain server and drains and removes an old one.
func (tb *testbed) replaceServer(rnd *rand.Rand) {
	var plain []*platformtest.Backend
	for _, b := range tb.backendList() {
		if b.Rank < 0 && !b.State().Draining {
			plain = append(plain, b)
		}
	}
	if len(plain) < 2 {
		return
	}
	old := pick(rnd, plain)
	if _, err := tb.startServer(old.Service, old.Centre, -1); err != nil {
		tb.checker.Violation("test harness", err.Error())
		return
	}
	old.UpdateState(func(s *platformtest.State) { s.Draining = true })
	tb.store.PutServer(old, false)
	tb.mu.Lock()
	tb.leaving[old.ID] = time.Now()
	tb.mu.Unlock()
	time.AfterFunc(2*platformtest.DrainTime, func() {
		tb.mu.Lock()
		tb.backends = slices.DeleteFunc(tb.backends, func(b *platformtest.Backend) bool { return b == old })
		tb.mu.Unlock()
		tb.store.PutServer(old, true)
		old.Close()
	})
}

// crashServer takes a server down for d; it comes back cold. The crash of an
// engine stops its group.
func (tb *testbed) crashServer(b *platformtest.Backend, d time.Duration) {
	b.UpdateState(func(s *platformtest.State) { s.Crashed = true })
	b.Relay.Reset()
	if b.Rank >= 0 {
		tb.group.Crash(b.Rank, d+300*time.Millisecond)
	}
	time.AfterFunc(d, func() { tb.turnCold(b, 3*announceDelay) })
}

// takeCentreOut takes a data centre out of service for d.
func (tb *testbed) takeCentreOut(centre string, d time.Duration) {
	tb.store.PutDataCentre(centre, true)
	tb.mu.Lock()
	tb.out[centre] = time.Now()
	tb.mu.Unlock()
	time.AfterFunc(d, func() {
		tb.mu.Lock()
		delete(tb.out, centre)
		tb.mu.Unlock()
		tb.store.PutDataCentre(centre, false)
	})
}
