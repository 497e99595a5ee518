package backingtest

import "sync"

// noMap stands for the last completed step of a rank that has no map.
const noMap = -1

// Lockstep synchronizes the steps of the engines of one group: a rank begins a step
// once all ranks have a map and have completed the previous step.
//
// mu guards the fields below it. Lock order: an engine's mu, then Lockstep.mu.
type Lockstep struct {
	mu        sync.Mutex
	completed []int64       // last step completed by each rank, or noMap
	changed   chan struct{} // closed at the next change of completed
}

// NewLockstep returns a Lockstep for a group with this number of ranks, none of which
// has a map.
func NewLockstep(ranks int) *Lockstep {
	l := &Lockstep{completed: make([]int64, ranks), changed: make(chan struct{})}
	for i := range l.completed {
		l.completed[i] = noMap
	}
	return l
}

// setCompleted records the last step completed by a rank and wakes the other ranks.
func (l *Lockstep) setCompleted(rank int, step int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.completed[rank] == step {
		return
	}
	l.completed[rank] = step
	close(l.changed)
	l.changed = make(chan struct{})
}

// mayBegin reports whether a rank may begin step. If not, the caller waits until the
// channel is closed and tries again.
func (l *Lockstep) mayBegin(step int64) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, done := range l.completed {
		if done == noMap || done < step-1 {
			return false, l.changed
		}
	}
	return true, l.changed
}

// publishRank publishes the rank's last completed step to the other ranks; e.mu is
// held.
func (e *Engine) publishRank() {
	if e.opts.Lockstep == nil {
		return
	}
	step := int64(noMap)
	if e.rank.state.Epoch != 0 {
		step = e.rank.state.Step
	}
	e.opts.Lockstep.setCompleted(e.opts.Rank, step)
}

// wakeRank starts the steps of a rank that has a map, because the ranks of a group
// make steps also without requests; e.mu is held.
func (e *Engine) wakeRank() {
	if e.opts.Lockstep != nil && e.rank.state.Epoch != 0 {
		e.wake()
	}
}

// mayBegin reports whether the rank may begin its next step. If not, the caller waits
// for a change of the engine or until the channel, which may be nil, is closed; e.mu
// is held.
func (e *Engine) mayBegin() (bool, <-chan struct{}) {
	if e.faults.Freeze || e.rank.held() {
		return false, nil
	}
	if e.opts.Lockstep == nil {
		return true, nil
	}
	return e.opts.Lockstep.mayBegin(e.rank.next())
}

// idle reports whether there is no step to make; e.mu is held.
func (e *Engine) idle() bool {
	if len(e.running)+len(e.waiting) > 0 {
		return false
	}
	return e.opts.Lockstep == nil || e.rank.state.Epoch == 0
}
