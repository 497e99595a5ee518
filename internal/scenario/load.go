package scenario

import (
	"context"
	"fmt"
	"maps"
	"sync"

	"marjorampitch/api"
)

// LoadOptions configure a Load.
type LoadOptions struct {
	Callers       int
	Count         int  // calls per caller; 0 for no limit
	RepeatRefused bool // refused calls do not count towards Count
	ObeyRetry     bool // a caller pauses for the Retry-After that an error states
	Resend        bool // a call without a complete answer is resent with its key, up to maxSends times in all
	Call          Call // template of all calls; Key "new" stands for a new key per call
}

// Load is a set of concurrent callers. Each makes its calls one after the other
// until it has made all of them or the load ends.
type Load struct {
	testbed  *Testbed
	opts     LoadOptions
	cancel   context.CancelFunc
	stop     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	counts      map[Outcome]int
	codes       map[api.Code]int
	started     int
	ended       int
	failures    []Result // the first maxKeptResults that are neither Whole nor Refused
	results     []Result // the first maxKeptResults
	refusedKeys []string // keys of calls that were answered "not run" and not resent
}

const (
	maxKeptResults = 64
	maxSends       = 30
)

// StartLoad starts the callers of a load.
func (tb *Testbed) StartLoad(name string, opts LoadOptions) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{testbed: tb, opts: opts, cancel: cancel, stop: make(chan struct{}), counts: make(map[Outcome]int), codes: make(map[api.Code]int)}
	for caller := range opts.Callers {
		l.wg.Go(func() { l.run(ctx, caller) })
	}
	tb.loads[name] = l
	return l
}

// run makes the calls of one caller.
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
				key = newIdempotencyKey()
			}
			c.Key = key
		}
		l.callStarted()
		result := l.testbed.Do(ctx, c)
		l.callEnded(result)
		if result.Outcome == Refused && !l.opts.Resend {
			l.recordRefused(c.Key)
		}
		sends++
		if l.opts.Resend && result.Outcome != Whole && sends < maxSends {
			continue
		}
		key, sends = "", 0
		if result.Outcome != Refused || !l.opts.RepeatRefused {
			made++
		}
	}
}

// callStarted counts a call before it is made.
func (l *Load) callStarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started++
}

// callEnded records the result of a call and pauses after a refused one, or as
// long as it says.
func (l *Load) callEnded(r Result) {
	l.mu.Lock()
	l.ended++
	l.counts[r.Outcome]++
	l.codes[r.Code]++
	if len(l.results) < maxKeptResults {
		l.results = append(l.results, r)
	}
	if r.Outcome != Whole && r.Outcome != Refused && len(l.failures) < maxKeptResults {
		l.failures = append(l.failures, r)
	}
	l.mu.Unlock()
	switch {
	case l.opts.ObeyRetry && r.RetryAfter > 0:
		pause(l.stop, r.RetryAfter)
	case r.Outcome == Refused:
		pause(l.stop, retryPause)
	}
}

// recordRefused records the key of a call that was answered "not run" and will not
// be resent.
func (l *Load) recordRefused(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedKeys = append(l.refusedKeys, key)
}

// refusedRan returns how often calls that were answered "not run" were executed
// all the same. byKey counts the executions of each key.
func (l *Load) refusedRan(byKey map[string]int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := 0
	for _, key := range l.refusedKeys {
		ran += byKey[key]
	}
	return ran
}

// finish stops new calls and waits for those in flight.
func (l *Load) finish() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.wg.Wait()
}

// await waits until every caller has made all its calls.
func (l *Load) await() { l.wg.Wait() }

// abort cancels the calls in flight and waits for their callers.
func (l *Load) abort() {
	l.cancel()
	l.finish()
}

// counters returns the number of calls, outcomes and codes so far. The counters of
// servers and replays cover the first maxKeptResults results only.
func (l *Load) counters() counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := counters{"started": l.started, "ended": l.ended, "running": l.started - l.ended}
	for _, o := range []Outcome{Whole, Refused, Failed, Cut, Wrong, Gone} {
		c[string(o)] = l.counts[o]
	}
	for code, n := range l.codes {
		c[fmt.Sprintf("code-%d", int(code))] = n
	}
	for _, r := range l.results {
		c["by-"+r.ServedBy]++
		if r.Replayed {
			c["replayed"]++
		}
	}
	return c
}

// describeFailures returns the kept failed results, one per line.
func (l *Load) describeFailures() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := ""
	for _, r := range l.failures {
		text += fmt.Sprintf("%+v\n", r)
	}
	return text
}

// counters are the values that scripts compare, by name.
type counters map[string]int

// add returns the sums of both sets of counters.
func (c counters) add(other counters) counters {
	sum := maps.Clone(c)
	for name, n := range other {
		sum[name] += n
	}
	return sum
}
