package backingtest

import (
	"context"
	"errors"
	"time"
)

// Outcomes of a call that an outage stopped. Neither has any effect.
var (
	errRefuse = errors.New("backingtest: refused")
	errBreak  = errors.New("backingtest: broken off")
)

// pass waits for the delay and the outage that are set for the log.
func (l *Log) pass(ctx context.Context) error {
	l.mu.Lock()
	delay := time.Duration(l.faults.Delay)
	l.mu.Unlock()
	if !sleep(ctx, delay) {
		return errBreak
	}
	l.mu.Lock()
	outage, cleared := l.faults.Outage, l.cleared
	l.mu.Unlock()
	switch outage {
	case OutageNone:
		return nil
	case OutageRefuse:
		return errRefuse
	case OutageBreak:
		return errBreak
	}
	// A call that hung has no effect, also when the outage ends before its
	// caller is known to have given up.
	select {
	case <-cleared:
	case <-ctx.Done():
	}
	return errBreak
}

// sleep waits for d; it returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
