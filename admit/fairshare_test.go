package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjorampitch/api"
)

const shareLimit = 8

// shareSim drives a FairShare with jobs that take 0.5 s to 1.5 s.
type shareSim struct {
	f        *FairShare
	now      time.Duration
	endTimes map[uint64]time.Duration
	owner    map[uint64]string
	served   map[string]int
	next     uint64
	source   *rand.Rand
}

func newShareSim() *shareSim {
	return &shareSim{
		source:   rand.New(rand.NewPCG(2, 2)),
		f:        NewFairShare(rand.New(rand.NewPCG(1, 1))),
		endTimes: map[uint64]time.Duration{},
		owner:    map[uint64]string{},
		served:   map[string]int{},
	}
}

func (sim *shareSim) offer(org string, weight int, p api.Priority, timeout time.Duration) *api.Error {
	sim.next++
	sim.owner[sim.next] = org
	job := Job{ID: sim.next, Organisation: org, Weight: weight, Priority: p, Deadline: sim.now + timeout}
	err := sim.f.Offer(sim.now, job, shareLimit)
	sim.start()
	return err
}

func (sim *shareSim) start() {
	jobs, _ := sim.f.Next(sim.now, shareLimit)
	for _, j := range jobs {
		sim.endTimes[j.ID] = sim.now + time.Duration(500+sim.source.IntN(1000))*time.Millisecond
	}
}

func (sim *shareSim) step(d time.Duration) {
	sim.now += d
	for id, end := range sim.endTimes {
		if end <= sim.now {
			delete(sim.endTimes, id)
			sim.served[sim.owner[id]]++
			sim.f.Finish(sim.now, id, true)
		}
	}
	sim.start()
}

// Under overload each organisation gets capacity by its weight; sending more or
// at a higher priority does not increase its share.
func TestFairShareByWeight(t *testing.T) {
	sim := newShareSim()
	for i := range 6000 {
		sim.step(10 * time.Millisecond)
		sim.offer("large", 1, api.PriorityLive, 5*time.Second)
		sim.offer("double", 2, api.PriorityNormal, 5*time.Second)
		if i%4 == 0 {
			sim.offer("small", 1, api.PriorityNormal, 5*time.Second)
		}
	}
	total := float64(sim.served["large"] + sim.served["double"] + sim.served["small"])
	require.InDelta(t, 8*60, total, 16, "the server is kept busy")
	require.InDelta(t, 0.25, float64(sim.served["large"])/total, 0.05, "live calls do not increase the share")
	require.InDelta(t, 0.50, float64(sim.served["double"])/total, 0.05)
	require.InDelta(t, 0.25, float64(sim.served["small"])/total, 0.05)
}

// A live job starts before jobs of lower priority that were queued earlier.
func TestFairShareLiveFirst(t *testing.T) {
	sim := newShareSim()
	for range shareLimit {
		require.Nil(t, sim.offer("a", 1, api.PriorityNormal, time.Minute))
	}
	require.Nil(t, sim.offer("a", 1, api.PriorityBatch, time.Minute))
	require.Nil(t, sim.offer("b", 1, api.PriorityNormal, time.Minute))
	require.Nil(t, sim.offer("a", 1, api.PriorityLive, time.Minute))
	live := sim.next
	sim.f.Finish(sim.now, 1, true)
	delete(sim.endTimes, 1)
	sim.start()
	require.Contains(t, sim.endTimes, live, "the live call starts first")
}

// A job that would miss its deadline or does not fit in the queue is refused when
// it is offered, and the Retry-After values of refusals do not coincide.
func TestFairShareRefusesAtOnce(t *testing.T) {
	sim := newShareSim()
	err := sim.offer("a", 1, api.PriorityLive, 100*time.Millisecond)
	require.Equal(t, api.DeadlineTooShort, err.Code)
	var waits []time.Duration
	for range 100 {
		if err := sim.offer("a", 1, api.PriorityNormal, time.Minute); err != nil {
			require.Equal(t, api.Overloaded, err.Code)
			waits = append(waits, err.RetryAfter)
		}
	}
	require.Greater(t, waits[len(waits)-1], 4*waits[0], "retries are spread over time")
}

// TestFuzzFairShare checks after random calls that no more jobs run than the
// limit allows, that each offered job is started or refused exactly once, and
// that the counts are correct.
func TestFuzzFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFairShare(rand.New(rand.NewPCG(1, 1)))
		waiting := map[uint64]string{}
		running := map[uint64]bool{}
		now, limit, next := time.Duration(0), 4, uint64(0)
		drain := func(t *rapid.T) {
			start, refused := f.Next(now, limit)
			for _, j := range start {
				require.Contains(t, waiting, j.ID)
				delete(waiting, j.ID)
				running[j.ID] = true
				require.LessOrEqual(t, len(running), limit)
			}
			for _, r := range refused {
				require.Contains(t, waiting, r.ID)
				delete(waiting, r.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
				job := Job{
					ID: next, Organisation: org, Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
					Priority: api.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
					Deadline: now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "timeout"))*time.Millisecond,
				}
				if f.Offer(now, job, limit) == nil {
					waiting[next] = org
				}
				drain(t)
			},
			"finish": func(t *rapid.T) {
				for id := range running {
					delete(running, id)
					f.Finish(now, id, rapid.Bool().Draw(t, "complete"))
					break
				}
				drain(t)
			},
			"cancel": func(t *rapid.T) {
				for id, org := range waiting {
					require.True(t, f.Cancel(org, id))
					delete(waiting, id)
					break
				}
			},
			"time":  func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond },
			"limit": func(t *rapid.T) { limit = rapid.IntRange(1, 8).Draw(t, "limit") },
			"": func(t *rapid.T) {
				require.Equal(t, len(waiting), f.Queued())
				require.Equal(t, len(running), f.Running())
				require.LessOrEqual(t, f.Organisations(), 3)
			},
		})
	})
}
