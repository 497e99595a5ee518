package group

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/wire"
)

// Durations in the timed simulation.
const (
	stepTime  = 50 * time.Millisecond
	callTime  = 500 * time.Microsecond // call of a sidecar to its engine
	pollTime  = 5 * time.Millisecond   // interval at which a sidecar polls its engine
	tickTime  = 100 * time.Millisecond // interval of coordinator ticks
	stageTime = 2 * time.Second        // copying weights
)

// timer is a callback scheduled at a time.
type timer struct {
	at time.Duration
	do func()
}

type timers []timer

func (q timers) Len() int           { return len(q) }
func (q timers) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timers) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)        { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// timed runs a simulation in virtual time. It implements a discrete-event queue.
type timed struct {
	*simulation
	now      time.Duration
	queue    timers
	rng      *rand.Rand
	latency  time.Duration   // minimum one-way latency; the maximum is twice that
	ended    []time.Duration // by rank: end of the last step
	held     time.Duration   // longest time that a rank waited although all had ended their step
	bytes    int             // bytes of frames with orders and acknowledgements
	frames   int
	rank0Cut bool // orders to rank 0 are lost
}

func (s *timed) after(d time.Duration, do func()) { heap.Push(&s.queue, timer{s.now + d, do}) }

// schedule schedules the messages and commands that the state machines have
// produced.
func (s *timed) schedule() {
	for _, m := range s.net {
		if s.rank0Cut && m.order != nil && m.order.Rank == 0 {
			continue
		}
		var out wire.Message = m.ack
		if m.order != nil {
			out = m.order
		}
		frame, _ := wire.AppendFrame(nil, out)
		s.bytes += len(frame)
		s.frames++
		delay := s.latency + time.Duration(s.rng.Int64N(int64(s.latency)))
		s.after(delay, func() { s.receive(m) })
	}
	s.net = nil
	for r, d := range s.sides {
		for _, c := range d.cmds {
			duration := callTime
			if c.Kind == CmdStage {
				duration = stageTime
			}
			s.after(duration, func() { s.perform(r, c) })
		}
		d.cmds = nil
	}
}

func (s *timed) receive(m message) {
	if m.order != nil {
		o := *m.order
		s.rankActions(o.Rank, m.from, s.sides[o.Rank].rank.HandleOrder(&o))
	} else {
		s.coordActions(m.from, s.coords[m.from].machine.HandleAck(m.ack, s.now))
	}
	s.schedule()
}

func (s *timed) perform(r int, c Command) {
	s.sides[r].cmds = []Command{c}
	s.execute(r, 0, false)
	s.schedule()
	if c.Kind == CmdSwitchNow || c.Kind == CmdSwitchAt || c.Kind == CmdRelease {
		s.beginAll()
	}
}

// beginAll begins the next step at every rank that may begin it, and records
// the longest time that a rank waited at the barrier.
func (s *timed) beginAll() {
	for r, e := range s.engines {
		if !s.beginStep(r) {
			continue
		}
		ready := s.ended[0]
		for _, at := range s.ended {
			ready = max(ready, at)
		}
		s.held = max(s.held, s.now-ready)
		s.after(stepTime, func() {
			e.running = false
			s.ended[r] = s.now
			if s.noneRunning() {
				s.beginAll()
			}
		})
	}
}

// noneRunning reports whether no rank is executing a step, which is required
// before any rank begins the next one.
func (s *timed) noneRunning() bool {
	for _, e := range s.engines {
		if e.running {
			return false
		}
	}
	return true
}

// beginStep begins a step at rank r if it may; it does not end a running one.
func (s *timed) beginStep(r int) bool { return !s.engines[r].running && s.step(r) }

func (s *timed) poll() {
	for r := range s.sides {
		s.observe(r)
	}
	s.schedule()
	s.after(pollTime, s.poll)
}

func (s *timed) ticks() {
	for i, c := range s.coords {
		s.coordActions(i, c.machine.Tick(s.now))
	}
	s.schedule()
	s.after(tickTime, s.ticks)
}

// runUntil runs until done returns true or the virtual time limit has passed.
func (s *timed) runUntil(limit time.Duration, done func() bool) bool {
	for end := s.now + limit; s.now < end && !done(); {
		next := heap.Pop(&s.queue).(timer)
		s.now = next.at
		next.do()
	}
	return done()
}

func newTimed(ranks int, switchesAt bool, latency time.Duration) *timed {
	supported := func(int) bool { return switchesAt }
	s := &timed{simulation: newSimulation(ranks, supported, supported, mutation{}), latency: latency}
	s.rng = rand.New(rand.NewPCG(uint64(ranks), uint64(latency)))
	s.ended = make([]time.Duration, ranks)
	for r := range s.sides {
		s.readFence(r)
	}
	s.addCoordinator()
	s.coords[0].machine.opts.StepDuration = stepTime
	s.appendClaim(0)
	s.answerClaim(0)
	s.schedule()
	s.poll()
	s.ticks()
	return s
}

// switches performs n switches and returns the longest hold of each in units of
// the step duration.
func (s *timed) switches(t *testing.T, n int) (holds []float64) {
	idle := func() bool { return s.coords[0].machine.Idle() }
	require.True(t, s.runUntil(time.Minute, idle))
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.engines[0].Next%(1<<stepBits) > 20 }))
	for range n {
		s.held = 0
		epoch := s.engines[0].Epoch
		s.propose(0)
		s.schedule()
		require.True(t, s.runUntil(time.Minute, func() bool { return idle() && s.engines[0].Epoch != epoch }))
		holds = append(holds, float64(s.held)/float64(stepTime))
	}
	require.Empty(t, s.violation)
	return holds
}

// TestHoldInSteps measures how long a switch holds 64 ranks. Engines that support
// CmdSwitchAt do not hold. Other engines hold for one poll and two calls of
// their sidecar.
func TestHoldInSteps(t *testing.T) {
	for _, switchesAt := range []bool{true, false} {
		for _, latency := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond, 15 * time.Millisecond, 60 * time.Millisecond} {
			s := newTimed(64, switchesAt, latency)
			holds := s.switches(t, 20)
			worst := 0.0
			for _, h := range holds {
				worst = max(worst, h)
			}
			fmt.Printf("hold: engine supports switch at step %t, one way %s to %s: worst of %d switches %.3f steps\n",
				switchesAt, latency, 2*latency, len(holds), worst)
			if switchesAt {
				require.Zero(t, worst)
			}
			require.Less(t, worst, 0.2)
		}
	}
}

// TestBytesPerSwitch measures the frames and bytes of one switch by the number
// of ranks, without the coordinator's queries between switches.
func TestBytesPerSwitch(t *testing.T) {
	for _, ranks := range []int{8, 16, 32, 64} {
		s := newTimed(ranks, true, 1500*time.Microsecond)
		s.switches(t, 1)
		s.bytes, s.frames = 0, 0
		s.switches(t, 10)
		fmt.Printf("switch: ranks %d: %d frames, %d bytes\n", ranks, s.frames/10, s.bytes/10)
	}
}

// A new coordinator that reaches one rank later than the others must take over
// a running group without restarting it.
func TestTakeoverOfRunningGroup(t *testing.T) {
	s := newTimed(8, true, 1500*time.Microsecond)
	s.switches(t, 1)
	s.rank0Cut = true
	s.addCoordinator()
	s.appendClaim(1)
	s.answerClaim(1)
	s.schedule()
	began := s.engines[0].Next
	require.True(t, s.runUntil(time.Minute, func() bool { return s.engines[0].Next > began+20 }))
	s.rank0Cut = false
	require.True(t, s.runUntil(time.Minute, s.coords[1].machine.Idle))
	require.Equal(t, began>>stepBits, s.engines[0].Next>>stepBits, "the group was restarted")
	s.propose(1)
	s.schedule()
	require.True(t, s.runUntil(time.Minute, func() bool { return s.engines[0].Epoch > firstEpoch(1) }))
	require.Empty(t, s.violation)
}
