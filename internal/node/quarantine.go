package node

import (
	"sync"
	"time"

	"marjorampitch/admit"
	"marjorampitch/wire"
)

// defaultCrashLimit is the number of crashes after which a request may only run
// alone, while there is no document.
const defaultCrashLimit = 2

// Quarantine is the quarantine of requests that crash backend servers, as known to
// this process. It is safe for concurrent use; no other lock is acquired while its
// own is held.
type Quarantine struct {
	start  time.Time
	config ConfigView

	mu      sync.Mutex
	state   *admit.Quarantine
	cursors map[*wire.Conn]uint64 // position up to which evidence was sent, by connection
}

func newQuarantine(config ConfigView) *Quarantine {
	return &Quarantine{
		start:   time.Now(),
		config:  config,
		state:   admit.NewQuarantine(defaultCrashLimit),
		cursors: make(map[*wire.Conn]uint64),
	}
}

func (q *Quarantine) now() time.Duration { return time.Since(q.start) }

// Check returns whether, and how, a request with this fingerprint may run now.
func (q *Quarantine) Check(fingerprint uint64) admit.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	if doc := q.config.Document(); doc != nil {
		q.state.SetLimit(doc.Doc.Limits.CrashLimit)
	}
	return q.state.Check(fingerprint, q.now())
}

// RecordCrash records a crash of a backend server during which the requests with
// these fingerprints were running; see admit.Quarantine.RecordCrash.
func (q *Quarantine) RecordCrash(id uint64, fingerprints []uint64, trial bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.RecordCrash(id, fingerprints, trial, q.now())
}

// RecordCompletion records that a request with this fingerprint ran to completion;
// see admit.Quarantine.RecordCompletion.
func (q *Quarantine) RecordCompletion(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.RecordCompletion(fingerprint, q.now())
}

// merge adds evidence received from a peer.
func (q *Quarantine) merge(evidence []wire.Suspect) {
	if len(evidence) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.Merge(evidence, q.now())
}

// unsent returns evidence that was not yet sent on c and marks it as sent. One
// call returns a bounded number of pieces; see admit.Quarantine.ChangesSince.
func (q *Quarantine) unsent(c *wire.Conn) []wire.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	evidence, next := q.state.ChangesSince(q.cursors[c])
	q.cursors[c] = next
	return evidence
}

func (q *Quarantine) connClosed(c *wire.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.cursors, c)
}
