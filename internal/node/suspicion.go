package node

import (
	"sync"
	"time"

	"marjorampitch/admit"
	"marjorampitch/wire"
)

// crashLimit is the number of crashes after which a request runs alone, until
// a document says otherwise.
const crashLimit = 2

// Quarantine is the process's quarantine of requests that crash backend
// servers. It is safe for concurrent use; no other lock is taken under its own.
type Quarantine struct {
	start time.Time

	mu         sync.Mutex
	quarantine *admit.Quarantine
	cursors    map[*wire.Conn]uint64 // what each peer was told
}

func newSuspicion() *Quarantine {
	return &Quarantine{
		start:      time.Now(),
		quarantine: admit.NewQuarantine(crashLimit),
		cursors:    make(map[*wire.Conn]uint64),
	}
}

func (s *Quarantine) now() time.Duration { return time.Since(s.start) }

// Check says how a request with this fingerprint may run now.
func (s *Quarantine) Check(fingerprint uint64) admit.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Check(fingerprint, s.now())
}

// RecordCrash records a crash of a backend server; see admit.Quarantine.RecordCrash.
func (s *Quarantine) RecordCrash(id uint64, fingerprints []uint64, trial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.RecordCrash(id, fingerprints, trial, s.now())
}

// RecordCompletion records that a request ran whole.
func (s *Quarantine) RecordCompletion(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.RecordCompletion(fingerprint, s.now())
}

// merge takes what a peer knows.
func (s *Quarantine) merge(evidence []wire.Suspect) {
	if len(evidence) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Merge(evidence, s.now())
}

// news returns what the peer behind c was not told yet.
func (s *Quarantine) news(c *wire.Conn) []wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	evidence, next := s.quarantine.ChangesSince(s.cursors[c])
	s.cursors[c] = next
	return evidence
}

func (s *Quarantine) gone(c *wire.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cursors, c)
}
