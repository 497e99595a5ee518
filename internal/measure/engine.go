package measure

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"marjorampitch/backing"
)

// Costs and sizes of the simulated engine.
const (
	stepBase            = 10 * time.Millisecond
	stepPerSequence     = 150 * time.Microsecond // per decoding sequence
	stepPerPrefillToken = 30 * time.Microsecond  // per prompt token computed
	prefillChunk        = 1024                   // most prompt tokens computed in one step
	engineSlots         = 16                     // most sequences in the batch
	cacheCapacity       = 60_000                 // tokens in the prefix cache
	coldSlowdown        = 4                      // factor on the step time of a cold engine
	coldCapacity        = 4                      // sequences that a cold engine can run without crashing
	warmUpRequests      = 24                     // requests that a cold engine completes before it is warm
	restartTime         = 10 * time.Second       // downtime after a crash
)

// job is one request at an engine. Lengths are in tokens.
type job struct {
	session         uint64
	sharedPrefix    uint64 // id of the prompt prefix shared by an organisation's sessions
	sharedPrefixLen int
	prompt          int // with the shared prefix
	output          int // to generate

	prefillLeft  int // prompt tokens left to compute
	generated    int
	onFirstToken func()                   // called at the first token
	onNextToken  func(step time.Duration) // called at each later token with the step time
	onEnd        func(complete bool)      // called once; complete is false if the engine was down or restarted
}

// engine simulates a model engine with continuous batching, a prefix cache keyed
// by session, and a step time that grows with the batch.
type engine struct {
	clock    *clock
	slowdown float64 // factor on the step time; above 1 for a straggler

	incarnation int
	down        bool
	cold        bool
	completed   int // requests since the last start
	batch       []*job
	stepping    bool
	lastStep    time.Duration

	cache          *simplelru.LRU[uint64, int]
	cachedTokens   int
	cacheHitTokens int
	promptTokens   int
	crashes        int // caused by too many sequences while cold
	overloads      int // sequences added beyond coldCapacity while cold
}

func newEngine(c *clock, slowdown float64) *engine {
	e := &engine{clock: c, slowdown: slowdown}
	e.clearCache()
	return e
}

func (e *engine) clearCache() {
	e.cachedTokens = 0
	e.cache, _ = simplelru.NewLRU[uint64, int](1<<20, nil)
}

// restart makes the engine cold with an empty cache and fails the running jobs.
func (e *engine) restart() {
	lost := e.batch
	e.batch = nil
	e.incarnation++
	e.cold = true
	e.completed = 0
	e.clearCache()
	for _, j := range lost {
		j.onEnd(false)
	}
}

// crash restarts the engine and keeps it down for restartTime.
func (e *engine) crash() {
	e.crashes++
	e.down = true
	e.restart()
	e.clock.after(restartTime, func() { e.down = false })
}

// run adds a job to the batch. The caller must not exceed engineSlots. A job
// that makes a cold batch larger than coldCapacity crashes the engine.
func (e *engine) run(j *job) {
	if e.down {
		e.clock.after(time.Millisecond, func() { j.onEnd(false) })
		return
	}
	j.prefillLeft = max(1, j.prompt-e.lookUp(j))
	e.batch = append(e.batch, j)
	if e.cold && len(e.batch) > coldCapacity {
		e.overloads++
		e.crash()
		return
	}
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// lookUp returns the number of prompt tokens found in the cache and adds the
// prompt, with the output to come, to it.
func (e *engine) lookUp(j *job) int {
	hit := 0
	if n, ok := e.cache.Get(j.session); ok {
		hit = min(n, j.prompt)
	} else if n, ok := e.cache.Get(j.sharedPrefix); ok {
		hit = min(n, j.sharedPrefixLen)
	}
	e.cacheHitTokens += hit
	e.promptTokens += j.prompt
	e.addToCache(j.sharedPrefix, j.sharedPrefixLen)
	e.addToCache(j.session, j.prompt+j.output)
	return hit
}

func (e *engine) addToCache(key uint64, tokens int) {
	if old, ok := e.cache.Peek(key); ok {
		e.cachedTokens -= old
	}
	e.cache.Add(key, tokens)
	e.cachedTokens += tokens
	for e.cachedTokens > cacheCapacity {
		_, n, _ := e.cache.RemoveOldest()
		e.cachedTokens -= n
	}
}

// step starts one step of the batch; finishStep runs when the step ends.
func (e *engine) step() {
	budget := prefillChunk
	decoding := 0
	computed := make(map[*job]int, 2)
	for _, j := range e.batch {
		switch {
		case j.prefillLeft == 0:
			decoding++
		case budget > 0:
			n := min(budget, j.prefillLeft)
			computed[j] = n
			budget -= n
		}
	}
	took := stepBase + time.Duration(decoding)*stepPerSequence + time.Duration(prefillChunk-budget)*stepPerPrefillToken
	took = time.Duration(float64(took) * e.slowdown)
	if e.cold {
		took *= coldSlowdown
	}
	incarnation := e.incarnation
	e.clock.after(took, func() { e.finishStep(incarnation, took, computed) })
}

func (e *engine) finishStep(incarnation int, took time.Duration, computed map[*job]int) {
	if incarnation == e.incarnation {
		e.lastStep = took
		e.applyStep(took, computed)
	}
	if len(e.batch) == 0 {
		e.stepping = false
		return
	}
	e.step()
}

// applyStep applies a finished step: it advances the prefills, adds a token to
// each decoding sequence and removes the completed sequences.
func (e *engine) applyStep(took time.Duration, computed map[*job]int) {
	kept := e.batch[:0:0]
	var done []*job
	for _, j := range e.batch {
		n, prefilled := computed[j]
		switch {
		case prefilled:
			j.prefillLeft -= n
			if j.prefillLeft == 0 {
				j.generated = 1
				j.onFirstToken()
			}
		case j.prefillLeft == 0:
			j.generated++
			j.onNextToken(took)
		}
		if j.generated >= j.output {
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
	if e.completed >= warmUpRequests {
		e.cold = false
	}
	j.onEnd(true)
}

// report returns the load report that the engine gives to its sidecar.
func (e *engine) report() backing.EngineReport {
	return backing.EngineReport{
		Incarnation: string(rune('a' + e.incarnation)),
		Cold:        e.cold,
		Running:     len(e.batch),
		MaxRunning:  engineSlots,
		StepMillis:  float64(e.lastStep) / float64(time.Millisecond),
		CacheUsed:   float64(e.cachedTokens) / cacheCapacity,
	}
}
