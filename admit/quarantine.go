package admit

import (
	"slices"
	"time"

	"marjorampitch/wire"
)

// Verdict says whether and how a request may run.
type Verdict uint8

// Verdicts, in ascending order of severity.
const (
	Run      Verdict = iota // without restriction
	RunAlone                // as a trial: with nothing else in flight, at the server that route.TrialCandidate returns
	Refuse                  // not at all, with the final answer api.Quarantined
)

// Limits of a Quarantine.
const (
	// maxCrashes is the number of crashes kept for one fingerprint; at least the
	// highest limit that a document may set.
	maxCrashes = 10
	// maxSuspects is the number of fingerprints kept; the least recently updated is evicted first.
	maxSuspects = 4096
	// SuspectTTL is how long the evidence against a fingerprint counts after its last update.
	SuspectTTL = 30 * time.Minute
	// maxChanges is the number of pieces of evidence returned by one call of ChangesSince.
	maxChanges = 1024
)

// Quarantine attributes crashes of backend servers to requests, which are
// identified by a fingerprint. Every front proxy and every sidecar keeps one,
// and they exchange new evidence by wire.Heartbeat.Suspects. Merging evidence
// is commutative and idempotent, so the order of arrival does not matter. A
// Quarantine is not safe for concurrent use.
//
// A request that was in flight at limit crashes may only run alone (a trial).
// If its server crashes during a trial, the request is refused from then on; if
// the request completes, the crashes attributed to it are cleared.
type Quarantine struct {
	limit    int
	suspects map[uint64]*suspect
	changes  []change // in ascending order of seq
	seq      uint64
}

type suspect struct {
	crashes   []wire.Suspect
	updatedAt time.Duration
}

func (s *suspect) lastUpdate() time.Duration { return s.updatedAt }

// change is one new or updated piece of evidence, in the order of arrival.
type change struct {
	seq      uint64
	evidence wire.Suspect
}

// NewQuarantine returns an empty Quarantine. limit is Limits.CrashLimit;
// values below 1 count as 1.
func NewQuarantine(limit int) *Quarantine {
	return &Quarantine{limit: max(1, limit), suspects: map[uint64]*suspect{}}
}

// SetLimit sets Limits.CrashLimit, as NewQuarantine does.
func (q *Quarantine) SetLimit(limit int) { q.limit = max(1, limit) }

// RecordCrash attributes a crash to the requests that were in flight. id
// identifies the crash: it is a hash of the backend server's name and
// incarnation. trial is set if the only request in flight was running alone
// because of the verdict RunAlone.
func (q *Quarantine) RecordCrash(id uint64, fingerprints []uint64, trial bool, now time.Duration) {
	for _, fp := range fingerprints {
		q.merge(wire.Suspect{Fingerprint: fp, Crash: id, Alone: trial}, now)
	}
}

// RecordCompletion records that a request ran to completion. It clears the
// crashes attributed to its fingerprint.
func (q *Quarantine) RecordCompletion(fingerprint uint64, now time.Duration) {
	s, ok := q.suspects[fingerprint]
	if !ok {
		return
	}
	for _, e := range slices.Clone(s.crashes) {
		e.Cleared = true
		q.merge(e, now)
	}
}

// Merge adds evidence received from a peer. What is new is also returned by
// ChangesSince, and so reaches the other peers.
func (q *Quarantine) Merge(evidence []wire.Suspect, now time.Duration) {
	for _, e := range evidence {
		q.merge(e, now)
	}
}

// merge adds one piece of evidence. Evidence that is already known has no effect.
func (q *Quarantine) merge(e wire.Suspect, now time.Duration) {
	s := q.suspects[e.Fingerprint]
	if s == nil {
		makeRoom(q.suspects, maxSuspects, SuspectTTL, now)
		s = &suspect{}
		q.suspects[e.Fingerprint] = s
	}
	i := slices.IndexFunc(s.crashes, func(k wire.Suspect) bool { return k.Crash == e.Crash })
	if i < 0 {
		if len(s.crashes) >= maxCrashes {
			return
		}
		s.crashes = append(s.crashes, e)
		q.recordChange(s, e, now)
		return
	}
	known := &s.crashes[i]
	merged := wire.Suspect{
		Fingerprint: e.Fingerprint,
		Crash:       e.Crash,
		Alone:       known.Alone || e.Alone,
		Cleared:     known.Cleared || e.Cleared,
	}
	if merged == *known {
		return
	}
	*known = merged
	q.recordChange(s, merged, now)
}

func (q *Quarantine) recordChange(s *suspect, e wire.Suspect, now time.Duration) {
	s.updatedAt = now
	q.seq++
	q.changes = append(q.changes, change{seq: q.seq, evidence: e})
	if len(q.changes) > 2*maxSuspects {
		q.compact()
	}
}

// compact keeps only the newest change of each fingerprint and crash, and drops
// those of evicted fingerprints.
func (q *Quarantine) compact() {
	seen := map[wire.Suspect]bool{}
	kept := make([]change, 0, len(q.changes))
	for _, c := range slices.Backward(q.changes) {
		id := wire.Suspect{Fingerprint: c.evidence.Fingerprint, Crash: c.evidence.Crash}
		if !seen[id] && q.suspects[id.Fingerprint] != nil {
			seen[id] = true
			kept = append(kept, c)
		}
	}
	slices.Reverse(kept)
	q.changes = kept
}

// Check returns the verdict on a request with this fingerprint.
func (q *Quarantine) Check(fingerprint uint64, now time.Duration) Verdict {
	s, ok := q.suspects[fingerprint]
	if !ok {
		return Run
	}
	if now-s.updatedAt > SuspectTTL {
		delete(q.suspects, fingerprint)
		return Run
	}
	count := 0
	for _, e := range s.crashes {
		switch {
		case e.Cleared:
		case e.Alone:
			return Refuse
		default:
			count++
		}
	}
	if count >= q.limit {
		return RunAlone
	}
	return Run
}

// ChangesSince returns the evidence added or updated after the cursor, up to a
// fixed number of pieces, and the next cursor. If there is none, the cursor is
// returned unchanged. Each end of a new connection starts at cursor 0 and sends
// all its evidence before the first request, so that both ends then hold the
// union of what they knew.
func (q *Quarantine) ChangesSince(cursor uint64) ([]wire.Suspect, uint64) {
	i, _ := slices.BinarySearchFunc(q.changes, cursor+1, func(c change, seq uint64) int {
		if c.seq < seq {
			return -1
		}
		if c.seq > seq {
			return 1
		}
		return 0
	})
	var evidence []wire.Suspect
	for _, c := range q.changes[i:] {
		if len(evidence) == maxChanges {
			break
		}
		evidence = append(evidence, c.evidence)
		cursor = c.seq
	}
	return evidence, cursor
}

// Len returns the number of fingerprints for which evidence is kept.
func (q *Quarantine) Len() int { return len(q.suspects) }
