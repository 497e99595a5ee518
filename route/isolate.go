package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedTasks is the largest number of calls queued for an isolated Picker.
const maxQueuedTasks = 64

// isolatedPicker runs a Picker in a goroutine of its own and on copies of its
// arguments, so that a faulty Picker that panics, blocks or modifies its arguments
// does not affect the caller. The goroutine leaks if the Picker never returns.
type isolatedPicker struct {
	picker Picker
	tasks  chan *task
	pool   sync.Pool // of *task

	submitted int64        // tasks queued; used by the caller's goroutine only
	lateTask  int64        // value of submitted at the last pick that timed out
	completed atomic.Int64 // tasks completed
	panics    atomic.Int64
	skipped   atomic.Int64 // tasks not queued because the picker was busy
}

// task is one call of the picker: Done if feedback is set, else Pick.
type task struct {
	req        Request
	candidates []Candidate
	feedback   *Feedback
	onResult   func(result) // called in the picker's goroutine; may be nil
	reply      chan result  // has a buffer of one; may be nil
}

// result is the picker's choice.
type result struct {
	index      int
	ok         bool // index is that of a usable candidate
	load       int  // estimated load of the chosen candidate
	noneUsable bool // the picker returned that no candidate is usable
}

func newIsolatedPicker(p Picker) *isolatedPicker {
	s := &isolatedPicker{picker: p, tasks: make(chan *task, maxQueuedTasks)}
	s.pool.New = func() any { return new(task) }
	go s.runTasks()
	return s
}

// runTasks runs tasks until close is called.
func (s *isolatedPicker) runTasks() {
	for t := range s.tasks {
		s.run(t)
		s.completed.Add(1)
		t.onResult, t.reply, t.feedback = nil, nil, nil
		s.pool.Put(t)
	}
}

// run runs one task. A panic gives the zero result, which names no usable candidate.
func (s *isolatedPicker) run(t *task) {
	var r result
	defer func() {
		if recover() != nil {
			s.panics.Add(1)
			r = result{}
		}
		if t.reply != nil {
			t.reply <- r
		}
		if t.onResult != nil {
			t.onResult(r)
		}
	}()
	if t.feedback != nil {
		s.picker.Done(*t.feedback)
		return
	}
	index, ok := s.picker.Pick(&t.req, t.candidates)
	r = result{index: index, noneUsable: !ok}
	if ok && index >= 0 && index < len(t.candidates) {
		r.ok = t.candidates[index].Usable()
		r.load = t.candidates[index].Load()
	}
}

// submitPick queues a pick on copies of the arguments. It returns false if the
// queue is full.
func (s *isolatedPicker) submitPick(req *Request, candidates []Candidate, reply chan result, onResult func(result)) bool {
	t := s.pool.Get().(*task)
	t.req = *req
	t.candidates = append(t.candidates[:0], candidates...)
	t.reply, t.onResult, t.feedback = reply, onResult, nil
	return s.submit(t)
}

func (s *isolatedPicker) submit(t *task) bool {
	select {
	case s.tasks <- t:
		s.submitted++
		return true
	default:
		s.skipped.Add(1)
		s.pool.Put(t)
		return false
	}
}

// pickWithin returns the picker's choice if it is made within the budget. While a
// pick that timed out is still running, it returns false at once, so that a
// picker that blocks delays only one pick.
func (s *isolatedPicker) pickWithin(req *Request, candidates []Candidate, budget time.Duration) (result, bool) {
	if s.completed.Load() < s.lateTask {
		s.skipped.Add(1)
		return result{}, false
	}
	reply := make(chan result, 1)
	if !s.submitPick(req, candidates, reply, nil) {
		return result{}, false
	}
	timer := time.NewTimer(budget)
	defer timer.Stop()
	select {
	case r := <-reply:
		return r, true
	case <-timer.C:
		s.lateTask = s.submitted
		return result{}, false
	}
}

// sendFeedback queues feedback for the picker, or drops it if the queue is full.
func (s *isolatedPicker) sendFeedback(f Feedback) {
	t := s.pool.Get().(*task)
	t.reply, t.onResult, t.feedback = nil, nil, &f
	s.submit(t)
}

func (s *isolatedPicker) close() { close(s.tasks) }
