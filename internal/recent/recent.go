// Package recent keeps the most recent refusals of a process for its status page.
package recent

import (
	"fmt"
	"io"
	"sync"
	"time"

	"marjorampitch/api"
)

// capacity is the number of refusals kept.
const capacity = 32

// Refusal is a refused request as shown on the status page.
type Refusal struct {
	At        time.Time `json:"at"`
	RequestID string    `json:"request_id"`
	Code      api.Code  `json:"code"`
	Name      string    `json:"name"`
	Detail    string    `json:"detail"`
}

// RefusalBuffer is a ring buffer of the most recent refusals. The zero value is empty and
// ready to use. It is safe for concurrent use.
type RefusalBuffer struct {
	mu    sync.Mutex
	ring  [capacity]Refusal
	added int // number of refusals added so far
}

// Add records a refusal.
func (b *RefusalBuffer) Add(requestID string, e *api.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ring[b.added%capacity] = Refusal{
		At:        time.Now(),
		RequestID: requestID,
		Code:      e.Code,
		Name:      e.Code.Info().Name,
		Detail:    e.Detail,
	}
	b.added++
}

// Last returns the refusals kept, newest first.
func (b *RefusalBuffer) Last() []Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := min(b.added, capacity)
	out := make([]Refusal, count)
	for i := range out {
		out[i] = b.ring[(b.added-1-i)%capacity]
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
