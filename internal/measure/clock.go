// Package measure compares routing and admission policies on small fakes in
// virtual time: engines with a continuous batch and a prefix cache, side
// processes and entries that use the packages route and admit, and callers.
// Every run draws from a fixed seed and gives the same figures each time.
package measure

import (
	"container/heap"
	"time"
)

// clock runs events in the order of virtual time.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Duration
	seq uint64 // keeps the order of events at one time
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

// after runs do once, d from now.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.seq, do: do})
}

// every runs do at each multiple of d from now on.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

// run runs all events up to the time end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}
