package admit

import (
	"math/rand/v2"
	"time"

	"marjorampitch/api"
)

// Settings of a FairShare.
const (
	// queueRatio is the length of the queue relative to the limit on running jobs.
	queueRatio = 0.5
	// burstAllowance is the number of jobs by which an organisation may exceed
	// its share while its live calls still take precedence.
	burstAllowance = 4.0
	// maxEvictionWait is the waiting time after which a queued job is no longer
	// evicted in favour of a call of higher priority.
	maxEvictionWait = 250 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the mean service time.
	serviceTimeWeight = 0.1
	// initialServiceTime is the assumed mean service time until a job has finished.
	initialServiceTime = 500 * time.Millisecond
)

// Job is a request that asks to run.
type Job struct {
	ID           uint64
	Organisation string
	Weight       int // Organisation.Weight of the service configuration; values below 1 count as 1
	Priority     api.Priority
	Deadline     time.Duration // time by which the answer must be complete

	offeredAt time.Duration
}

// Refusal is the final answer to a queued job that will not run.
type Refusal struct {
	ID  uint64
	Err *api.Error
}

// FairShare schedules the requests at one backend server under overload by
// weighted fair queueing. Organisations share the server by weight. Live calls
// go first within an organisation, and also between organisations that are
// within their shares. A job waits only if it can meet its deadline and its
// organisation's part of the short queue has room. Otherwise it is refused at
// once, with a Retry-After that spreads the retries over time. A FairShare is
// not safe for concurrent use.
type FairShare struct {
	orgs         map[string]*orgState
	waiting      []*orgState // organisations with queued jobs
	activeWeight int         // sum of the weights of organisations with jobs
	running      map[uint64]runningJob
	queued       int
	virtualTime  float64       // largest value so far of the least start tag among waiting organisations
	serviceTime  time.Duration // moving average
	retries      retrySchedule
	evicted      []Refusal // for the following call of Next
}

// orgState is the scheduling state of one organisation.
type orgState struct {
	name     string
	weight   int
	running  int
	queues   [api.NumPriorities][]Job
	queued   int
	startTag float64 // virtual time at which its next job starts
}

type runningJob struct {
	org       *orgState
	startedAt time.Duration
}

// NewFairShare returns an empty FairShare that takes randomness from source.
func NewFairShare(source *rand.Rand) *FairShare {
	return &FairShare{
		orgs:        map[string]*orgState{},
		running:     map[uint64]runningJob{},
		serviceTime: initialServiceTime,
		retries:     newRetrySchedule(source),
	}
}

// Offer queues a new job. limit is the number of jobs that may run at once.
// Call Next afterwards for the jobs to start. A non-nil error (Overloaded,
// ShareExceeded, DeadlineTooShort) is the final answer to the job.
func (f *FairShare) Offer(now time.Duration, job Job, limit int) *api.Error {
	s := f.activate(job)
	if err := f.checkQueue(now, s, job, limit); err != nil {
		err.RetryAfter = f.retries.reserve(now, s.name, f.serviceRate(s, limit))
		f.deactivate(s)
		return err
	}
	if s.queued == 0 {
		f.waiting = append(f.waiting, s)
		s.startTag = max(s.startTag, f.virtualTime)
	}
	job.offeredAt = now
	p := min(job.Priority, api.NumPriorities-1)
	s.queues[p] = append(s.queues[p], job)
	s.queued++
	f.queued++
	return nil
}

// activate returns the state of the job's organisation, created if needed, and
// counts its weight as active.
func (f *FairShare) activate(job Job) *orgState {
	s, ok := f.orgs[job.Organisation]
	if !ok {
		s = &orgState{name: job.Organisation}
		f.orgs[job.Organisation] = s
	}
	if s.idle() {
		s.weight = max(1, job.Weight)
		f.activeWeight += s.weight
	}
	return s
}

func (s *orgState) idle() bool { return s.running == 0 && s.queued == 0 }

// deactivate removes the weight of an organisation without jobs from the active
// weight. Its state is kept while its start tag is ahead of the virtual time. When
// no organisation is active any more, the state of all is cleared.
func (f *FairShare) deactivate(s *orgState) {
	if !s.idle() {
		return
	}
	f.activeWeight -= s.weight
	if f.activeWeight == 0 {
		clear(f.orgs)
		return
	}
	if s.startTag <= f.virtualTime {
		delete(f.orgs, s.name)
	}
}

// checkQueue returns the refusal of a job that may not be queued, or nil. It may
// evict a queued job of lower priority to make room.
func (f *FairShare) checkQueue(now time.Duration, s *orgState, job Job, limit int) *api.Error {
	fraction := float64(s.weight) / float64(f.activeWeight)
	free := limit - len(f.running) - f.queued
	if free <= 0 && s.queued >= max(1, int(queueRatio*float64(limit)*fraction)) && !f.evict(now, s, job.Priority, limit) {
		if f.activeWeight > s.weight {
			return api.NewError(api.ShareExceeded, "the organisation's part of the queue is full")
		}
		return api.NewError(api.Overloaded, "the queue is full")
	}
	wait := time.Duration(0)
	if free <= 0 {
		wait = f.predictWait(s, job.Priority, fraction, limit)
	}
	if now+wait+f.serviceTime > job.Deadline {
		return api.NewError(api.DeadlineTooShort, "the answer would be late")
	}
	return nil
}

// evict refuses the organisation's last queued job of a priority lower than p,
// unless it has waited longer than maxEvictionWait. It reports whether a job was
// evicted.
func (f *FairShare) evict(now time.Duration, s *orgState, p api.Priority, limit int) bool {
	for q := api.NumPriorities - 1; q > p; q-- {
		last := len(s.queues[q]) - 1
		if last < 0 || now-s.queues[q][last].offeredAt > maxEvictionWait {
			continue
		}
		err := api.NewError(api.ShareExceeded, "a call of higher priority took the place in the queue")
		err.RetryAfter = f.retries.reserve(now, s.name, f.serviceRate(s, limit))
		f.evicted = append(f.evicted, Refusal{ID: s.queues[q][last].ID, Err: err})
		s.queues[q] = s.queues[q][:last]
		f.countDequeued(s)
		return true
	}
	return false
}

// predictWait estimates how long a new job of priority p would be queued.
// fraction is the organisation's part of the active weight.
func (f *FairShare) predictWait(s *orgState, p api.Priority, fraction float64, limit int) time.Duration {
	ahead := 0
	for q := range min(p, api.NumPriorities-1) + 1 {
		ahead += len(s.queues[q])
	}
	byShare := float64(ahead+1) / fraction
	byQueue := float64(f.queued + 1)
	return time.Duration(min(byShare, byQueue) / max(1, float64(limit)) * float64(f.serviceTime))
}

// serviceRate estimates the number of jobs per second that the organisation's
// share of limit slots completes.
func (f *FairShare) serviceRate(s *orgState, limit int) float64 {
	fraction := float64(s.weight) / float64(max(f.activeWeight, s.weight))
	return fraction * max(1, float64(limit)) / f.serviceTime.Seconds()
}

// Next returns the jobs to start now, in order, and the refusals of queued jobs
// that were evicted or can no longer meet their deadline. Call it after Offer,
// after Finish, and whenever the limit has changed.
func (f *FairShare) Next(now time.Duration, limit int) (start []Job, refused []Refusal) {
	refused, f.evicted = f.evicted, nil
	for f.queued > 0 && len(f.running) < limit {
		s := f.selectOrg()
		job := f.dequeue(s)
		if now+f.serviceTime/2 > job.Deadline {
			err := api.NewError(api.DeadlineTooShort, "waited longer than predicted")
			err.RetryAfter = f.retries.reserve(now, s.name, f.serviceRate(s, limit))
			refused = append(refused, Refusal{ID: job.ID, Err: err})
			f.deactivate(s)
			continue
		}
		s.startTag += 1 / float64(s.weight)
		s.running++
		f.running[job.ID] = runningJob{org: s, startedAt: now}
		start = append(start, job)
	}
	return start, refused
}

// selectOrg returns the organisation whose job starts next. Organisations that
// have a live call queued and are within their share plus the burst allowance
// take precedence; among equals, the one with the least start tag is next.
func (f *FairShare) selectOrg() *orgState {
	least := f.waiting[0]
	for _, s := range f.waiting {
		if s.startTag < least.startTag {
			least = s
		}
	}
	f.virtualTime = max(f.virtualTime, least.startTag)
	var live *orgState
	for _, s := range f.waiting {
		if len(s.queues[api.PriorityLive]) == 0 || s.startTag > f.virtualTime+burstAllowance/float64(s.weight) {
			continue
		}
		if live == nil || s.startTag < live.startTag {
			live = s
		}
	}
	if live != nil {
		return live
	}
	return least
}

// dequeue removes and returns the organisation's first job of the highest priority.
func (f *FairShare) dequeue(s *orgState) Job {
	var job Job
	for p := range s.queues {
		if len(s.queues[p]) > 0 {
			job = s.queues[p][0]
			s.queues[p] = s.queues[p][1:]
			break
		}
	}
	f.countDequeued(s)
	return job
}

// countDequeued updates the counts after one job has left the organisation's
// queues, and removes the organisation from waiting if they are empty.
func (f *FairShare) countDequeued(s *orgState) {
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

// Finish records the end of a started job. complete is true if it ran to
// completion; only then does its duration count towards the mean service time.
func (f *FairShare) Finish(now time.Duration, id uint64, complete bool) {
	r, ok := f.running[id]
	if !ok {
		return
	}
	delete(f.running, id)
	r.org.running--
	if complete {
		f.serviceTime += time.Duration(serviceTimeWeight * float64(now-r.startedAt-f.serviceTime))
	}
	f.deactivate(r.org)
}

// Cancel removes a queued job whose caller has gone away. It reports whether
// the job was queued.
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
			f.countDequeued(s)
			f.deactivate(s)
			return true
		}
	}
	return false
}

// Running returns the number of jobs that were started and have not finished.
func (f *FairShare) Running() int { return len(f.running) }

// Queued returns the number of jobs that wait.
func (f *FairShare) Queued() int { return f.queued }

// Organisations returns the number of organisations for which state is kept.
func (f *FairShare) Organisations() int { return len(f.orgs) }
