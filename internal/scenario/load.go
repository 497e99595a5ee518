package scenario

import (
	"context"
	"fmt"
	"maps"
	"sync"
)

// LoadOptions say what a Load does.
type LoadOptions struct {
	Callers int
	Count   int  // calls of each caller; 0: endless
	Again   bool // a refused call is made again and doesn't count
	Resend  bool // a call that isn't whole is sent again with its key, up to maxSends times
	Call    Call // made by all; Key "new" stands for a new key each time
}

// Load is a number of callers that make calls, one after the other, until it
// is halted or each has made its calls.
type Load struct {
	world  *World
	opts   LoadOptions
	cancel context.CancelFunc
	stop   chan struct{}
	once   sync.Once
	wg     sync.WaitGroup

	mu      sync.Mutex // guards what follows
	counts  map[Outcome]int
	started int
	ended   int
	bad     []Result // the first ones that are neither whole nor refused
	results []Result // the first ones
	refused []string // keys that were sent once and answered "not run"
}

const (
	maxKeptResults = 64
	maxSends       = 30
)

// StartLoad starts callers.
func (w *World) StartLoad(name string, opts LoadOptions) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{world: w, opts: opts, cancel: cancel, stop: make(chan struct{}), counts: make(map[Outcome]int)}
	for caller := range opts.Callers {
		l.wg.Go(func() { l.run(ctx, caller) })
	}
	w.loads[name] = l
	return l
}

// run makes one caller's calls.
func (l *Load) run(ctx context.Context, caller int) {
	key, sends := "", 0
	for turn, made := caller, 0; l.opts.Count == 0 || made < l.opts.Count; turn++ {
		select {
		case <-l.stop:
			return
		default:
		}
		c := l.opts.Call
		c.Turn = turn
		if c.Key == "new" {
			if key == "" {
				key = newKey()
			}
			c.Key = key
		}
		l.begin()
		result := l.world.Do(ctx, c)
		l.end(result)
		if result.Outcome == Refused && !l.opts.Resend {
			l.refuse(c.Key)
		}
		sends++
		if l.opts.Resend && result.Outcome != Whole && sends < maxSends {
			continue
		}
		key, sends = "", 0
		if result.Outcome != Refused || !l.opts.Again {
			made++
		}
	}
}

func (l *Load) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started++
}

func (l *Load) end(r Result) {
	l.mu.Lock()
	l.ended++
	l.counts[r.Outcome]++
	if len(l.results) < maxKeptResults {
		l.results = append(l.results, r)
	}
	if r.Outcome != Whole && r.Outcome != Refused && len(l.bad) < maxKeptResults {
		l.bad = append(l.bad, r)
	}
	l.mu.Unlock()
	if r.Outcome == Refused {
		pause(l.stop)
	}
}

// refuse notes the key of a call that was answered "not run" and isn't sent again.
func (l *Load) refuse(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = append(l.refused, key)
}

// refusedRan returns how many of the calls that were answered "not run" ran.
func (l *Load) refusedRan(byKey map[string]int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := 0
	for _, key := range l.refused {
		ran += byKey[key]
	}
	return ran
}

// finish makes no new calls and waits for those in flight.
func (l *Load) finish() {
	l.once.Do(func() { close(l.stop) })
	l.wg.Wait()
}

// await waits until every caller has made its calls.
func (l *Load) await() { l.wg.Wait() }

// halt breaks the calls in flight off.
func (l *Load) halt() {
	l.cancel()
	l.finish()
}

// counters returns the outcomes so far.
func (l *Load) counters() counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := counters{"started": l.started, "ended": l.ended, "running": l.started - l.ended}
	for _, o := range []Outcome{Whole, Refused, Failed, Cut, Wrong, Gone} {
		c[string(o)] = l.counts[o]
	}
	for _, r := range l.results {
		c[fmt.Sprintf("code-%d", int(r.Code))]++
		c["by-"+r.ServedBy]++
		if r.Replayed {
			c["replayed"]++
		}
	}
	return c
}

// trouble describes the calls that ended badly.
func (l *Load) trouble() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := ""
	for _, r := range l.bad {
		text += fmt.Sprintf("%+v\n", r)
	}
	return text
}

// counters are the numbers that scripts compare, by name.
type counters map[string]int

func (c counters) add(other counters) counters {
	sum := maps.Clone(c)
	for name, n := range other {
		sum[name] += n
	}
	return sum
}
