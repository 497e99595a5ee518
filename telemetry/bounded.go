package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Bounded is a writer that never blocks: lines wait in a queue, and those that
// find it full are left out and counted. A reader that never reads delays
// nobody. It is safe for concurrent use.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing sync.Once
	done    chan struct{}
}

// NewBounded returns a writer before out with room for a number of lines.
func NewBounded(out io.Writer, room int) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, room), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		if line == nil {
			return
		}
		b.out.Write(line) //nolint:errcheck // nobody is left to be told
		if n := b.dropped.Swap(0); n > 0 {
			fmt.Fprintf(b.out, "level=warn msg=lines-dropped count=%d\n", n)
		}
	}
}

// Close writes out what is queued, as far as the reader takes it, when that
// needs no waiting for room. done is closed when all is written.
func (b *Bounded) Close() (done <-chan struct{}) {
	b.closing.Do(func() {
		select {
		case b.lines <- nil:
		default:
		}
	})
	return b.done
}
