// Package clock reads the boot-time clock, which includes the time for which the
// instance was suspended, and provides a sleep that ends with a context.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the instance was booted (CLOCK_BOOTTIME). Unlike
// the monotonic clock of package time it includes the time for which the instance
// was suspended, so an age measured with it is never too small.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has this clock since 2.6.39
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
