package admit

import (
	"math/rand/v2"
	"time"

	"marjorampitch/api"
)

// Settings of a FairShare.
const (
	// queueFactor is the length of the queue relative to the limit.
	queueFactor = 0.5
	// burstAllowance is how far, in jobs, an organisation may run ahead of its
	// share and still have its live calls served before the rest.
	burstAllowance = 4.0
	// maxHeld is the longest time that a job has waited when a live call takes its place.
	maxHeld = 250 * time.Millisecond
	// smoothing is the weight of a new sample in the mean service time.
	smoothing = 0.1
	// firstService stands in for the mean service time until a job has finished.
	firstService = 500 * time.Millisecond
)

// Job is a request that asks to run.
type Job struct {
	ID           uint64
	Organisation string
	Weight       int // Organisation.Weight; at least 1
	Priority     api.Priority
	Deadline     time.Duration // when the whole answer must be there

	offered time.Duration
}

// Refusal is the final answer to a job that does not run.
type Refusal struct {
	ID  uint64
	Err *api.Error
}

// FairShare orders the requests at one backend server under overload.
// Organisations share the server by weight; within an organisation, and
// between organisations within their shares, live calls go first. A job waits
// only while it can make its deadline and its organisation's part of the short
// queue has room; otherwise it is refused at once, with a Retry-After that
// spreads the returns. It is not safe for concurrent use.
type FairShare struct {
	orgs    map[string]*share
	waiting []*share // organisations with queued jobs
	weight  int      // of the organisations with jobs
	running map[uint64]started
	queued  int
	virtual float64 // virtual time: the least start tag that was waiting
	service time.Duration
	returns returns
	evicted []Refusal // to be returned by Next
}

// share is the state of one organisation that has jobs.
type share struct {
	name    string
	weight  int
	running int
	queues  [api.NumPriorities][]Job
	queued  int
	tag     float64 // virtual time at which its next job starts
}

type started struct {
	org *share
	at  time.Duration
}

// NewFairShare returns an empty FairShare that draws from source.
func NewFairShare(source *rand.Rand) *FairShare {
	return &FairShare{
		orgs:    map[string]*share{},
		running: map[uint64]started{},
		service: firstService,
		returns: newReturns(source),
	}
}

// Offer takes a new job at now; limit is the number of jobs that may run at
// once. After it, call Next for the jobs to start. A non-nil error (Overloaded,
// ShareExceeded, DeadlineTooShort) is the job's final answer.
func (f *FairShare) Offer(now time.Duration, job Job, limit int) *api.Error {
	s := f.join(job)
	if err := f.check(now, s, job, limit); err != nil {
		err.RetryAfter = f.returns.book(now, s.name, f.rate(s, limit))
		f.leave(s)
		return err
	}
	if s.queued == 0 {
		f.waiting = append(f.waiting, s)
		s.tag = max(s.tag, f.virtual)
	}
	job.offered = now
	p := min(job.Priority, api.NumPriorities-1)
	s.queues[p] = append(s.queues[p], job)
	s.queued++
	f.queued++
	return nil
}

// join returns the organisation's state, made when it has none.
func (f *FairShare) join(job Job) *share {
	s, ok := f.orgs[job.Organisation]
	if !ok {
		s = &share{name: job.Organisation}
		f.orgs[job.Organisation] = s
	}
	if s.idle() {
		s.weight = max(1, job.Weight)
		f.weight += s.weight
	}
	return s
}

func (s *share) idle() bool { return s.running == 0 && s.queued == 0 }

// leave takes an organisation without jobs out of the active weight.
func (f *FairShare) leave(s *share) {
	if !s.idle() {
		return
	}
	f.weight -= s.weight
	if f.weight == 0 {
		clear(f.orgs)
		return
	}
	if s.tag <= f.virtual {
		delete(f.orgs, s.name)
	}
}

// check returns the refusal of a job that may not wait.
func (f *FairShare) check(now time.Duration, s *share, job Job, limit int) *api.Error {
	part := float64(s.weight) / float64(f.weight)
	free := limit - len(f.running) - f.queued
	if free <= 0 && s.queued >= max(1, int(queueFactor*float64(limit)*part)) && !f.evict(now, s, job.Priority, limit) {
		if f.weight > s.weight {
			return api.NewError(api.ShareExceeded, "the organisation's part of the queue is full")
		}
		return api.NewError(api.Overloaded, "the queue is full")
	}
	wait := time.Duration(0)
	if free <= 0 {
		wait = f.wait(s, job.Priority, part, limit)
	}
	if now+wait+f.service > job.Deadline {
		return api.NewError(api.DeadlineTooShort, "the answer would be late")
	}
	return nil
}

// evict refuses the organisation's last queued job of a lower priority than p
// to make room, if it has not waited long; false when there is none.
func (f *FairShare) evict(now time.Duration, s *share, p api.Priority, limit int) bool {
	for q := api.NumPriorities - 1; q > p; q-- {
		last := len(s.queues[q]) - 1
		if last < 0 || now-s.queues[q][last].offered > maxHeld {
			continue
		}
		err := api.NewError(api.ShareExceeded, "a call of higher priority took the place in the queue")
		err.RetryAfter = f.returns.book(now, s.name, f.rate(s, limit))
		f.evicted = append(f.evicted, Refusal{ID: s.queues[q][last].ID, Err: err})
		s.queues[q] = s.queues[q][:last]
		f.shrink(s)
		return true
	}
	return false
}

// wait predicts how long a job would be queued.
func (f *FairShare) wait(s *share, p api.Priority, part float64, limit int) time.Duration {
	ahead := 0
	for q := range min(p, api.NumPriorities-1) + 1 {
		ahead += len(s.queues[q])
	}
	byShare := float64(ahead+1) / part
	byQueue := float64(f.queued + 1)
	return time.Duration(min(byShare, byQueue) / max(1, float64(limit)) * float64(f.service))
}

// rate is the number of the organisation's jobs that its part of limit slots
// finishes in a second.
func (f *FairShare) rate(s *share, limit int) float64 {
	part := float64(s.weight) / float64(max(f.weight, s.weight))
	return part * max(1, float64(limit)) / f.service.Seconds()
}

// Next returns the jobs to start now, in order, and those that lost their
// place or can no longer make their deadline. Call it after Offer, after Finish, and whenever the
// limit has changed.
func (f *FairShare) Next(now time.Duration, limit int) (start []Job, refused []Refusal) {
	refused, f.evicted = f.evicted, nil
	for f.queued > 0 && len(f.running) < limit {
		s := f.choose()
		job := f.take(s)
		if now+f.service/2 > job.Deadline {
			err := api.NewError(api.DeadlineTooShort, "waited longer than predicted")
			err.RetryAfter = f.returns.book(now, s.name, f.rate(s, limit))
			refused = append(refused, Refusal{ID: job.ID, Err: err})
			f.leave(s)
			continue
		}
		s.tag += 1 / float64(s.weight)
		s.running++
		f.running[job.ID] = started{org: s, at: now}
		start = append(start, job)
	}
	return start, refused
}

// choose returns the organisation whose job starts next: the one with the
// least start tag among those with a live call that are within their share,
// else among all.
func (f *FairShare) choose() *share {
	least := f.waiting[0]
	for _, s := range f.waiting {
		if s.tag < least.tag {
			least = s
		}
	}
	f.virtual = max(f.virtual, least.tag)
	var live *share
	for _, s := range f.waiting {
		if len(s.queues[api.PriorityLive]) == 0 || s.tag > f.virtual+burstAllowance/float64(s.weight) {
			continue
		}
		if live == nil || s.tag < live.tag {
			live = s
		}
	}
	if live != nil {
		return live
	}
	return least
}

// take removes the organisation's first job from its queue.
func (f *FairShare) take(s *share) Job {
	var job Job
	for p := range s.queues {
		if len(s.queues[p]) > 0 {
			job = s.queues[p][0]
			s.queues[p] = s.queues[p][1:]
			break
		}
	}
	f.shrink(s)
	return job
}

// shrink counts one queued job less.
func (f *FairShare) shrink(s *share) {
	s.queued--
	f.queued--
	if s.queued > 0 {
		return
	}
	for i, w := range f.waiting {
		if w == s {
			last := len(f.waiting) - 1
			f.waiting[i] = f.waiting[last]
			f.waiting = f.waiting[:last]
			return
		}
	}
}

// Finish takes the end of a job that was started. whole says that it ran to
// its end, so that its time counts as a service time.
func (f *FairShare) Finish(now time.Duration, id uint64, whole bool) {
	r, ok := f.running[id]
	if !ok {
		return
	}
	delete(f.running, id)
	r.org.running--
	if whole {
		f.service += time.Duration(smoothing * float64(now-r.at-f.service))
	}
	f.leave(r.org)
}

// Cancel forgets a queued job whose caller went away; false when it is not queued.
func (f *FairShare) Cancel(organisation string, id uint64) bool {
	s, ok := f.orgs[organisation]
	if !ok {
		return false
	}
	for p, queue := range s.queues {
		for i := range queue {
			if queue[i].ID != id {
				continue
			}
			s.queues[p] = append(queue[:i:i], queue[i+1:]...)
			f.shrink(s)
			f.leave(s)
			return true
		}
	}
	return false
}

// Running returns the number of jobs started and not finished.
func (f *FairShare) Running() int { return len(f.running) }

// Queued returns the number of jobs that wait.
func (f *FairShare) Queued() int { return f.queued }

// Organisations returns the number of organisations that hold state.
func (f *FairShare) Organisations() int { return len(f.orgs) }
