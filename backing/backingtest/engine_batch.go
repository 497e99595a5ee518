package backingtest

import (
	"sync"
	"time"
)

const bytesPerKB = 1000

// sequence is one request in an engine.
type sequence struct {
	prompt   string
	session  string
	priority int
	tokens   chan int      // numbers of the generated tokens; closed after the last one
	next     int           // number of the next token
	total    int           // number after the last token
	broken   chan struct{} // closed when the engine crashes
	failOnce sync.Once
	run      int // index in EngineStats.Runs, or -1
}

func newSequence(prompt, session string, priority, from, total int) *sequence {
	return &sequence{
		prompt:   prompt,
		session:  session,
		priority: priority,
		tokens:   make(chan int, max(0, total-from)),
		next:     from,
		total:    total,
		broken:   make(chan struct{}),
	}
}

// fail ends the sequence because the engine crashed.
func (s *sequence) fail() {
	s.failOnce.Do(func() { close(s.broken) })
}

// wake starts the goroutine that makes steps unless it is running; e.mu is held.
func (e *Engine) wake() {
	if !e.stepping {
		e.stepping = true
		go e.steps()
	}
}

// steps makes steps until the engine is idle.
func (e *Engine) steps() {
	for e.awaitStep() {
		if d := e.beginStep(); d > 0 {
			time.Sleep(d)
		}
		e.awaitUnfrozen()
		e.endStep()
	}
}

// awaitStep waits until the next step may begin, and records in e.rank that it has begun.
// It returns false if the engine is idle.
func (e *Engine) awaitStep() bool {
	for {
		e.mu.Lock()
		if e.idle() {
			e.stepping = false
			e.mu.Unlock()
			return false
		}
		ok, others := e.mayBegin()
		if ok {
			e.rank.begin()
		}
		changed := e.changed
		e.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-others:
		}
	}
}

// awaitUnfrozen waits while the engine is frozen.
func (e *Engine) awaitUnfrozen() {
	for {
		e.mu.Lock()
		frozen, changed := e.faults.Freeze, e.changed
		e.mu.Unlock()
		if !frozen {
			return
		}
		<-changed
	}
}

// beginStep fills the batch and returns the duration of the step.
func (e *Engine) beginStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var prefill time.Duration
	for len(e.waiting) > 0 && len(e.running) < e.opts.MaxRunning {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		prefill += e.prefill(s)
	}
	step := e.opts.StepTime + time.Duration(len(e.running))*e.opts.StepPerSequence + prefill
	if e.cold && e.opts.ColdSlowdown > 0 {
		step = time.Duration(float64(step) * e.opts.ColdSlowdown)
	}
	if e.faults.Slow > 0 {
		step = time.Duration(float64(step) * e.faults.Slow)
	}
	e.stepTime = step
	return step
}

// prefill returns the prefill time of a prompt, which is 0 if its session is cached.
func (e *Engine) prefill(s *sequence) time.Duration {
	if s.session != "" {
		if _, ok := e.prefixes.Get(s.session); ok {
			e.stats.CacheHits++
			return 0
		}
		e.prefixes.Add(s.session, struct{}{})
	}
	e.stats.CacheMisses++
	return time.Duration(len(s.prompt)) * e.opts.PrefillPerKB / bytesPerKB
}

// endStep completes the step and appends a token to every running sequence.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rank.end()
	e.publishRank()
	left := e.running[:0]
	for _, s := range e.running {
		if s.next < s.total {
			s.tokens <- s.next // does not block: the buffer holds all tokens
			s.next++
		}
		if s.next < s.total {
			left = append(left, s)
			continue
		}
		close(s.tokens)
		e.finish(s)
	}
	clear(e.running[len(left):])
	e.running = left
}

func (e *Engine) finish(s *sequence) {
	e.stats.finish(s.run)
	e.completed++
	if e.cold && e.completed >= e.opts.WarmAfter {
		e.cold = false
	}
}
