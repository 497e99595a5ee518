// Package recent keeps the last refusals of a process for its status page.
package recent

import (
	"fmt"
	"io"
	"sync"
	"time"

	"marjorampitch/api"
)

// size is the number of refusals kept.
const size = 32

// Refusal is one refusal as the status page shows it.
type Refusal struct {
	At        time.Time `json:"at"`
	RequestID string    `json:"request_id"`
	Code      api.Code  `json:"code"`
	Name      string    `json:"name"`
	Detail    string    `json:"detail"`
}

// Log is a ring of the last refusals; it is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	ring [size]Refusal
	next int // number of refusals ever added
}

// Add records a refusal.
func (l *Log) Add(requestID string, e *api.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next%size] = Refusal{
		At:        time.Now(),
		RequestID: requestID,
		Code:      e.Code,
		Name:      e.Code.Info().Name,
		Detail:    e.Detail,
	}
	l.next++
}

// Last returns the kept refusals, the newest first.
func (l *Log) Last() []Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := min(l.next, size)
	out := make([]Refusal, count)
	for i := range out {
		out[i] = l.ring[(l.next-1-i)%size]
	}
	return out
}

// WriteText writes refusals as a table with tab-separated columns.
func WriteText(w io.Writer, refusals []Refusal) {
	fmt.Fprintln(w, "REFUSED AT\tREQUEST\tCODE\tNAME\tDETAIL")
	for _, r := range refusals {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", r.At.Format(time.RFC3339Nano), r.RequestID, int(r.Code), r.Name, r.Detail)
	}
}
