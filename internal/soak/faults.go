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

// Times of faults.
const (
	faultGap  = 500 * time.Millisecond // mean time between the starts of two
	faultLong = 3 * time.Second        // longest
	cutOff    = 5 * time.Second        // half of the time without the store in which keys are withdrawn
	restart   = 300 * time.Millisecond // until a process that has ended is started again
)

// harm is what a fault may excuse.
type harm uint8

const (
	harmless harm = iota
	ways          // the store or gateways are harmed: bounds in time are void meanwhile
	servers       // servers may break off what they run
)

// fault is one kind of harm. It begins at once, and undoes itself after d.
type fault struct {
	name   string
	harms  harm
	weight int
	do     func(w *world, rnd *rand.Rand, d time.Duration)
}

// faults are all kinds of harm. Several may be underway.
var faults = []fault{
	{"gateway killed", ways, 2, func(w *world, rnd *rand.Rand, d time.Duration) { w.kill(one(rnd, w.gateways), d/4) }},
	{"gateway told to stop", harmless, 3, func(w *world, rnd *rand.Rand, _ time.Duration) { w.term(one(rnd, w.gateways)) }},
	{"gateway paused", ways, 2, func(w *world, rnd *rand.Rand, d time.Duration) { pause(one(rnd, w.gateways), d) }},
	{"rebalancer killed", servers, 2, func(w *world, rnd *rand.Rand, d time.Duration) { w.kill(one(rnd, w.sides), d/4) }},
	{"rebalancer paused", servers, 2, func(w *world, rnd *rand.Rand, d time.Duration) { pause(one(rnd, w.sides), d) }},
	{"all processes killed", ways, 1, func(w *world, _ *rand.Rand, _ time.Duration) {
		for _, p := range slices.Concat(w.gateways, w.sides) {
			w.kill(p, restart)
		}
	}},
	{"callers' connections harmed", ways, 2, func(w *world, rnd *rand.Rand, d time.Duration) { hurt(one(rnd, w.gateways).front, rnd, d) }},
	{"servers' connections harmed", servers, 3, func(w *world, rnd *rand.Rand, d time.Duration) { hurt(one(rnd, w.live()).Relay, rnd, d) }},
	{"store refuses, is silent, slow or loses answers", ways, 3, func(w *world, rnd *rand.Rand, d time.Duration) {
		w.storeFault(rnd, d, one(rnd, slices.Concat(w.gateways, w.sides)))
	}},
	{"store away for all", ways, 2, func(w *world, rnd *rand.Rand, d time.Duration) {
		w.storeFault(rnd, d, slices.Concat(w.gateways, w.sides)...)
	}},
	{"store forgets its history", harmless, 1, func(w *world, _ *rand.Rand, _ time.Duration) { w.store.ForgetHistory() }},
	{"key withdrawn", harmless, 3, func(w *world, _ *rand.Rand, _ time.Duration) { w.withdraw() }},
	{"key withdrawn while the store is away for one gateway", ways, 1, func(w *world, rnd *rand.Rand, _ time.Duration) {
		w.storeFault(rnd, cutOff, one(rnd, w.gateways))
		time.AfterFunc(restart, w.withdraw)
	}},
	{"documents in series", harmless, 2, func(w *world, rnd *rand.Rand, _ time.Duration) {
		for range 4 {
			w.publish(rnd.IntN(300))
		}
	}},
	{"server replaced", harmless, 3, func(w *world, rnd *rand.Rand, _ time.Duration) { w.replace(rnd) }},
	{"server crashes and returns cold", servers, 2, func(w *world, rnd *rand.Rand, d time.Duration) { w.crash(one(rnd, w.live()), d) }},
	{"server turns cold", harmless, 2, func(w *world, rnd *rand.Rand, d time.Duration) {
		w.chill(one(rnd, w.live()), d+2*heardAfter)
	}},
	{"server loses answers, adds bytes, fails", servers, 3, func(w *world, rnd *rand.Rand, d time.Duration) {
		b := one(rnd, w.live())
		b.Change(func(s *platformtest.State) { s.Loses, s.Extra, s.Errors = 0.2, 0.2, 0.2 })
		time.AfterFunc(d, func() {
			b.Change(func(s *platformtest.State) { s.Loses, s.Extra, s.Errors = 0, 0, 0 })
		})
	}},
	{"demand shifts", harmless, 4, func(w *world, rnd *rand.Rand, _ time.Duration) { w.group.SetHot(rnd.IntN(64)) }},
	{"orders carried out late", servers, 2, func(w *world, rnd *rand.Rand, d time.Duration) {
		r := rnd.IntN(platformtest.Ranks)
		w.group.SetLate(r, true)
		time.AfterFunc(d, func() { w.group.SetLate(r, false) })
	}},
	{"data centre taken out", harmless, 1, func(w *world, rnd *rand.Rand, d time.Duration) { w.takeOut(one(rnd, centres), 3*d) }},
}

func one[T any](rnd *rand.Rand, list []T) T { return list[rnd.IntN(len(list))] }

// harm lets faults come, in series that overlap and with calm times between.
func (w *world) harm(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(w.opts.Seed, 2))
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	for end := time.Now().Add(w.opts.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		x := rnd.IntN(total)
		for _, f := range faults {
			if x -= f.weight; x >= 0 {
				continue
			}
			d := time.Duration(rnd.Float64() * float64(faultLong))
			w.note("%s (%v)", f.name, d.Round(time.Millisecond))
			w.judge.harm(f.harms, time.Now().Add(d+time.Second))
			f.do(w, rnd, d)
			break
		}
		gap := time.Duration(rnd.ExpFloat64() * float64(faultGap))
		if rnd.IntN(14) == 0 {
			gap += 2 * touch // bounds in time hold again
		}
		sleep(ctx, min(gap, 3*touch))
	}
}

// live are the servers that have not left.
func (w *world) live() []*platformtest.Backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.backends)
}

// kill kills a process and starts it again.
func (w *world) kill(p *process, after time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	time.AfterFunc(after+restart, func() { w.revive(p) })
}

func (w *world) revive(p *process) {
	p.end(stopLimit)
	if err := p.start(); err != nil {
		w.judge.Broken("soak", err.Error())
	}
}

// term stops a process gracefully and starts it again.
func (w *world) term(p *process) {
	p.signal(syscall.SIGTERM)
	go func() {
		p.mu.Lock()
		asked, done := p.asked, p.done
		p.mu.Unlock()
		<-done
		if took := time.Since(asked); !asked.IsZero() && took > platformtest.GraceTime+time.Second {
			w.judge.Broken("slow stop", p.Name+" took "+took.String())
		}
		w.revive(p)
	}()
}

func pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.signal(syscall.SIGCONT) })
}

// hurt harms the connections that pass a relay.
func hurt(r *relay.Relay, rnd *rand.Rand, d time.Duration) {
	switch rnd.IntN(5) {
	case 0:
		r.Reset()
	case 1:
		r.BlackholeOpen()
	case 2:
		r.Blackhole(one(rnd, []relay.Direction{relay.ToTarget, relay.ToCaller, relay.Both}))
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

// storeFault harms the way of some processes to the store.
func (w *world) storeFault(rnd *rand.Rand, d time.Duration, of ...*process) {
	f := one(rnd, []platformtest.Faults{
		{Refuse: http.StatusServiceUnavailable},
		{Refuse: http.StatusTooManyRequests},
		{Reset: true},
		{Silent: true},
		{Slow: 250 * time.Millisecond},
		{Lost: true},
		{Late: 2 * time.Second},
	})
	d *= 2 // longer than keys may be used without a proof
	w.judge.harm(ways, time.Now().Add(d+time.Second))
	var undo sync.Once
	for _, p := range of {
		p.store(f)
	}
	time.AfterFunc(d, func() {
		undo.Do(func() {
			for _, p := range of {
				p.store(platformtest.Faults{})
			}
		})
	})
}

// withdraw takes a key out of the document, and puts a new one in.
func (w *world) withdraw() {
	w.mu.Lock()
	old, fresh := w.keys[0], fmt.Sprintf("org%d-1", w.version+4)
	w.keys = append(slices.Clone(w.keys[1:]), fresh)
	w.mu.Unlock()
	w.judge.keys(old, fresh) // a gateway may be quicker than the publisher
	w.publish(0)
	w.judge.keys(old, fresh)
	w.mu.Lock()
	w.withdrawn = append(w.withdrawn, old)
	w.mu.Unlock()
}

// replace starts a plain server; an old one says that it leaves, and leaves.
func (w *world) replace(rnd *rand.Rand) {
	var plain []*platformtest.Backend
	for _, b := range w.live() {
		if b.Rank < 0 && !b.State().Draining {
			plain = append(plain, b)
		}
	}
	if len(plain) < 2 {
		return
	}
	old := one(rnd, plain)
	if _, err := w.serve(old.Service, old.Centre, -1); err != nil {
		w.judge.Broken("soak", err.Error())
		return
	}
	old.Change(func(s *platformtest.State) { s.Draining = true })
	w.store.PutServer(old, false)
	w.mu.Lock()
	w.leaving[old.ID] = time.Now()
	w.mu.Unlock()
	time.AfterFunc(2*platformtest.DrainTime, func() {
		w.mu.Lock()
		w.backends = slices.DeleteFunc(w.backends, func(b *platformtest.Backend) bool { return b == old })
		w.mu.Unlock()
		w.store.PutServer(old, true)
		old.Close()
	})
}

// crash takes a server down; it comes back cold. With an engine its group stops.
func (w *world) crash(b *platformtest.Backend, d time.Duration) {
	b.Change(func(s *platformtest.State) { s.Dark = true })
	b.Relay.Reset()
	if b.Rank >= 0 {
		w.group.Crash(b.Rank, d+300*time.Millisecond)
	}
	time.AfterFunc(d, func() { w.chill(b, 3*heardAfter) })
}

// takeOut takes a data centre out and back.
func (w *world) takeOut(centre string, d time.Duration) {
	w.store.PutCentre(centre, true)
	w.mu.Lock()
	w.out[centre] = time.Now()
	w.mu.Unlock()
	time.AfterFunc(d, func() {
		w.mu.Lock()
		delete(w.out, centre)
		w.mu.Unlock()
		w.store.PutCentre(centre, false)
	})
}
