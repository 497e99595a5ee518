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

// shareWorld drives a FairShare with jobs of half a second to one and a half.
type shareWorld struct {
	f      *FairShare
	now    time.Duration
	ends   map[uint64]time.Duration
	owner  map[uint64]string
	served map[string]int
	next   uint64
	source *rand.Rand
}

func newShareWorld() *shareWorld {
	return &shareWorld{
		source: rand.New(rand.NewPCG(2, 2)),
		f:      NewFairShare(rand.New(rand.NewPCG(1, 1))),
		ends:   map[uint64]time.Duration{},
		owner:  map[uint64]string{},
		served: map[string]int{},
	}
}

func (w *shareWorld) offer(org string, weight int, p api.Priority, patience time.Duration) *api.Error {
	w.next++
	w.owner[w.next] = org
	job := Job{ID: w.next, Organisation: org, Weight: weight, Priority: p, Deadline: w.now + patience}
	err := w.f.Offer(w.now, job, shareLimit)
	w.start()
	return err
}

func (w *shareWorld) start() {
	jobs, _ := w.f.Next(w.now, shareLimit)
	for _, j := range jobs {
		w.ends[j.ID] = w.now + time.Duration(500+w.source.IntN(1000))*time.Millisecond
	}
}

func (w *shareWorld) step(d time.Duration) {
	w.now += d
	for id, end := range w.ends {
		if end <= w.now {
			delete(w.ends, id)
			w.served[w.owner[id]]++
			w.f.Finish(w.now, id, true)
		}
	}
	w.start()
}

func TestFairShareByWeight(t *testing.T) {
	w := newShareWorld()
	for i := range 6000 {
		w.step(10 * time.Millisecond)
		w.offer("large", 1, api.PriorityLive, 5*time.Second)
		w.offer("double", 2, api.PriorityNormal, 5*time.Second)
		if i%4 == 0 {
			w.offer("small", 1, api.PriorityNormal, 5*time.Second)
		}
	}
	total := float64(w.served["large"] + w.served["double"] + w.served["small"])
	require.InDelta(t, 8*60, total, 16, "the server is kept busy")
	require.InDelta(t, 0.25, float64(w.served["large"])/total, 0.05, "live calls do not buy a larger share")
	require.InDelta(t, 0.50, float64(w.served["double"])/total, 0.05)
	require.InDelta(t, 0.25, float64(w.served["small"])/total, 0.05)
}

func TestFairShareLiveFirst(t *testing.T) {
	w := newShareWorld()
	for range shareLimit {
		require.Nil(t, w.offer("a", 1, api.PriorityNormal, time.Minute))
	}
	require.Nil(t, w.offer("a", 1, api.PriorityBatch, time.Minute))
	require.Nil(t, w.offer("b", 1, api.PriorityNormal, time.Minute))
	require.Nil(t, w.offer("a", 1, api.PriorityLive, time.Minute))
	live := w.next
	w.f.Finish(w.now, 1, true)
	delete(w.ends, 1)
	w.start()
	require.Contains(t, w.ends, live, "the live call starts first")
}

func TestFairShareRefusesAtOnce(t *testing.T) {
	w := newShareWorld()
	err := w.offer("a", 1, api.PriorityLive, 100*time.Millisecond)
	require.Equal(t, api.DeadlineTooShort, err.Code)
	var waits []time.Duration
	for range 100 {
		if err := w.offer("a", 1, api.PriorityNormal, time.Minute); err != nil {
			require.Equal(t, api.Overloaded, err.Code)
			waits = append(waits, err.RetryAfter)
		}
	}
	require.Greater(t, waits[len(waits)-1], 4*waits[0], "returns are spread")
}

// TestFuzzFairShare checks after any calls: never more than the limit runs,
// every offered job gets exactly one answer, and the counts are right.
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
					Deadline: now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "patience"))*time.Millisecond,
				}
				if f.Offer(now, job, limit) == nil {
					waiting[next] = org
				}
				drain(t)
			},
			"finish": func(t *rapid.T) {
				for id := range running {
					delete(running, id)
					f.Finish(now, id, rapid.Bool().Draw(t, "whole"))
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
