package measure

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"marjorampitch/backing"
)

// The fake engine's costs and sizes.
const (
	stepBase      = 10 * time.Millisecond
	stepSequence  = 150 * time.Microsecond // for each decoding sequence
	stepPrefill   = 30 * time.Microsecond  // for each prompt token computed
	prefillChunk  = 1024                   // prompt tokens computed in one step at most
	engineSlots   = 16                     // sequences in the batch
	cacheTokens   = 60_000                 // prompt tokens kept
	coldSlowdown  = 4                      // a cold engine's steps take this many times longer
	coldBears     = 4                      // sequences that a cold engine bears
	coldRequests  = 24                     // requests completed until it is warm
	engineRestart = 10 * time.Second       // time to come back after it fell over
)

// job is one request at an engine.
type job struct {
	session   uint64
	shared    uint64 // id of the shared leading part of the prompt
	sharedLen int
	prompt    int // tokens, with the shared part
	output    int // tokens to generate

	prefill int // prompt tokens left to compute
	made    int
	first   func()                   // at the first token
	gap     func(step time.Duration) // at each later token
	end     func(whole bool)
}

// engine is a fake model engine with a continuous batch, a prefix cache by
// session, and steps that take longer the more it runs.
type engine struct {
	clock *clock
	slow  float64 // 1, or more for a straggler

	incarnation int
	down        bool
	cold        bool
	completed   int // since the last start
	batch       []*job
	stepping    bool
	lastStep    time.Duration

	cache     *simplelru.LRU[uint64, int]
	cached    int
	hitTokens int
	allTokens int
	falls     int // times it fell over under load while cold
	overload  int // sequences taken beyond what it bears while cold
}

func newEngine(c *clock, slow float64) *engine {
	e := &engine{clock: c, slow: slow}
	e.clear()
	return e
}

// clear empties the prefix cache.
func (e *engine) clear() {
	e.cached = 0
	e.cache, _ = simplelru.NewLRU[uint64, int](1<<20, nil)
}

// restart turns the engine cold with an empty cache; what ran is lost.
func (e *engine) restart() {
	lost := e.batch
	e.batch = nil
	e.incarnation++
	e.cold = true
	e.completed = 0
	e.clear()
	for _, j := range lost {
		j.end(false)
	}
}

// fall takes the engine down for a while.
func (e *engine) fall() {
	e.falls++
	e.down = true
	e.restart()
	e.clock.after(engineRestart, func() { e.down = false })
}

// run adds a job to the batch. Its callers keep to engineSlots.
func (e *engine) run(j *job) {
	if e.down {
		e.clock.after(time.Millisecond, func() { j.end(false) })
		return
	}
	j.prefill = max(1, j.prompt-e.lookUp(j))
	e.batch = append(e.batch, j)
	if e.cold && len(e.batch) > coldBears {
		e.overload++
		e.fall()
		return
	}
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// lookUp returns the prompt tokens found in the cache and stores the prompt.
func (e *engine) lookUp(j *job) int {
	hit := 0
	if n, ok := e.cache.Get(j.session); ok {
		hit = min(n, j.prompt)
	} else if n, ok := e.cache.Get(j.shared); ok {
		hit = min(n, j.sharedLen)
	}
	e.hitTokens += hit
	e.allTokens += j.prompt
	e.store(j.shared, j.sharedLen)
	e.store(j.session, j.prompt+j.output)
	return hit
}

func (e *engine) store(key uint64, tokens int) {
	if old, ok := e.cache.Peek(key); ok {
		e.cached -= old
	}
	e.cache.Add(key, tokens)
	e.cached += tokens
	for e.cached > cacheTokens {
		_, n, _ := e.cache.RemoveOldest()
		e.cached -= n
	}
}

// step starts one step of the batch; its results come at its end.
func (e *engine) step() {
	budget := prefillChunk
	decoding := 0
	computed := make(map[*job]int, 2)
	for _, j := range e.batch {
		switch {
		case j.prefill == 0:
			decoding++
		case budget > 0:
			n := min(budget, j.prefill)
			computed[j] = n
			budget -= n
		}
	}
	took := stepBase + time.Duration(decoding)*stepSequence + time.Duration(prefillChunk-budget)*stepPrefill
	took = time.Duration(float64(took) * e.slow)
	if e.cold {
		took *= coldSlowdown
	}
	incarnation := e.incarnation
	e.clock.after(took, func() { e.finishStep(incarnation, took, computed) })
}

func (e *engine) finishStep(incarnation int, took time.Duration, computed map[*job]int) {
	if incarnation == e.incarnation {
		e.lastStep = took
		e.deliver(took, computed)
	}
	if len(e.batch) == 0 {
		e.stepping = false
		return
	}
	e.step()
}

// deliver gives each sequence its token and takes out those that are done.
func (e *engine) deliver(took time.Duration, computed map[*job]int) {
	kept := e.batch[:0:0]
	var done []*job
	for _, j := range e.batch {
		n, prefilled := computed[j]
		switch {
		case prefilled:
			j.prefill -= n
			if j.prefill == 0 {
				j.made = 1
				j.first()
			}
		case j.prefill == 0:
			j.made++
			j.gap(took)
		}
		if j.made >= j.output {
			done = append(done, j)
			continue
		}
		kept = append(kept, j)
	}
	e.batch = kept
	for _, j := range done {
		e.complete(j)
	}
}

func (e *engine) complete(j *job) {
	e.completed++
	if e.completed >= coldRequests {
		e.cold = false
	}
	j.end(true)
}

// report is the engine's own view of its load.
func (e *engine) report() backing.EngineReport {
	return backing.EngineReport{
		Incarnation: string(rune('a' + e.incarnation)),
		Cold:        e.cold,
		Running:     len(e.batch),
		MaxRunning:  engineSlots,
		StepMillis:  float64(e.lastStep) / float64(time.Millisecond),
		CacheUsed:   float64(e.cached) / cacheTokens,
	}
}
