// Package measure compares routing and admission policies in a discrete-event
// simulation. Engines with continuous batching and a prefix cache, and clients,
// are simulated; sidecars and front proxies use the packages admit and route.
// Every run uses a fixed seed, so its results are reproducible.
package measure

import (
	"container/heap"
	"time"
)

// clock is the virtual clock and event queue of the simulation.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Duration
	seq uint64 // order among events of the same time
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// after schedules do to run once, d from now.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.seq, do: do})
}

// every schedules do to run every d, first d from now.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

// run runs all events up to and including the time end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}
