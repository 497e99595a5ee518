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

// Times of the timed stand-in.
const (
	stepTime  = 50 * time.Millisecond
	callTime  = 500 * time.Microsecond // a side's call to its engine
	pollTime  = 5 * time.Millisecond   // a side's look at its engine
	tickTime  = 100 * time.Millisecond
	stageTime = 2 * time.Second
)

// timer is something to be done at a time.
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

// timed runs a world in virtual time.
type timed struct {
	*world
	now     time.Duration
	queue   timers
	rng     *rand.Rand
	latency time.Duration // one way, up to twice it
	ended   []time.Duration
	held    time.Duration // sum of the holds
	bytes   int           // frames of orders and answers
	frames  int
	cut     bool // orders to rank 0 are lost
}

func (s *timed) after(d time.Duration, do func()) { heap.Push(&s.queue, timer{s.now + d, do}) }

// spread schedules what the machines have just asked for.
func (s *timed) spread() {
	for _, m := range s.net {
		if s.cut && m.order != nil && m.order.Rank == 0 {
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
			took := callTime
			if c.Kind == CmdStage {
				took = stageTime
			}
			s.after(took, func() { s.perform(r, c) })
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
	s.spread()
}

func (s *timed) perform(r int, c Command) {
	s.sides[r].cmds = []Command{c}
	s.execute(r, 0, false)
	s.spread()
	if c.Kind == CmdSwitchNow || c.Kind == CmdSwitchAt || c.Kind == CmdRelease {
		s.beginAll()
	}
}

// beginAll begins the next step at every rank that may, and notes how long
// ranks stood at the barrier.
func (s *timed) beginAll() {
	for r, e := range s.engines {
		if !s.step2(r) {
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
			if s.barrier() {
				s.beginAll()
			}
		})
	}
}

// barrier says whether no rank is in a step: only then can one begin the next.
func (s *timed) barrier() bool {
	for _, e := range s.engines {
		if e.running {
			return false
		}
	}
	return true
}

// step2 begins a step at rank r, if it may; it does not end a running one.
func (s *timed) step2(r int) bool { return !s.engines[r].running && s.step(r) }

func (s *timed) poll() {
	for r := range s.sides {
		s.observe(r)
	}
	s.spread()
	s.after(pollTime, s.poll)
}

func (s *timed) ticks() {
	for i, c := range s.coords {
		s.coordActions(i, c.machine.Tick(s.now))
	}
	s.spread()
	s.after(tickTime, s.ticks)
}

// until runs until done says so or the time is up.
func (s *timed) until(limit time.Duration, done func() bool) bool {
	for end := s.now + limit; s.now < end && !done(); {
		next := heap.Pop(&s.queue).(timer)
		s.now = next.at
		next.do()
	}
	return done()
}

func newTimed(ranks int, native bool, latency time.Duration) *timed {
	always := func(int) bool { return native }
	s := &timed{world: newWorld(ranks, always, always, mechanisms{}), latency: latency}
	s.rng = rand.New(rand.NewPCG(uint64(ranks), uint64(latency)))
	s.ended = make([]time.Duration, ranks)
	for r := range s.sides {
		s.readFence(r)
	}
	s.addCoordinator()
	s.coords[0].machine.opts.StepDuration = stepTime
	s.appendClaim(0)
	s.answerClaim(0)
	s.spread()
	s.poll()
	s.ticks()
	return s
}

// switches performs n switches and returns the longest hold of each, in steps.
func (s *timed) switches(t *testing.T, n int) (holds []float64) {
	idle := func() bool { return s.coords[0].machine.Idle() }
	require.True(t, s.until(time.Minute, idle))
	require.True(t, s.until(10*time.Second, func() bool { return s.engines[0].Next%(1<<stepBits) > 20 }))
	for range n {
		s.held = 0
		epoch := s.engines[0].Epoch
		s.propose(0)
		s.spread()
		require.True(t, s.until(time.Minute, func() bool { return idle() && s.engines[0].Epoch != epoch }))
		holds = append(holds, float64(s.held)/float64(stepTime))
	}
	require.Empty(t, s.fault)
	return holds
}

// TestHoldInSteps measures the hold of switches among 64 ranks. Engines that
// switch at a step do not hold; those that only switch now hold for a look and
// two calls of their side.
func TestHoldInSteps(t *testing.T) {
	for _, native := range []bool{true, false} {
		for _, latency := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond, 15 * time.Millisecond, 60 * time.Millisecond} {
			s := newTimed(64, native, latency)
			holds := s.switches(t, 20)
			worst := 0.0
			for _, h := range holds {
				worst = max(worst, h)
			}
			fmt.Printf("hold: engine switches at a step %t, one way %s to %s: worst of %d switches %.3f steps\n",
				native, latency, 2*latency, len(holds), worst)
			if native {
				require.Zero(t, worst)
			}
			require.Less(t, worst, 0.2)
		}
	}
}

// TestBytesOfASwitch counts the frames of one switch by ranks, without the
// coordinator's queries between switches.
func TestBytesOfASwitch(t *testing.T) {
	for _, ranks := range []int{8, 16, 32, 64} {
		s := newTimed(ranks, true, 1500*time.Microsecond)
		s.switches(t, 1)
		s.bytes, s.frames = 0, 0
		s.switches(t, 10)
		fmt.Printf("switch: ranks %d: %d frames, %d bytes\n", ranks, s.frames/10, s.bytes/10)
	}
}

// A new coordinator that reaches one rank later than the others takes a group
// over that goes on in steps, without restarting it.
func TestTakeoverOfAGroupInMotion(t *testing.T) {
	s := newTimed(8, true, 1500*time.Microsecond)
	s.switches(t, 1)
	s.cut = true
	s.addCoordinator()
	s.appendClaim(1)
	s.answerClaim(1)
	s.spread()
	began := s.engines[0].Next
	require.True(t, s.until(time.Minute, func() bool { return s.engines[0].Next > began+20 }))
	s.cut = false
	require.True(t, s.until(time.Minute, s.coords[1].machine.Idle))
	require.Equal(t, began>>stepBits, s.engines[0].Next>>stepBits, "restarted")
	s.propose(1)
	s.spread()
	require.True(t, s.until(time.Minute, func() bool { return s.engines[0].Epoch > firstEpoch(1) }))
	require.Empty(t, s.fault)
}
