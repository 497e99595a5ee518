package measure

import (
	"math/rand/v2"
	"time"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/wire"
)

// Settings of the side processes.
const (
	pollInterval = 200 * time.Millisecond
	sideFresh    = 2 * time.Second
	sideSettle   = 500 * time.Millisecond
)

// sideMode says which mechanisms a side process uses.
type sideMode struct {
	slowStart bool // limit a cold engine
	shares    bool // fair shares and deadlines; else a queue in order of arrival
}

// side is a side process: package admit in front of one engine.
type side struct {
	name       string
	dataCentre string
	out        bool // refuses new work: its data centre is taken out
	mode       sideMode
	clock      *clock
	engine     *engine
	cold       *admit.ColdStart
	shares     *admit.FairShare
	waiting    map[uint64]*sideJob
	fifo       []*sideJob
	running    int
}

// sideJob is one attempt at a side.
type sideJob struct {
	job    *job
	ask    admit.Job
	refuse func(*api.Error)
}

func newSide(c *clock, name, dc string, e *engine, mode sideMode, seed uint64) *side {
	s := &side{name: name, dataCentre: dc, mode: mode, clock: c, engine: e, waiting: map[uint64]*sideJob{}}
	s.cold = admit.NewColdStart(s.coldConfig(), c.now)
	s.shares = admit.NewFairShare(rand.New(rand.NewPCG(seed, 7)))
	c.every(pollInterval, s.poll)
	return s
}

func (s *side) coldConfig() admit.ColdStartConfig {
	cfg := admit.ColdStartConfig{ColdLimit: coldBears, WarmLimit: engineSlots, ReportsLoad: true, MaxReportAge: sideFresh, SettleTime: sideSettle}
	if !s.mode.slowStart {
		cfg.ColdLimit = engineSlots
	}
	return cfg
}

func (s *side) poll() {
	if !s.engine.down {
		r := s.engine.report()
		s.cold.Observe(s.clock.now, s.clock.now, &r)
	}
	s.pump()
}

// offer takes one attempt; exactly one of its job's end and refuse follows.
func (s *side) offer(j *sideJob) {
	if s.out {
		j.refuse(api.NewError(api.DataCentreOut, ""))
		return
	}
	if !s.mode.shares {
		s.fifo = append(s.fifo, j)
		s.pump()
		return
	}
	if err := s.shares.Offer(s.clock.now, j.ask, s.cold.Limit(s.clock.now)); err != nil {
		j.refuse(err)
		return
	}
	s.waiting[j.ask.ID] = j
	s.pump()
}

// pump starts what may start now.
func (s *side) pump() {
	limit := s.cold.Limit(s.clock.now)
	for !s.mode.shares && len(s.fifo) > 0 && s.running < limit {
		j := s.fifo[0]
		s.fifo = s.fifo[1:]
		s.start(j)
	}
	jobs, refused := s.shares.Next(s.clock.now, limit)
	for _, r := range refused {
		j := s.waiting[r.ID]
		delete(s.waiting, r.ID)
		j.refuse(r.Err)
	}
	for _, a := range jobs {
		j := s.waiting[a.ID]
		delete(s.waiting, a.ID)
		s.start(j)
	}
}

func (s *side) start(j *sideJob) {
	t, err := s.cold.Admit(s.clock.now, false)
	if err != nil {
		s.shares.Finish(s.clock.now, j.ask.ID, false)
		j.refuse(err)
		return
	}
	s.running++
	end := j.job.end
	j.job.end = func(whole bool) {
		s.running--
		if !whole {
			s.cold.RecordCrash(s.clock.now)
		}
		s.cold.Finish(t, s.clock.now, whole)
		s.shares.Finish(s.clock.now, j.ask.ID, whole)
		end(whole)
		s.pump()
	}
	first := j.job.first
	j.job.first = func() {
		s.cold.ResponseStarted(t, s.clock.now)
		first()
	}
	s.engine.run(j.job)
}

// report is what the side tells the entries.
func (s *side) report() wire.Report {
	return wire.Report{
		Cold:       s.cold.Cold(s.clock.now),
		Leaving:    s.out,
		Limit:      s.cold.Limit(s.clock.now),
		Running:    s.running,
		Waiting:    s.shares.Queued() + len(s.fifo),
		StepMillis: wireMillis(s.engine.lastStep),
	}
}

func wireMillis(d time.Duration) float32 {
	return float32(d) / float32(time.Millisecond)
}
