package admit

import (
	"slices"
	"time"

	"marjorampitch/wire"
)

// Verdict says how a request may run.
type Verdict uint8

// Verdicts, from the mildest.
const (
	Run      Verdict = iota // like any other
	RunAlone                // with nothing else in flight, at the server that route.Trial names
	Refuse                  // never again: api.Quarantined
)

// Bounds on what a Quarantine remembers.
const (
	// maxCrashes is the number of crashes kept for one fingerprint.
	maxCrashes = 8
	// maxSuspects is the number of fingerprints kept; the one unheard of for longest goes first.
	maxSuspects = 4096
	// SuspectTTL is how long evidence counts after it was last heard of.
	SuspectTTL = 30 * time.Minute
	// maxChanges is the number of pieces of evidence in one message.
	maxChanges = 1024
)

// Quarantine attributes crashes of backend servers to requests. Every entry
// and every side process keeps one; they exchange what is new by
// wire.Heartbeat.Suspects, and the union of their evidence is the same in any
// order of arrival. It is not safe for concurrent use.
//
// A fingerprint that was in flight at limit crashes runs alone. If it crashes
// its server then, it is refused for good; if it completes, all its crashes
// are cleared.
type Quarantine struct {
	limit    int
	suspects map[uint64]*suspect
	news     []change // in ascending order of seq
	seq      uint64
}

type suspect struct {
	crashes []wire.Suspect
	heard   time.Duration
}

// change is one piece of evidence and when it was learnt.
type change struct {
	seq      uint64
	evidence wire.Suspect
}

// NewQuarantine returns an empty quarantine. limit is Limits.CrashLimit.
func NewQuarantine(limit int) *Quarantine {
	return &Quarantine{limit: max(1, limit), suspects: map[uint64]*suspect{}}
}

// RecordCrash records a crash. id is unique to it: a hash of the backend server's
// name and incarnation. fingerprints are those in flight; trial says that the
// only one of them was running alone by a RunAlone verdict.
func (q *Quarantine) RecordCrash(id uint64, fingerprints []uint64, trial bool, now time.Duration) {
	for _, fp := range fingerprints {
		q.add(wire.Suspect{Fingerprint: fp, Crash: id, Alone: trial}, now)
	}
}

// RecordCompletion records that a request ran whole: what it was suspected of is cleared.
func (q *Quarantine) RecordCompletion(fingerprint uint64, now time.Duration) {
	s, ok := q.suspects[fingerprint]
	if !ok {
		return
	}
	for _, e := range slices.Clone(s.crashes) {
		e.Cleared = true
		q.add(e, now)
	}
}

// Merge takes evidence from a peer. Evidence that is new is passed on.
func (q *Quarantine) Merge(evidence []wire.Suspect, now time.Duration) {
	for _, e := range evidence {
		q.add(e, now)
	}
}

// add joins one piece of evidence; what is known already changes nothing.
func (q *Quarantine) add(e wire.Suspect, now time.Duration) {
	s := q.suspects[e.Fingerprint]
	if s == nil {
		q.makeRoom(now)
		s = &suspect{}
		q.suspects[e.Fingerprint] = s
	}
	i := slices.IndexFunc(s.crashes, func(k wire.Suspect) bool { return k.Crash == e.Crash })
	if i < 0 {
		if len(s.crashes) >= maxCrashes {
			return
		}
		s.crashes = append(s.crashes, e)
		q.publish(s, e, now)
		return
	}
	known := &s.crashes[i]
	joined := wire.Suspect{
		Fingerprint: e.Fingerprint,
		Crash:       e.Crash,
		Alone:       known.Alone || e.Alone,
		Cleared:     known.Cleared || e.Cleared,
	}
	if joined == *known {
		return
	}
	*known = joined
	q.publish(s, joined, now)
}

func (q *Quarantine) publish(s *suspect, e wire.Suspect, now time.Duration) {
	s.heard = now
	q.seq++
	q.news = append(q.news, change{seq: q.seq, evidence: e})
	if len(q.news) > 2*maxSuspects {
		q.compact()
	}
}

// compact rewrites the news so that each piece of evidence is in it once.
func (q *Quarantine) compact() {
	seen := map[wire.Suspect]bool{}
	kept := make([]change, 0, len(q.news))
	for _, c := range slices.Backward(q.news) {
		id := wire.Suspect{Fingerprint: c.evidence.Fingerprint, Crash: c.evidence.Crash}
		if !seen[id] && q.suspects[id.Fingerprint] != nil {
			seen[id] = true
			kept = append(kept, c)
		}
	}
	slices.Reverse(kept)
	q.news = kept
}

// makeRoom forgets evidence that has expired, and the oldest when there is no room.
func (q *Quarantine) makeRoom(now time.Duration) {
	if len(q.suspects) < maxSuspects {
		return
	}
	oldest, at := uint64(0), time.Duration(1<<62)
	for fp, s := range q.suspects {
		if now-s.heard > SuspectTTL {
			delete(q.suspects, fp)
			continue
		}
		if s.heard < at || s.heard == at && fp < oldest {
			oldest, at = fp, s.heard
		}
	}
	if len(q.suspects) >= maxSuspects {
		delete(q.suspects, oldest)
	}
}

// Check says how a request with this fingerprint may run now.
func (q *Quarantine) Check(fingerprint uint64, now time.Duration) Verdict {
	s, ok := q.suspects[fingerprint]
	if !ok {
		return Run
	}
	if now-s.heard > SuspectTTL {
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

// ChangesSince returns evidence learnt after the cursor, and the next cursor, which
// is the argument when there is no more. A new connection starts at cursor 0
// and sends all there is before its first request, so that the two ends
// together know at least what either knew.
func (q *Quarantine) ChangesSince(cursor uint64) ([]wire.Suspect, uint64) {
	i, _ := slices.BinarySearchFunc(q.news, cursor+1, func(c change, seq uint64) int {
		if c.seq < seq {
			return -1
		}
		if c.seq > seq {
			return 1
		}
		return 0
	})
	var evidence []wire.Suspect
	for _, c := range q.news[i:] {
		if len(evidence) == maxChanges {
			break
		}
		evidence = append(evidence, c.evidence)
		cursor = c.seq
	}
	return evidence, cursor
}

// Len returns the number of fingerprints under suspicion.
func (q *Quarantine) Len() int { return len(q.suspects) }
