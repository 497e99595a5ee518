package backingtest

import (
	"context"
	"errors"
	"time"
)

// Errors of a call that failed because of an outage. The call has had no effect.
var (
	errRefused = errors.New("backingtest: call refused")
	errBroken  = errors.New("backingtest: connection closed")
)

// applyFaults applies the delay and the outage of the log to a call. The call may proceed
// if it returns nil.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	delay := time.Duration(l.faults.Delay)
	l.mu.Unlock()
	if !sleep(ctx, delay) {
		return errBroken
	}
	l.mu.Lock()
	outage, faultsChanged := l.faults.Outage, l.faultsChanged
	l.mu.Unlock()
	switch outage {
	case OutageNone:
		return nil
	case OutageRefuse:
		return errRefused
	case OutageBreak:
		return errBroken
	}
	// A call that hung has no effect even if the outage ends before the caller
	// gives up.
	select {
	case <-faultsChanged:
	case <-ctx.Done():
	}
	return errBroken
}

// sleep waits for d. It returns false if ctx ended first.
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
