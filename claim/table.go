package claim

import (
	"time"
	"unique"

	"marjorampitch/backing"
)

// MaxKeyAge is how much older than the newest key of its partition a key may be
// and still be claimed. It is part of the stored format: every reader must use
// the same value, and no KeyLimits.MaxAge may exceed it.
const MaxKeyAge = 24 * time.Hour

// bucketMillis is the granularity in which a Table and a KeyTable forget keys.
const bucketMillis = int64(time.Minute / time.Millisecond)

// KeyPhase is what the log says of a key.
type KeyPhase uint8

// Phases of a key.
const (
	KeyFree      KeyPhase = iota // no claim, or the last one was released
	KeyHeld                      // claimed; what became of the call is not recorded
	KeyCompleted                 // ran; the answer is recorded
)

// View is a Table's knowledge of one key.
type View struct {
	Phase           KeyPhase
	Known           bool   // the fields below are set
	Fingerprint     uint64 // of the first claim; stays after a release
	Offset          backing.Offset
	OutcomeOffset   backing.Offset // of the Outcome record, in phase KeyCompleted
	Side            string         // named by the claim
	SideIncarnation string
	TooOld          bool // the key is older than MaxKeyAge: no claim of it counts
}

// Verdict is what the log says of one claim record.
type Verdict uint8

// Verdicts on a claim record.
const (
	VerdictNone     Verdict = iota // the record is no claim
	VerdictWon                     // it holds the key
	VerdictLost                    // the key was held or ended
	VerdictConflict                // the key was used with other content
	VerdictExpired                 // it lies beyond its ValidUntil
	VerdictTooOld                  // the key is older than MaxKeyAge
)

// ApplyResult is the result of applying one record.
type ApplyResult struct {
	Offset   backing.Offset
	Key      Key
	Verdict  Verdict
	Claimant string // of a claim record
	Nonce    uint64 // of a claim record
}

// slot is what a Table keeps of a key.
type slot struct {
	fingerprint uint64
	offset      int64
	outcome     int64
	side        unique.Handle[string]
	incarnation unique.Handle[string]
	phase       KeyPhase
}

// Table is the fold of one claim stream. Two Tables that applied the same
// records agree; nothing but the records enters. It is not safe for
// concurrent use.
type Table struct {
	end     backing.Offset // next offset to apply
	newest  int64          // newest birth of a valid claim's key, in Unix milliseconds
	slots   map[Key]slot
	buckets map[int64][]Key // keys by birth / bucketMillis
	oldest  int64           // no bucket below this one is kept
}

// NewTable returns the fold of a stream from the offset on, which must be the
// first retained one.
func NewTable(from backing.Offset) *Table {
	return &Table{
		end:     from,
		slots:   make(map[Key]slot),
		buckets: make(map[int64][]Key),
	}
}

// End returns the offset of the next record to apply.
func (t *Table) End() backing.Offset { return t.end }

// Len returns the number of keys kept.
func (t *Table) Len() int { return len(t.slots) }

// horizon returns the birth before which keys can no longer be claimed.
func (t *Table) horizon() int64 { return t.newest - MaxKeyAge.Milliseconds() }

// Get returns what the log says of k.
func (t *Table) Get(k Key) View {
	v := View{TooOld: k.Timestamp() < t.horizon()}
	s, ok := t.slots[k]
	if !ok {
		return v
	}
	v.Phase = s.phase
	v.Known = true
	v.Fingerprint = s.fingerprint
	v.Offset = backing.Offset(s.offset)
	v.OutcomeOffset = backing.Offset(s.outcome)
	v.Side = s.side.Value()
	v.SideIncarnation = s.incarnation.Value()
	return v
}

// Apply folds the next record in. Records that cannot be decoded and kinds
// that are not known count for nothing.
func (t *Table) Apply(rec backing.Record) ApplyResult {
	t.end = rec.Offset + 1
	j := ApplyResult{Offset: rec.Offset}
	r, err := decode(rec.Data)
	if err != nil {
		return j
	}
	switch r := r.(type) {
	case *Claim:
		j.Key, j.Claimant, j.Nonce = r.Key, r.Claimant, r.Nonce
		j.Verdict = t.claim(rec.Offset, r)
	case *Outcome:
		j.Key = r.Key
		t.outcome(rec.Offset, r)
	case *Release:
		j.Key = r.Key
		t.release(r)
	}
	return j
}

// claim judges a claim record and lets it hold the key when it wins.
func (t *Table) claim(at backing.Offset, c *Claim) Verdict {
	if int64(at) > c.ValidUntil {
		return VerdictExpired
	}
	if c.Key.Timestamp() < t.horizon() {
		return VerdictTooOld
	}
	s, known := t.slots[c.Key]
	if known && s.fingerprint != c.Fingerprint {
		return VerdictConflict
	}
	if known && s.phase != KeyFree {
		return VerdictLost
	}
	if !known {
		t.remember(c.Key)
	}
	t.slots[c.Key] = slot{
		fingerprint: c.Fingerprint,
		offset:      int64(at),
		outcome:     int64(backing.None),
		side:        unique.Make(c.Side),
		incarnation: unique.Make(c.SideIncarnation),
		phase:       KeyHeld,
	}
	t.advance(c.Key.Timestamp())
	return VerdictWon
}

// outcome ends the key if the record belongs to the claim that holds it.
func (t *Table) outcome(at backing.Offset, o *Outcome) {
	s, ok := t.slots[o.Key]
	if !ok || s.phase != KeyHeld || s.offset != o.Offset {
		return
	}
	s.phase = KeyCompleted
	s.outcome = int64(at)
	t.slots[o.Key] = s
}

// release frees the key if the record belongs to the claim that holds it.
func (t *Table) release(r *Release) {
	s, ok := t.slots[r.Key]
	if !ok || s.phase != KeyHeld || s.offset != r.Offset {
		return
	}
	s.phase = KeyFree
	t.slots[r.Key] = s
}

// remember files a new key under its birth.
func (t *Table) remember(k Key) {
	b := k.Timestamp() / bucketMillis
	t.buckets[b] = append(t.buckets[b], k)
}

// advance moves the horizon and forgets the buckets that lie wholly before it.
// What is forgotten can't be claimed again: claim checks the horizon first.
func (t *Table) advance(birth int64) {
	if birth <= t.newest {
		return
	}
	t.newest = birth
	limit := t.horizon() / bucketMillis
	if limit <= t.oldest {
		return
	}
	t.oldest = limit
	for b, keys := range t.buckets {
		if b >= limit {
			continue
		}
		for _, k := range keys {
			delete(t.slots, k)
		}
		delete(t.buckets, b)
	}
}
