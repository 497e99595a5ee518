package main

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// Timing of the cases.
const (
	shiftInterval = 2500 * time.Millisecond // between two changes of the demand for experts
	freezeTime    = 2 * time.Second
	freezePause   = 6 * time.Second // from one freeze to the next
	caseTime      = 100 * time.Second
)

// shift changes the demand for experts until ctx ends.
func shift(ctx context.Context, g *group) {
	for ctx.Err() == nil {
		time.Sleep(shiftInterval)
		g.shiftDemand()
	}
}

// runMap freezes the process that coordinates a switch of maps once all ranks are armed, and
// lets it go on. All passes have to begin with one map.
func runMap(rec *record, trouble bool) int {
	g := newGroup(rec, true)
	d, err := newDeployment(rec, g, 0, 0)
	if err != nil {
		return failed(rec, err)
	}
	cleanup = d.close
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	frozenUntil := time.Duration(0)
	g.onArmed = func() {
		now := rec.now()
		if !trouble || now < 6*time.Second || now < frozenUntil+freezePause {
			return
		}
		p := d.coordinator()
		if p == nil {
			return
		}
		p.signal(syscall.SIGSTOP)
		frozenUntil = now + freezeTime
		rec.line("%s, which coordinates, freezes; all ranks are armed for map %d at pass %d", p.Name, g.ranks[0].armed, g.ranks[0].armedAt)
		time.AfterFunc(freezeTime, func() {
			rec.line("%s wakes; %s", p.Name, g.state())
			p.signal(syscall.SIGCONT)
		})
	}
	go g.run(ctx)
	if err := startAll(d.sides); err != nil {
		return failed(rec, err)
	}
	go shift(ctx, g)
	limit := caseTime
	if !trouble {
		limit = 40 * time.Second
	}
	for rec.now() < limit {
		time.Sleep(50 * time.Millisecond)
		if _, _, mixed := g.progress(); mixed != "" {
			time.Sleep(time.Second)
			return broken
		}
	}
	step, version, _ := g.progress()
	rec.line("%d passes, map %d; all with one map", step, version)
	if version == 0 {
		return failed(rec, errors.New("the map has never changed"))
	}
	return held
}

// Timing of the case on recovery.
const (
	calmTime     = 15 * time.Second       // before the final fault
	downTime     = time.Second            // for which all processes are down
	recoveryTime = 12 * time.Second       // recovery_s of the deployment
	judgedTime   = 18 * time.Second       // after it
	copyBegun    = 300 * time.Millisecond // from the first copy of a switch to the freeze
	napTime      = time.Second
	maxNaps      = 5
)

// runRecover kills all processes, starts them again, and freezes the coordinator while the
// ranks copy experts. After the recovery a quarter of the requests has to be served.
func runRecover(rec *record, trouble bool) int {
	g := newGroup(rec, false)
	d, err := newDeployment(rec, g, 2, 3)
	if err != nil {
		return failed(rec, err)
	}
	cleanup = d.close
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	copies := make(chan struct{}, 1)
	g.onCopy = func() {
		select {
		case copies <- struct{}{}:
		default:
		}
	}
	go g.run(ctx)
	if err := startAll(d.processes()); err != nil {
		return failed(rec, err)
	}
	if !d.awaitReady(15 * time.Second) {
		return failed(rec, errors.New("the gateways do not become ready"))
	}
	time.Sleep(2 * time.Second)
	go shift(ctx, g)
	c := &clients{d: d}
	go c.run(ctx)
	began := rec.now()
	rec.line("traffic begins")
	time.Sleep(calmTime)
	d.configure()
	faultAt := rec.now()
	rec.line("final fault: all processes are killed")
	killAll(d.processes())
	time.Sleep(downTime)
	if err := startAll(d.processes()); err != nil {
		return failed(rec, err)
	}
	back := rec.now()
	rec.line("all processes are back")
	if trouble {
		if at := naps(rec, d, copies); at > 0 {
			back = at
		}
	}
	for rec.now() < back+recoveryTime+judgedTime {
		time.Sleep(2 * time.Second)
		rec.line("%s", g.state())
	}
	end := rec.now()
	time.Sleep(8 * time.Second) // for the last answers
	before, servedBefore, _ := c.share(began, faultAt-8*time.Second)
	after, servedAfter, ends := c.share(back+recoveryTime, end)
	rec.line("before the final fault: %d requests, %.2f served", before, servedBefore)
	rec.line("later than %v after the machines are back: %d requests, %.2f served; the others: %v", recoveryTime, after, servedAfter, ends)
	switch {
	case servedBefore < 0.25:
		return failed(rec, errors.New("not served before the fault"))
	case servedAfter < 0.25:
		return broken
	}
	return held
}

// naps freezes the coordinator while ranks copy experts, until the group stands still
// afterwards, maxNaps times at most. It returns the time of the last wake.
func naps(rec *record, d *deployment, copies <-chan struct{}) (wokenAt time.Duration) {
	time.Sleep(4 * time.Second)
	for n := range maxNaps {
		select {
		case <-copies:
		default:
		}
		<-copies
		time.Sleep(copyBegun)
		p := d.coordinator()
		if p == nil {
			continue
		}
		rec.line("freeze %d of %d at most: %s, which coordinates, freezes; %s", n+1, maxNaps, p.Name, d.group.state())
		p.signal(syscall.SIGSTOP)
		time.Sleep(napTime)
		rec.line("%s wakes; %s", p.Name, d.group.state())
		p.signal(syscall.SIGCONT)
		wokenAt = rec.now()
		time.Sleep(2 * time.Second)
		before, _, _ := d.group.progress()
		time.Sleep(1500 * time.Millisecond)
		if after, _, _ := d.group.progress(); after == before {
			rec.line("the group makes no passes: %s", d.group.state())
			return wokenAt
		}
	}
	return wokenAt
}

// Timing of the case on memory.
const (
	faultyWorkers = 3
	restartDelay  = 500 * time.Millisecond
	sampleTime    = 5 * time.Millisecond
)

// runMemory has some workers answer the question for their state without end. The platform
// kills a process that exceeds its memory, and starts it again.
func runMemory(rec *record, trouble bool) int {
	g := newGroup(rec, true)
	d, err := newDeployment(rec, g, 0, 0)
	if err != nil {
		return failed(rec, err)
	}
	cleanup = d.close
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.run(ctx)
	if err := startAll(d.sides); err != nil {
		return failed(rec, err)
	}
	go shift(ctx, g)
	time.Sleep(8 * time.Second)
	if trouble {
		rec.line("%d workers answer GET /marjorampitch/report with bytes without end", faultyWorkers)
		g.mu.Lock()
		for r := range faultyWorkers {
			g.endless[r] = true
		}
		g.mu.Unlock()
	}
	ends, peak := make([]int, ranks), make([]int, ranks)
	for end := rec.now() + 20*time.Second; rec.now() < end; time.Sleep(sampleTime) {
		for i, p := range d.sides {
			mb := p.residentMB()
			peak[i] = max(peak[i], mb)
			if mb <= p.MemoryMB {
				continue
			}
			ends[i]++
			rec.line("%s holds %d MB of %d and is killed, for the %d. time", p.Name, mb, p.MemoryMB, ends[i])
			p.kill()
			time.Sleep(restartDelay)
			if err := p.start(); err != nil {
				return failed(rec, err)
			}
		}
	}
	machines := 0
	for i := range ends {
		if ends[i] >= 3 {
			machines++
		}
	}
	rec.line("peak memory by machine in MB: %v; ends: %v", peak, ends)
	if machines*10 >= ranks && machines >= 2 {
		return broken
	}
	return held
}
