package side

import (
	"context"
	"sync"
)

// window is the flow-control window of one response: the number of bytes that may
// still be sent.
type window struct {
	mu    sync.Mutex
	bytes int
	grown chan struct{} // has a value after a call of grow
}

func newWindow(bytes uint32) *window {
	return &window{bytes: int(bytes), grown: make(chan struct{}, 1)}
}

// grow adds bytes to the window.
func (w *window) grow(bytes uint32) {
	w.mu.Lock()
	w.bytes += int(bytes)
	w.mu.Unlock()
	select {
	case w.grown <- struct{}{}:
	default:
	}
}

// take waits until the window is positive and subtracts n, so the window may become
// negative by less than n. take returns the cause of ctx if ctx ends first.
func (w *window) take(ctx context.Context, n int) error {
	for {
		if w.tryTake(n) {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-w.grown:
		}
	}
}

func (w *window) tryTake(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bytes <= 0 {
		return false
	}
	w.bytes -= n
	return true
}
