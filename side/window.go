package side

import (
	"context"
	"sync"
)

// window is the flow control of one answer: bytes that may still be sent.
type window struct {
	mu    sync.Mutex
	bytes int
	grown chan struct{} // holds a token after each grow
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

// take waits until the window is open and takes n bytes; the last taker may
// overdraw it by one chunk. It returns the context's error when that ends first.
func (w *window) take(ctx context.Context, n int) error {
	for {
		if w.try(n) {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-w.grown:
		}
	}
}

func (w *window) try(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bytes <= 0 {
		return false
	}
	w.bytes -= n
	return true
}
