package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/internal/relay"
	"marjorampitch/platform/platformtest"
)

// Sizes and times of a run.
const (
	plainServers   = 3
	startupTime    = 4 * time.Second  // before the first caller starts
	faultFreeEnd   = 12 * time.Second // at the end, without new faults: recovery takes at most 12 s
	recoveryWindow = 3 * time.Second  // last part of faultFreeEnd, in which requests of every kind must succeed
	stopTimeout    = platformtest.GraceTime + time.Second
)

// centres are the data centres of the deployment.
var centres = []string{"a", "b", "c"}

// Options configure a run.
type Options struct {
	Seed     uint64
	Binary   string        // path of the program under test
	Dir      string        // for settings and logs; removed if no violation is found
	Gateways int           // processes
	Faults   time.Duration // how long faults are injected
	Callers  int
	Restores bool // the store comes back from older copies
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Violations []string       // time, check and details of each
	Counts     map[string]int // answers by status; complete streams; cut answers
	Faults     []string       // injected faults in order
	Passes     int64          // forward passes of the rank group
	MapVersion int64          // version of the expert map at the end
}

// testbed is the deployment under test with its test doubles, callers and checker.
type testbed struct {
	opts        Options
	start       time.Time
	store       *platformtest.Store
	checker     *checker
	group       *platformtest.Group
	gateways    []*process
	rebalancers []*process
	reservation io.Closer      // of the run's subnet
	background  sync.WaitGroup // goroutines that run until the run's context ends

	mu          sync.Mutex // guards the fields below; no other lock is taken while it is held
	rnd         *rand.Rand // for callers and servers; faults use a separate one
	backends    []*platformtest.Backend
	leaving     map[string]time.Time // by server: when the record that marks it as draining was written
	out         map[string]time.Time // by data centre: when it was taken out of service
	cold        map[string]time.Time // by server: when the record that marks it as cold was written
	keys        []string
	revokedKeys []string
	version     int
	lastServer  int // number of the server started last
	injected    []string
}

// randomFloat returns a random number in [0,1).
func (tb *testbed) randomFloat() float64 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.rnd.Float64()
}

// key returns a random key for a request: a withdrawn one in a tenth of the cases,
// if there is one.
func (tb *testbed) key() string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if n := len(tb.revokedKeys); n > 0 && tb.rnd.IntN(10) == 0 {
		return tb.revokedKeys[tb.rnd.IntN(n)]
	}
	return tb.keys[tb.rnd.IntN(len(tb.keys))]
}

// leavingSince returns the time at which the record that marks a server as draining
// was written; zero if it does not leave.
func (tb *testbed) leavingSince(id string) time.Time {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.leaving[id]
}

// coldSince returns the time at which the last record that marks a server as cold was
// written; zero if there was none.
func (tb *testbed) coldSince(id string) time.Time {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.cold[id]
}

// turnCold makes a server cold for d and publishes that at once.
func (tb *testbed) turnCold(b *platformtest.Backend, d time.Duration) {
	b.UpdateState(func(s *platformtest.State) { s.Crashed, s.ColdUntil = false, time.Now().Add(d) })
	tb.store.PutServer(b, false)
	tb.mu.Lock()
	tb.cold[b.ID] = time.Now()
	tb.mu.Unlock()
}

// outSince returns when a data centre was taken out of service; zero if it is in
// service.
func (tb *testbed) outSince(centre string) time.Time {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.out[centre]
}

// stopping reports whether a gateway received SIGTERM and is within its grace time.
func (tb *testbed) stopping(name string) bool {
	for _, g := range tb.gateways {
		if g.Name == name {
			at, _ := g.StopRequested()
			return !at.IsZero() && time.Since(at) < platformtest.GraceTime
		}
	}
	return false
}

// recordFault adds an injected fault to the report.
func (tb *testbed) recordFault(format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.injected = append(tb.injected, fmt.Sprintf("%6.3f s  ", time.Since(tb.start).Seconds())+fmt.Sprintf(format, args...))
}

// newTestbed returns a testbed in which nothing runs yet.
func newTestbed(opts Options) *testbed {
	tb := &testbed{
		opts: opts, start: time.Now(), store: platformtest.NewStore(), rnd: rand.New(rand.NewPCG(opts.Seed, 1)),
		leaving: make(map[string]time.Time), out: make(map[string]time.Time), cold: make(map[string]time.Time),
	}
	tb.checker = newChecker(tb)
	tb.group = platformtest.NewGroup(tb.checker, tb.randomFloat)
	return tb
}

// startDeployment starts everything except callers and faults. end cancels ctx and
// waits for all background goroutines, callers included; it must be called at least
// once, also after an error, and before close.
func (tb *testbed) startDeployment(parent context.Context) (ctx context.Context, end func(), err error) {
	ctx, cancel := context.WithCancel(parent)
	end = func() {
		cancel()
		tb.background.Wait()
	}
	if err := tb.setUp(); err != nil {
		return ctx, end, err
	}
	tb.background.Go(func() { tb.group.Run(ctx) })
	tb.background.Go(func() { tb.announceServers(ctx) })
	sleep(ctx, startupTime)
	return ctx, end, nil
}

// Run performs one run. It returns an error if the run could not be set up;
// violations are in the report.
func Run(parent context.Context, opts Options) (*Report, error) {
	tb := newTestbed(opts)
	defer tb.close()
	ctx, end, err := tb.startDeployment(parent)
	defer end()
	if err != nil {
		return nil, err
	}
	for n := range opts.Callers {
		tb.background.Go(func() { tb.runCaller(ctx, n) })
	}
	tb.background.Go(func() { tb.stateLimits(ctx) })
	tb.background.Go(func() { tb.askForRest(ctx) })
	tb.background.Go(func() { tb.restoreStore(ctx) })
	tb.injectFaults(ctx)
	sleep(ctx, faultFreeEnd-recoveryWindow)
	tb.checker.startRecoveryWindow()
	sleep(ctx, recoveryWindow)
	tb.checker.checkRecovery()
	end()
	if len(tb.checker.violations) == 0 {
		defer os.RemoveAll(opts.Dir) //nolint:errcheck // logs of a run without violations
	}
	r := &Report{Seed: opts.Seed, Violations: tb.checker.violations, Counts: tb.checker.counts, Faults: tb.injected}
	r.MapVersion, r.Passes = tb.group.Progress()
	return r, nil
}

// setUp starts servers and processes and publishes the first document.
func (tb *testbed) setUp() error {
	for i := range 4 {
		tb.keys = append(tb.keys, fmt.Sprintf("org%d-1", i))
	}
	tb.publish(0)
	for i := range plainServers {
		if _, err := tb.startServer(platformtest.PlainService, centres[i%len(centres)], -1); err != nil {
			return err
		}
	}
	subnet, reservation, err := platformtest.ReserveSubnet(tb.opts.Seed)
	if err != nil {
		return err
	}
	tb.reservation = reservation
	for i := range tb.opts.Gateways {
		p := &process{role: "gateway"}
		p.Binary = tb.opts.Binary
		p.Name, p.Centre, p.IP = fmt.Sprint("gateway-", i), centres[i%len(centres)], fmt.Sprintf("127.%d.1.%d", subnet, i+1)
		if err := tb.startProcess(p); err != nil {
			return err
		}
		if p.frontRelay, err = relay.New(p.FrontAddress()); err != nil {
			return err
		}
		tb.gateways = append(tb.gateways, p)
	}
	for r := range platformtest.Ranks {
		b, err := tb.startServer(platformtest.ModelService, centres[r%len(centres)], r)
		if err != nil {
			return err
		}
		p := &process{role: "rebalancer"}
		p.Binary = tb.opts.Binary
		p.Name, p.Centre, p.IP = fmt.Sprint("side-", r), b.Centre, fmt.Sprintf("127.%d.2.%d", subnet, r+1)
		p.App, p.Service = b.Address(), b.Service
		if err := tb.startProcess(p); err != nil {
			return err
		}
		tb.rebalancers = append(tb.rebalancers, p)
	}
	return nil
}

// startProcess connects a process to the store, writes its settings and starts it.
func (tb *testbed) startProcess(p *process) error {
	p.Store, p.setStoreFaults = tb.store.AddListener()
	if err := p.writeSettings(tb.opts.Dir); err != nil {
		return eris.Wrapf(err, "write settings of %s", p.Name)
	}
	return eris.Wrapf(p.Start(), "start %s", p.Name)
}

// startServer starts a backend server and publishes its record. rank is -1 for a
// plain server.
func (tb *testbed) startServer(service, centre string, rank int) (*platformtest.Backend, error) {
	tb.mu.Lock()
	tb.lastServer++
	id := fmt.Sprint("i-", tb.lastServer)
	tb.mu.Unlock()
	b, err := platformtest.NewBackend(id, service, centre, rank, tb.group, tb.checker, tb.randomFloat)
	if err != nil {
		return nil, err
	}
	tb.store.PutServer(b, false)
	tb.mu.Lock()
	tb.backends = append(tb.backends, b)
	tb.mu.Unlock()
	return b, nil
}

// publish writes the next version of the document, with the current keys and idle
// routes that get no requests.
func (tb *testbed) publish(idle int) {
	tb.mu.Lock()
	tb.version++
	version := tb.version
	orgs := make(map[string][]string)
	for _, k := range tb.keys {
		orgs[organisationOf(k)] = append(orgs[organisationOf(k)], k)
	}
	tb.mu.Unlock()
	tb.store.PutDocument(version, orgs, idle)
}

// announceServers writes the records of all running servers until ctx ends.
func (tb *testbed) announceServers(ctx context.Context) {
	for ctx.Err() == nil {
		tb.mu.Lock()
		list := slices.Clone(tb.backends)
		tb.mu.Unlock()
		for _, b := range list {
			if !b.State().Crashed {
				tb.store.PutServer(b, false)
			}
		}
		sleep(ctx, platformtest.EntryInterval)
	}
}

// close stops all processes with SIGTERM, kills those that have not exited after
// stopTimeout, and closes all servers.
func (tb *testbed) close() {
	for _, p := range slices.Concat(tb.gateways, tb.rebalancers) {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range slices.Concat(tb.gateways, tb.rebalancers) {
		p.WaitOrKill(stopTimeout)
		if p.frontRelay != nil {
			p.frontRelay.Close()
		}
	}
	for _, b := range tb.backends {
		b.Close()
	}
	tb.store.Close()
	if tb.reservation != nil {
		tb.reservation.Close()
	}
}
