package backingtest

import "sync"

// noMap marks a rank that has no map in a Lockstep.
const noMap = -1

// Lockstep makes the engines of one group advance together: a rank begins a
// step when all ranks have a map and have completed the step before.
//
// mu guards the fields below it. Lock order: an engine's mu, then Lockstep.mu.
type Lockstep struct {
	mu        sync.Mutex
	completed []int64 // last step completed by each rank, or noMap
	changed   chan struct{}
}

// NewLockstep returns the lock-step of a group of this many ranks, none with a map.
func NewLockstep(ranks int) *Lockstep {
	l := &Lockstep{completed: make([]int64, ranks), changed: make(chan struct{})}
	for i := range l.completed {
		l.completed[i] = noMap
	}
	return l
}

// set notes the last step completed by a rank and wakes the others.
func (l *Lockstep) set(rank int, step int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.completed[rank] == step {
		return
	}
	l.completed[rank] = step
	close(l.changed)
	l.changed = make(chan struct{})
}

// may says whether a rank may begin step, and otherwise what to wait for.
func (l *Lockstep) may(step int64) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, done := range l.completed {
		if done == noMap || done < step-1 {
			return false, l.changed
		}
	}
	return true, l.changed
}

// publishRank tells the other ranks how far this one is; e.mu is held.
func (e *Engine) publishRank() {
	if e.opts.Lockstep == nil {
		return
	}
	step := int64(noMap)
	if e.rank.state.Epoch != 0 {
		step = e.rank.state.Step
	}
	e.opts.Lockstep.set(e.opts.Rank, step)
}

// wakeRank starts the steps of a rank that has a map: those of a group go on
// without requests; e.mu is held.
func (e *Engine) wakeRank() {
	if e.opts.Lockstep != nil && e.rank.state.Epoch != 0 {
		e.wake()
	}
}

// mayBegin says whether the rank may begin its next step, and otherwise what
// to wait for beside a change of the engine; e.mu is held.
func (e *Engine) mayBegin() (bool, <-chan struct{}) {
	if e.faults.Freeze || e.rank.held() {
		return false, nil
	}
	if e.opts.Lockstep == nil {
		return true, nil
	}
	return e.opts.Lockstep.may(e.rank.next())
}

// idle says whether there is no reason to make a step; e.mu is held.
func (e *Engine) idle() bool {
	if len(e.running)+len(e.waiting) > 0 {
		return false
	}
	return e.opts.Lockstep == nil || e.rank.state.Epoch == 0
}
