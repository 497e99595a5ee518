package slopes

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// nanosPerCall returns the mean time of a call of f in nanoseconds.
func nanosPerCall(f func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

// processorTime returns the CPU time used by this process, or 0 if it is unknown.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
