package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjorampitch/platform/platformtest"
)

// Timing of the cases.
const (
	shiftInterval = 2500 * time.Millisecond // between two changes of the demand for experts
)

// shift changes the demand for experts until ctx ends.
func shift(ctx context.Context, g *group) {
	for ctx.Err() == nil {
		time.Sleep(shiftInterval)
		g.shiftDemand()
	}
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
		w := d.workerOf(p)
		w.frozen.Store(true)
		p.signal(syscall.SIGSTOP)
		time.Sleep(napTime)
		rec.line("%s wakes; %s", p.Name, d.group.state())
		w.frozen.Store(false)
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

// Timing of the cases on plain workers.
const (
	plainPerSecond = 40.0 // requests of each kind
	garbleTime     = 5500 * time.Millisecond
	garbleEach     = 50 // answers of a worker
	turnedAwayTime = 9 * time.Second
	drainTime      = 2 * time.Second // drain_ms of the deployment
	leaveTime      = 7 * time.Second // for which a worker goes on serving after it has said that it leaves
)

// startPlain starts gateways and clients of plain workers.
func startPlain(ctx context.Context, rec *record, gateways int) (*deployment, *clients, error) {
	d, err := newDeployment(rec, newGroup(rec, false), gateways, 3)
	if err != nil {
		return nil, nil, err
	}
	cleanup = d.close
	if err := startAll(d.gateways); err != nil {
		return nil, nil, err
	}
	if !d.awaitReady(15 * time.Second) {
		return nil, nil, errors.New("the gateways do not become ready")
	}
	c := &clients{d: d}
	for _, k := range []kind{safe, once} {
		go func() {
			time.Sleep(2 * time.Second)
			c.send(ctx, plainPerSecond, k)
		}()
	}
	return d, c, nil
}

// runLength has one worker break some answers off that state the largest length. Each success
// that a client gets has to have the worker's whole body.
func runLength(rec *record, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, c, err := startPlain(ctx, rec, 2)
	if err != nil {
		return failed(rec, err)
	}
	var wrong, good atomic.Int64
	c.onReply = func(id string, k kind, status int, body string, whole bool) {
		switch {
		case status != 200 || !whole:
		case body == plainAnswer:
			good.Add(1)
		default:
			wrong.Add(1)
			rec.line("MIXED broken: the client has of %s, which may run more than once: %v, a success with a body of %d bytes that looks complete; the worker's has %d",
				id, k == safe, len(body), plainBytes)
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w := d.workers[ranks]
		rec.line("worker %s spoils one answer in %d", w.id, garbleEach)
		w.broken.Store(garbleEach)
		time.Sleep(garbleTime)
		w.broken.Store(0)
	} else {
		time.Sleep(garbleTime)
	}
	time.Sleep(2 * time.Second)
	rec.line("%d successes with the whole body, %d without", good.Load(), wrong.Load())
	switch {
	case wrong.Load() > 0:
		return broken
	case good.Load() < 100:
		return failed(rec, errors.New("too few successes"))
	}
	return held
}

// runLeaving has a worker leave while the store turns one gateway away. The worker says so in
// its answers, and gets nothing from that gateway that a client sends later than drainTime
// after the first of them was passed on.
func runLeaving(rec *record, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := newDeployment(rec, newGroup(rec, false), 2, 3)
	if err != nil {
		return failed(rec, err)
	}
	cleanup = d.close
	address, setFaults := d.store.AddListener()
	d.gateways[0].Store = address
	var mu sync.Mutex
	sent, late := make(map[string]time.Duration), 0 // sent: by id, of requests to the first gateway
	told := time.Duration(0)                        // when that gateway had passed on the first answer that says it
	w := d.workers[ranks]
	w.arrived = func(_ *worker, r *http.Request) {
		id := r.Header.Get("Marjorampitch-Request-Id")
		mu.Lock()
		defer mu.Unlock()
		if at, ok := sent[id]; ok && told > 0 && at > told+drainTime {
			late++
			rec.line("DRAIN broken: %s, sent %.0f ms after that, reaches the worker", id, float64((at-told).Microseconds())/1000)
		}
	}
	if err := startAll(d.gateways); err != nil {
		return failed(rec, err)
	}
	if !d.awaitReady(15 * time.Second) {
		return failed(rec, errors.New("the gateways do not become ready"))
	}
	time.Sleep(2 * time.Second)
	c := &clients{d: d}
	c.onSend = func(id string, gateway *process) {
		if gateway == d.gateways[0] {
			mu.Lock()
			sent[id] = rec.now()
			mu.Unlock()
		}
	}
	c.onHead = func(id string, h http.Header) {
		mu.Lock()
		defer mu.Unlock()
		if _, ok := sent[id]; ok && told == 0 && h.Get("Server-Leaving") != "" {
			told = rec.now()
			rec.line("%s has passed on an answer with Server-Leaving", d.gateways[0].Name)
		}
	}
	go c.send(ctx, plainPerSecond, safe)
	time.Sleep(4 * time.Second)
	if trouble {
		rec.line("the store turns %s away", d.gateways[0].Name)
		setFaults(platformtest.Faults{RefuseStatus: http.StatusServiceUnavailable})
		time.Sleep(200 * time.Millisecond)
	}
	rec.line("worker %s leaves: its entry says so, and so do its answers", w.id)
	w.draining.Store(true)
	w.leaving.Store(true)
	d.store.Put(platformtest.ServersTopic, w.id, w.entry())
	time.Sleep(leaveTime)
	setFaults(platformtest.Faults{})
	rec.line("%d requests reached the worker later than %v after %s had passed on that it leaves", late, drainTime, d.gateways[0].Name)
	switch {
	case late > 0:
		return broken
	case told == 0 && trouble:
		return failed(rec, errors.New("no answer of the worker was passed on"))
	}
	return held
}
