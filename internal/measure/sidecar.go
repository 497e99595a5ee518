package measure

import (
	"math/rand/v2"
	"time"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/wire"
)

// Settings of the sidecars.
const (
	pollInterval = 200 * time.Millisecond
	maxReportAge = 2 * time.Second
	settleTime   = 500 * time.Millisecond
)

// sidecarMode selects the admission mechanisms of a sidecar.
type sidecarMode struct {
	slowStart bool // limit concurrency at a cold engine
	fairShare bool // admit by fair shares and deadlines; else queue first in, first out
}

// sidecar simulates a sidecar: package admit in front of one engine.
type sidecar struct {
	name          string
	dataCentre    string
	dataCentreOut bool // refuse new jobs because the data centre is taken out of service
	mode          sidecarMode
	clock         *clock
	engine        *engine
	coldStart     *admit.ColdStart
	fairShare     *admit.FairShare
	waiting       map[uint64]*sidecarJob
	fifo          []*sidecarJob
	running       int
}

// sidecarJob is one attempt at a sidecar.
type sidecarJob struct {
	job       *job
	request   admit.Job
	onRefused func(*api.Error)
}

func newSidecar(c *clock, name, dc string, e *engine, mode sidecarMode, seed uint64) *sidecar {
	s := &sidecar{name: name, dataCentre: dc, mode: mode, clock: c, engine: e, waiting: map[uint64]*sidecarJob{}}
	s.coldStart = admit.NewColdStart(s.coldStartConfig(), c.now)
	s.fairShare = admit.NewFairShare(rand.New(rand.NewPCG(seed, 7)))
	c.every(pollInterval, s.poll)
	return s
}

func (s *sidecar) coldStartConfig() admit.ColdStartConfig {
	cfg := admit.ColdStartConfig{ColdLimit: coldCapacity, WarmLimit: engineSlots, ReportsLoad: true, MaxReportAge: maxReportAge, SettleTime: settleTime}
	if !s.mode.slowStart {
		cfg.ColdLimit = engineSlots
	}
	return cfg
}

func (s *sidecar) poll() {
	if !s.engine.down {
		r := s.engine.report()
		s.coldStart.Observe(s.clock.now, s.clock.now, &r)
	}
	s.dispatch()
}

// offer submits an attempt. Exactly one of job.onEnd and onRefused is called.
func (s *sidecar) offer(j *sidecarJob) {
	if s.dataCentreOut {
		j.onRefused(api.NewError(api.DataCentreOut, ""))
		return
	}
	if !s.mode.fairShare {
		s.fifo = append(s.fifo, j)
		s.dispatch()
		return
	}
	if err := s.fairShare.Offer(s.clock.now, j.request, s.coldStart.Limit(s.clock.now)); err != nil {
		j.onRefused(err)
		return
	}
	s.waiting[j.request.ID] = j
	s.dispatch()
}

// dispatch starts queued jobs up to the current limit and refuses those that
// package admit rejects.
func (s *sidecar) dispatch() {
	limit := s.coldStart.Limit(s.clock.now)
	for !s.mode.fairShare && len(s.fifo) > 0 && s.running < limit {
		j := s.fifo[0]
		s.fifo = s.fifo[1:]
		s.start(j)
	}
	jobs, refused := s.fairShare.Next(s.clock.now, limit)
	for _, r := range refused {
		j := s.waiting[r.ID]
		delete(s.waiting, r.ID)
		j.onRefused(r.Err)
	}
	for _, a := range jobs {
		j := s.waiting[a.ID]
		delete(s.waiting, a.ID)
		s.start(j)
	}
}

func (s *sidecar) start(j *sidecarJob) {
	ticket, err := s.coldStart.Admit(s.clock.now, false)
	if err != nil {
		s.fairShare.Finish(s.clock.now, j.request.ID, false)
		j.onRefused(err)
		return
	}
	s.running++
	onEnd := j.job.onEnd
	j.job.onEnd = func(complete bool) {
		s.running--
		if !complete {
			s.coldStart.RecordCrash(s.clock.now)
		}
		s.coldStart.Finish(ticket, s.clock.now, complete)
		s.fairShare.Finish(s.clock.now, j.request.ID, complete)
		onEnd(complete)
		s.dispatch()
	}
	onFirstToken := j.job.onFirstToken
	j.job.onFirstToken = func() {
		s.coldStart.ResponseStarted(ticket, s.clock.now)
		onFirstToken()
	}
	s.engine.run(j.job)
}

// report returns the load report that the sidecar sends to the front proxies.
func (s *sidecar) report() wire.Report {
	return wire.Report{
		Cold:       s.coldStart.Cold(s.clock.now),
		Leaving:    s.dataCentreOut,
		Limit:      s.coldStart.Limit(s.clock.now),
		Running:    s.running,
		Waiting:    s.fairShare.Queued() + len(s.fifo),
		StepMillis: float32Millis(s.engine.lastStep),
	}
}

func float32Millis(d time.Duration) float32 {
	return float32(d) / float32(time.Millisecond)
}
