// Package clock reads the clock that goes on while the instance is suspended,
// and waits for no longer than a context lasts.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the instance was booted. Unlike the monotonic
// clock of package time it counts the time for which the instance was
// suspended, so an age measured with it is never too small.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every Linux since 2.6.39
	}
	return time.Duration(t.Nano())
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
