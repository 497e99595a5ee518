package soak

import (
	"context"
	"fmt"
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

// Sizes and times of a day.
const (
	plainServers = 3
	beatEvery    = 700 * time.Millisecond // between a server's entries
	settle       = 4 * time.Second        // from the start to the first caller
	quietEnd     = 12 * time.Second       // without further faults, at the end: recovery takes 12 s at most
	recovered    = 3 * time.Second        // at the end of which callers of all kinds must be served
	stopLimit    = platformtest.GraceTime + time.Second
)

// centres are the data centres of the deployment.
var centres = []string{"a", "b", "c"}

// Options are what a day is made of.
type Options struct {
	Seed     uint64
	Binary   string        // the system's program
	Dir      string        // for settings and logs
	Gateways int           // processes
	Faults   time.Duration // for which faults come
	Callers  int
}

// Report is what became of a day.
type Report struct {
	Seed   uint64
	Broken []string       // what happened that must not
	Counts map[string]int // answers by status, whole streams, cut answers
	Faults []string       // what was done, in order
	Passes int64
	Map    int64
}

// world is everything that a day acts on.
type world struct {
	opts     Options
	start    time.Time
	store    *platformtest.Store
	judge    *judge
	group    *platformtest.Group
	gateways []*process
	sides    []*process
	ends     sync.WaitGroup // of what follows the day's context

	mu        sync.Mutex // guards all below; no other lock is taken under it
	rnd       *rand.Rand // of callers and servers; faults have their own
	backends  []*platformtest.Backend
	leaving   map[string]time.Time // servers by when the store had their word
	out       map[string]time.Time // data centres taken out
	cold      map[string]time.Time // servers by when the store had their word that they are cold
	keys      []string
	withdrawn []string
	version   int
	next      int // number of the next server
	done      []string
}

// roll draws from 0 to 1.
func (w *world) roll() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Float64()
}

// key is a key that some document has held; few callers use a withdrawn one.
func (w *world) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.withdrawn); n > 0 && w.rnd.IntN(10) == 0 {
		return w.withdrawn[w.rnd.IntN(n)]
	}
	return w.keys[w.rnd.IntN(len(w.keys))]
}

func (w *world) leavingSince(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving[id]
}

func (w *world) coldSince(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cold[id]
}

// chill makes a server cold for a while; it says so at once.
func (w *world) chill(b *platformtest.Backend, d time.Duration) {
	b.UpdateState(func(s *platformtest.State) { s.Crashed, s.ColdUntil = false, time.Now().Add(d) })
	w.store.PutServer(b, false)
	w.mu.Lock()
	w.cold[b.ID] = time.Now()
	w.mu.Unlock()
}

func (w *world) outSince(centre string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out[centre]
}

// stopping reports whether a gateway was told to stop and has time left.
func (w *world) stopping(name string) bool {
	for _, g := range w.gateways {
		if g.Name == name {
			g.mu.Lock()
			defer g.mu.Unlock()
			return !g.asked.IsZero() && time.Since(g.asked) < platformtest.GraceTime
		}
	}
	return false
}

// note keeps what was done, for the report.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = append(w.done, fmt.Sprintf("%6.3f s  ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// newWorld returns a world in which nothing runs yet.
func newWorld(opts Options) *world {
	w := &world{
		opts: opts, start: time.Now(), store: platformtest.NewStore(), rnd: rand.New(rand.NewPCG(opts.Seed, 1)),
		leaving: make(map[string]time.Time), out: make(map[string]time.Time), cold: make(map[string]time.Time),
	}
	w.judge = newJudge(w)
	w.group = platformtest.NewGroup(w.judge, w.roll)
	return w
}

// begin starts everything but callers and faults. end stops what follows ctx,
// callers too, and is called at least once, before close.
func (w *world) begin(parent context.Context) (ctx context.Context, end func(), err error) {
	ctx, cancel := context.WithCancel(parent)
	end = func() {
		cancel()
		w.ends.Wait()
	}
	if err := w.set(); err != nil {
		return ctx, end, err
	}
	w.ends.Go(func() { w.group.Run(ctx) })
	w.ends.Go(func() { w.beat(ctx) })
	sleep(ctx, settle)
	return ctx, end, nil
}

// Run plays a day. Error: it could not be set up.
func Run(parent context.Context, opts Options) (*Report, error) {
	w := newWorld(opts)
	defer w.close()
	ctx, end, err := w.begin(parent)
	defer end()
	if err != nil {
		return nil, err
	}
	for n := range opts.Callers {
		w.ends.Go(func() { w.call(ctx, n) })
	}
	w.harm(ctx)
	sleep(ctx, quietEnd-recovered)
	w.judge.recount()
	sleep(ctx, recovered)
	w.judge.recover()
	end()
	if len(w.judge.faults) == 0 {
		defer os.RemoveAll(opts.Dir) //nolint:errcheck // logs of a day on which nothing was found
	}
	r := &Report{Seed: opts.Seed, Broken: w.judge.faults, Counts: w.judge.counts, Faults: w.done}
	r.Map, r.Passes = w.group.Progress()
	return r, nil
}

// set starts servers and processes and publishes the first document.
func (w *world) set() error {
	for i := range 4 {
		w.keys = append(w.keys, fmt.Sprintf("org%d-1", i))
	}
	w.publish(0)
	for i := range plainServers {
		if _, err := w.serve(platformtest.PlainService, centres[i%len(centres)], -1); err != nil {
			return err
		}
	}
	net := 1 + w.opts.Seed%200 // days that run side by side have addresses of their own
	for i := range w.opts.Gateways {
		p := &process{role: "gateway", binary: w.opts.Binary}
		p.Name, p.Centre, p.IP = fmt.Sprint("gateway-", i), centres[i%len(centres)], fmt.Sprintf("127.%d.1.%d", net, i+1)
		if err := w.program(p); err != nil {
			return err
		}
		var err error
		if p.front, err = relay.New(p.FrontAddress()); err != nil {
			return err
		}
		w.gateways = append(w.gateways, p)
	}
	for r := range platformtest.Ranks {
		b, err := w.serve(platformtest.ModelService, centres[r%len(centres)], r)
		if err != nil {
			return err
		}
		p := &process{role: "rebalancer", binary: w.opts.Binary}
		p.Name, p.Centre, p.IP = fmt.Sprint("side-", r), b.Centre, fmt.Sprintf("127.%d.2.%d", net, r+1)
		p.App, p.Service = b.Address(), b.Service
		if err := w.program(p); err != nil {
			return err
		}
		w.sides = append(w.sides, p)
	}
	return nil
}

// program gives a process its way to the store and starts it.
func (w *world) program(p *process) error {
	p.Store, p.store = w.store.AddListener()
	if err := p.write(w.opts.Dir); err != nil {
		return eris.Wrap(err, p.Name)
	}
	return eris.Wrap(p.start(), p.Name)
}

// serve starts a backend server and announces it.
func (w *world) serve(service, centre string, rank int) (*platformtest.Backend, error) {
	w.mu.Lock()
	w.next++
	id := fmt.Sprint("i-", w.next)
	w.mu.Unlock()
	b, err := platformtest.NewBackend(id, service, centre, rank, w.group, w.judge, w.roll)
	if err != nil {
		return nil, err
	}
	w.store.PutServer(b, false)
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	return b, nil
}

// publish writes the next version of the document.
func (w *world) publish(idle int) {
	w.mu.Lock()
	w.version++
	version := w.version
	orgs := make(map[string][]string)
	for _, k := range w.keys {
		orgs[orgOf(k)] = append(orgs[orgOf(k)], k)
	}
	w.mu.Unlock()
	w.store.PutDocument(version, orgs, idle)
}

// beat lets all servers write their entries.
func (w *world) beat(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		list := slices.Clone(w.backends)
		w.mu.Unlock()
		for _, b := range list {
			if !b.State().Crashed {
				w.store.PutServer(b, false)
			}
		}
		sleep(ctx, beatEvery)
	}
}

// close ends every process and server of the day. A gateway that is told to
// stop must end by itself within its grace time.
func (w *world) close() {
	for _, p := range slices.Concat(w.gateways, w.sides) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
	for _, p := range slices.Concat(w.gateways, w.sides) {
		p.end(stopLimit)
		if p.front != nil {
			p.front.Close()
		}
	}
	for _, b := range w.backends {
		b.Close()
	}
	w.store.Close()
}
