package claim

import (
	"time"
	"unique"

	"marjorampitch/backing"
)

// MaxKeyAge is the maximum age of a key that can be claimed, relative to the newest
// claimed key of its partition. It is part of the stored format: every reader must use
// the same value, and KeyLimits.MaxAge must not exceed it.
const MaxKeyAge = 24 * time.Hour

// bucketMillis is the granularity, in milliseconds, of key eviction in Table and
// KeyTable.
const bucketMillis = int64(time.Minute / time.Millisecond)

// KeyPhase is the phase of a key according to the log.
type KeyPhase uint8

// Phases of a key.
const (
	KeyFree      KeyPhase = iota // no claim, or the last one was released
	KeyHeld                      // claimed; no outcome is stored
	KeyCompleted                 // the call ran; its answer is stored
)

// View is a snapshot of one key in a Table.
type View struct {
	Phase           KeyPhase
	Known           bool           // the Table holds the key and the fields below, except TooOld, are set
	Fingerprint     uint64         // content hash of the first claim; kept after a release
	Offset          backing.Offset // offset of the latest winning claim
	OutcomeOffset   backing.Offset // offset of the Outcome record in phase KeyCompleted, else backing.NoOffset
	Side            string         // sidecar named by the claim
	SideIncarnation string
	TooOld          bool // the key is older than MaxKeyAge and cannot be claimed
}

// Verdict is the result of applying a claim record.
type Verdict uint8

// Verdicts on a record.
const (
	VerdictNone     Verdict = iota // the record is not a claim
	VerdictWon                     // the claim holds the key
	VerdictLost                    // the key was held or completed
	VerdictConflict                // the key was claimed for a call with other content
	VerdictExpired                 // the offset of the record is beyond its ValidUntil
	VerdictTooOld                  // the key is older than MaxKeyAge
)

// ApplyResult describes a record that Table.Apply has processed: its key and, for a
// claim, whether it holds the key.
type ApplyResult struct {
	Offset   backing.Offset
	Key      Key
	Verdict  Verdict
	Claimant string // set for a claim record
	Nonce    uint64 // set for a claim record
}

// keyState is the state of one key in a Table.
type keyState struct {
	fingerprint   uint64
	offset        int64
	outcomeOffset int64
	side          unique.Handle[string]
	incarnation   unique.Handle[string]
	phase         KeyPhase
}

// Table is the state derived from one claim stream. It depends only on the records:
// two Tables that applied the same records are equal. It is not safe for concurrent
// use.
type Table struct {
	end             backing.Offset // next offset to apply
	newestTimestamp int64          // newest key timestamp of a winning claim, in Unix milliseconds
	keys            map[Key]keyState
	buckets         map[int64][]Key // keys by timestamp / bucketMillis
	oldestBucket    int64           // lower buckets are evicted
}

// NewTable returns the Table of a stream before its record at offset from is applied.
// from must be the first retained offset.
func NewTable(from backing.Offset) *Table {
	return &Table{
		end:     from,
		keys:    make(map[Key]keyState),
		buckets: make(map[int64][]Key),
	}
}

// End returns the offset of the next record to apply.
func (t *Table) End() backing.Offset { return t.end }

// Len returns the number of keys in the Table.
func (t *Table) Len() int { return len(t.keys) }

// horizon returns the oldest timestamp, in Unix milliseconds, of a key that can be
// claimed.
func (t *Table) horizon() int64 { return t.newestTimestamp - MaxKeyAge.Milliseconds() }

// Get returns the state of k. It is the zero View, apart from TooOld, for a key that
// the Table does not hold.
func (t *Table) Get(k Key) View {
	v := View{TooOld: k.Timestamp() < t.horizon()}
	s, ok := t.keys[k]
	if !ok {
		return v
	}
	v.Phase = s.phase
	v.Known = true
	v.Fingerprint = s.fingerprint
	v.Offset = backing.Offset(s.offset)
	v.OutcomeOffset = backing.Offset(s.outcomeOffset)
	v.Side = s.side.Value()
	v.SideIncarnation = s.incarnation.Value()
	return v
}

// Apply applies the next record. Invalid records and records of unknown kinds are
// ignored.
func (t *Table) Apply(rec backing.Record) ApplyResult {
	t.end = rec.Offset + 1
	res := ApplyResult{Offset: rec.Offset}
	r, err := decode(rec.Data)
	if err != nil {
		return res
	}
	switch r := r.(type) {
	case *Claim:
		res.Key, res.Claimant, res.Nonce = r.Key, r.Claimant, r.Nonce
		res.Verdict = t.applyClaim(rec.Offset, r)
	case *Outcome:
		res.Key = r.Key
		t.applyOutcome(rec.Offset, r)
	case *Release:
		res.Key = r.Key
		t.applyRelease(r)
	}
	return res
}

// applyClaim returns the verdict on a claim record. A winning claim then holds the key.
func (t *Table) applyClaim(at backing.Offset, c *Claim) Verdict {
	if int64(at) > c.ValidUntil {
		return VerdictExpired
	}
	if c.Key.Timestamp() < t.horizon() {
		return VerdictTooOld
	}
	s, known := t.keys[c.Key]
	if known && s.fingerprint != c.Fingerprint {
		return VerdictConflict
	}
	if known && s.phase != KeyFree {
		return VerdictLost
	}
	if !known {
		t.addToBucket(c.Key)
	}
	t.keys[c.Key] = keyState{
		fingerprint:   c.Fingerprint,
		offset:        int64(at),
		outcomeOffset: int64(backing.NoOffset),
		side:          unique.Make(c.Side),
		incarnation:   unique.Make(c.SideIncarnation),
		phase:         KeyHeld,
	}
	t.advanceHorizon(c.Key.Timestamp())
	return VerdictWon
}

// applyOutcome completes the key if the record belongs to the claim that holds it.
func (t *Table) applyOutcome(at backing.Offset, o *Outcome) {
	s, ok := t.keys[o.Key]
	if !ok || s.phase != KeyHeld || s.offset != o.Offset {
		return
	}
	s.phase = KeyCompleted
	s.outcomeOffset = int64(at)
	t.keys[o.Key] = s
}

// applyRelease frees the key if the record belongs to the claim that holds it.
func (t *Table) applyRelease(r *Release) {
	s, ok := t.keys[r.Key]
	if !ok || s.phase != KeyHeld || s.offset != r.Offset {
		return
	}
	s.phase = KeyFree
	t.keys[r.Key] = s
}

// addToBucket adds a new key to the bucket of its timestamp.
func (t *Table) addToBucket(k Key) {
	b := k.Timestamp() / bucketMillis
	t.buckets[b] = append(t.buckets[b], k)
}

// advanceHorizon moves the horizon and evicts the buckets that lie entirely before it.
// An evicted key cannot be claimed again, because applyClaim checks the horizon first.
func (t *Table) advanceHorizon(timestamp int64) {
	if timestamp <= t.newestTimestamp {
		return
	}
	t.newestTimestamp = timestamp
	limit := t.horizon() / bucketMillis
	if limit <= t.oldestBucket {
		return
	}
	t.oldestBucket = limit
	for b, keys := range t.buckets {
		if b >= limit {
			continue
		}
		for _, k := range keys {
			delete(t.keys, k)
		}
		delete(t.buckets, b)
	}
}
