package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// LogWriter is an io.Writer for log lines that never blocks, even if the reader of
// the log does not read. Lines are queued; a line that finds the queue full is
// dropped and counted. In addition, the lines of each kind, which is the value of
// msg=, are limited per second. A LogWriter is safe for concurrent use.
type LogWriter struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64 // lines dropped since the last report
	closeOnce sync.Once
	closing   chan struct{} // closed by Close
	done      chan struct{} // closed when the last line is written
	perKind   int           // lines accepted of one kind per second

	mu          sync.Mutex     // guards the fields below
	windowStart time.Time      // start of the current second
	counts      map[string]int // lines in the current second, by kind
}

// NewLogWriter returns a LogWriter that writes to out, queues up to capacity lines
// and accepts up to perKind lines of each kind per second.
func NewLogWriter(out io.Writer, capacity, perKind int) *LogWriter {
	w := &LogWriter{
		out: out, lines: make(chan []byte, capacity), closing: make(chan struct{}), done: make(chan struct{}), perKind: perKind,
		windowStart: time.Now(), counts: make(map[string]int),
	}
	go w.run()
	return w
}

// maxLineBytes is the length from which on a line is cut: lines hold what callers send, such
// as ids of requests, and up to a whole queue of them waits.
const maxLineBytes = 4 << 10

// cutMark ends a line that was cut.
const cutMark = "... cut\n"

// bounded returns a copy of line of maxLineBytes at most.
func bounded(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	return append(append([]byte(nil), line[:maxLineBytes-len(cutMark)]...), cutMark...)
}

// Write queues one line, of maxLineBytes at most. It never returns an error.
func (w *LogWriter) Write(line []byte) (int, error) {
	reports, exceeded := w.limit(messageKind(line))
	for _, l := range reports {
		w.queue(l)
	}
	if !exceeded {
		w.queue(bounded(line))
	}
	return len(line), nil
}

func (w *LogWriter) queue(line []byte) {
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
}

// limit counts a line of a kind and reports whether it exceeds the limit. After the
// end of a second it also returns lines that report the number suppressed in it.
func (w *LogWriter) limit(kind string) (reports [][]byte, exceeded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.windowStart) >= time.Second {
		for k, n := range w.counts {
			if n > w.perKind {
				reports = append(reports, fmt.Appendf(nil, "level=warn msg=lines-limited kind=%s count=%d\n", k, n-w.perKind))
			}
		}
		w.windowStart = now
		clear(w.counts)
	}
	w.counts[kind]++
	return reports, w.counts[kind] > w.perKind
}

// messageKind returns the value of msg= in a line; empty for none.
func messageKind(line []byte) string {
	_, rest, _ := bytes.Cut(line, []byte(" msg="))
	kind, _, _ := bytes.Cut(rest, []byte(" "))
	return string(bytes.TrimSpace(kind))
}

func (w *LogWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeOut(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

// drain writes the queued lines.
func (w *LogWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeOut(line)
		default:
			return
		}
	}
}

// writeOut writes a line, and the number of lines dropped before it.
func (w *LogWriter) writeOut(line []byte) {
	w.out.Write(line) //nolint:errcheck // there is no other output to report the error to
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "level=warn msg=lines-dropped count=%d\n", n)
	}
}

// Close makes w stop once it has written the queued lines; done is closed then. It
// is never closed if the reader of the log does not read. Lines written after Close
// may be lost.
func (w *LogWriter) Close() (done <-chan struct{}) {
	w.closeOnce.Do(func() { close(w.closing) })
	return w.done
}
