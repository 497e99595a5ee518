package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what happens, with the time since the start.
type record struct {
	start time.Time
	mu    sync.Mutex // guards w
	w     io.Writer
}

func newRecord(w io.Writer) *record { return &record{start: time.Now(), w: w} }

func (r *record) now() time.Duration { return time.Since(r.start) }

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}
