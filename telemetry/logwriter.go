package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// LogWriter is a writer that never blocks: lines wait in a queue, and those that
// find it full are left out and counted. A reader that never reads delays
// nobody. Of each kind of line, named by msg=, a number a second is let
// through. It is safe for concurrent use.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing sync.Once
	done    chan struct{}
	perKind int

	mu     sync.Mutex // guards all below
	second time.Time  // when the present second began
	count  map[string]int
}

// NewLogWriter returns a writer before out with room for a number of lines, of
// each kind perKind a second.
func NewLogWriter(out io.Writer, room, perKind int) *LogWriter {
	b := &LogWriter{
		out: out, lines: make(chan []byte, room), done: make(chan struct{}), perKind: perKind,
		second: time.Now(), count: make(map[string]int),
	}
	go b.run()
	return b
}

// Write queues one line. It never fails.
func (b *LogWriter) Write(line []byte) (int, error) {
	limited, over := b.limit(kindOf(line))
	for _, l := range limited {
		b.queue(l)
	}
	if !over {
		b.queue(append([]byte(nil), line...))
	}
	return len(line), nil
}

func (b *LogWriter) queue(line []byte) {
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
}

// limit counts a line of a kind. It reports whether the line is one too many,
// and returns the lines that tell of those left out in the last second.
func (b *LogWriter) limit(kind string) (limited [][]byte, over bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.second) >= time.Second {
		for k, n := range b.count {
			if n > b.perKind {
				limited = append(limited, fmt.Appendf(nil, "level=warn msg=lines-limited kind=%s count=%d\n", k, n-b.perKind))
			}
		}
		b.second = now
		clear(b.count)
	}
	b.count[kind]++
	return limited, b.count[kind] > b.perKind
}

// kindOf is the value of msg= in a line; empty for none.
func kindOf(line []byte) string {
	_, rest, _ := bytes.Cut(line, []byte(" msg="))
	kind, _, _ := bytes.Cut(rest, []byte(" "))
	return string(bytes.TrimSpace(kind))
}

func (b *LogWriter) run() {
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
func (b *LogWriter) Close() (done <-chan struct{}) {
	b.closing.Do(func() {
		select {
		case b.lines <- nil:
		default:
		}
	})
	return b.done
}
