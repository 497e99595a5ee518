package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// queuedTasks is the number of calls that may wait for an isolated Picker.
const queuedTasks = 64

// isolated runs a Picker that may be broken in a goroutine of its own: it may
// panic, block or write to its arguments without harm to the caller. A Picker
// that never returns keeps that goroutine.
type isolated struct {
	picker Picker
	tasks  chan *task
	pool   sync.Pool // of *task

	given  int64        // tasks handed over, by the caller's goroutine
	late   int64        // value of given at the last pick that came too late
	ended  atomic.Int64 // tasks done
	panics atomic.Int64
	busy   atomic.Int64 // tasks not given because the picker was at work
}

// task is one call of the picker.
type task struct {
	req        Request
	candidates []Candidate
	feedback   *Feedback
	done       func(result) // called in the picker's goroutine; nil for none
	reply      chan result  // holds one; nil for none
}

// result is what the picker chose.
type result struct {
	index int
	ok    bool // the index is that of a usable candidate
	load  int  // believed load of the chosen candidate
	none  bool // the picker said that there is none
}

func newIsolated(p Picker) *isolated {
	s := &isolated{picker: p, tasks: make(chan *task, queuedTasks)}
	s.pool.New = func() any { return new(task) }
	go s.work()
	return s
}

// work runs tasks until close.
func (s *isolated) work() {
	for t := range s.tasks {
		s.run(t)
		s.ended.Add(1)
		t.done, t.reply, t.feedback = nil, nil, nil
		s.pool.Put(t)
	}
}

// run runs one task; a panic counts as a choice that is not usable.
func (s *isolated) run(t *task) {
	var r result
	defer func() {
		if recover() != nil {
			s.panics.Add(1)
			r = result{}
		}
		if t.reply != nil {
			t.reply <- r
		}
		if t.done != nil {
			t.done(r)
		}
	}()
	if t.feedback != nil {
		s.picker.Done(*t.feedback)
		return
	}
	index, ok := s.picker.Pick(&t.req, t.candidates)
	r = result{index: index, none: !ok}
	if ok && index >= 0 && index < len(t.candidates) {
		r.ok = t.candidates[index].Usable()
		r.load = t.candidates[index].Load()
	}
}

// offer hands over a copy of a pick; false when the picker is still at work.
func (s *isolated) offer(req *Request, candidates []Candidate, reply chan result, done func(result)) bool {
	t := s.pool.Get().(*task)
	t.req = *req
	t.candidates = append(t.candidates[:0], candidates...)
	t.reply, t.done, t.feedback = reply, done, nil
	return s.give(t)
}

func (s *isolated) give(t *task) bool {
	select {
	case s.tasks <- t:
		s.given++
		return true
	default:
		s.busy.Add(1)
		s.pool.Put(t)
		return false
	}
}

// ask returns the picker's choice if it comes within the budget. While a pick
// that came too late is not over it waits for none, so that a picker that
// blocks costs one budget.
func (s *isolated) ask(req *Request, candidates []Candidate, budget time.Duration) (result, bool) {
	if s.ended.Load() < s.late {
		s.busy.Add(1)
		return result{}, false
	}
	reply := make(chan result, 1)
	if !s.offer(req, candidates, reply, nil) {
		return result{}, false
	}
	timer := time.NewTimer(budget)
	defer timer.Stop()
	select {
	case r := <-reply:
		return r, true
	case <-timer.C:
		s.late = s.given
		return result{}, false
	}
}

// tell passes feedback on, unless the picker is at work.
func (s *isolated) tell(f Feedback) {
	t := s.pool.Get().(*task)
	t.reply, t.done, t.feedback = nil, nil, &f
	s.give(t)
}

func (s *isolated) close() { close(s.tasks) }
