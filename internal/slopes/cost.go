package slopes

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// nanos returns the time of one call of f in nanoseconds.
func nanos(f func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// heldBytes returns the heap and stack memory in use after a collection.
func heldBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
