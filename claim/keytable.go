package claim

import (
	"math"
	"slices"
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Limits of a KeyTable.
const (
	// KeyRetention is the age up to which a KeyTable keeps a key.
	KeyRetention = MaxKeyAge + time.Hour
	// MaxKeys limits the keys in a KeyTable. A full table evicts the oldest keys early.
	MaxKeys = 200_000
	// MaxTotalAnswerBytes limits the answers in a KeyTable, in bytes. Beyond it the oldest
	// answers are dropped.
	MaxTotalAnswerBytes = 64 << 20
)

// Decision is the way in which a sidecar handles a claimed call.
type Decision uint8

// Decisions of KeyTable.Begin.
const (
	DecideRun    Decision = iota + 1 // run it now, then call Finish
	DecideAttach                     // it is already running; wait for its answer
	DecideAnswer                     // it has run; return the stored answer
	DecideRefuse                     // do not run; return the error
)

// BeginResult is the decision of KeyTable.Begin, with the answer or error to return.
type BeginResult struct {
	Decision Decision
	Answer   wire.Answer // with DecideAnswer
	Err      *api.Error  // with DecideRefuse
}

// sideKeyState is the state of one key in a KeyTable.
type sideKeyState struct {
	state       wire.KeyState // KeySealed, KeyRunning or KeyFinished
	offset      int64         // highest offset of a claim that was sealed, run or refused
	fingerprint uint64        // content hash of the call that ran
	answer      wire.Answer   // in state KeyFinished; Status is 0 if the answer was dropped
}

// KeyTable records the claimed calls that a sidecar ran or sealed in its current
// incarnation. It is not safe for concurrent use.
type KeyTable struct {
	incarnation         string
	keys                map[Key]*sideKeyState
	buckets             map[int64][]Key // by timestamp / bucketMillis
	horizon             int64           // keys with an earlier timestamp (Unix milliseconds) are evicted and never run
	finished            []Key           // keys of finished calls whose answer was not dropped, first finished first
	answerBytes         int             // total size of the stored answers
	maxKeys             int
	maxTotalAnswerBytes int
}

// NewKeyTable returns an empty table for one incarnation of a sidecar.
func NewKeyTable(incarnation string) *KeyTable {
	return &KeyTable{
		incarnation:         incarnation,
		keys:                make(map[Key]*sideKeyState),
		buckets:             make(map[int64][]Key),
		maxKeys:             MaxKeys,
		maxTotalAnswerBytes: MaxTotalAnswerBytes,
	}
}

// Len returns the number of keys kept.
func (t *KeyTable) Len() int { return len(t.keys) }

// Begin decides how to handle a call sent under the claim at offset, which names a
// sidecar incarnation. On DecideRun the caller must run the call and then call Finish
// or Abandon. Error codes of DecideRefuse: WrongIncarnation, Sealed and KeyConflict
// (the call does not run), Unresolved (the key was evicted and may have run).
func (t *KeyTable) Begin(k Key, fingerprint uint64, offset int64, incarnation string) BeginResult {
	if incarnation != t.incarnation {
		return refuse(api.WrongIncarnation)
	}
	s, ok := t.keys[k]
	if !ok {
		s, ok = t.add(k)
	}
	switch {
	case !ok:
		return refuse(api.Unresolved)
	case s.state != wire.KeySealed && s.fingerprint != fingerprint:
		return refuse(api.KeyConflict)
	case s.state == wire.KeyRunning:
		return BeginResult{Decision: DecideAttach}
	case s.state == wire.KeyFinished:
		return BeginResult{Decision: DecideAnswer, Answer: s.answer}
	case offset <= s.offset:
		return refuse(api.Sealed)
	}
	*s = sideKeyState{state: wire.KeyRunning, offset: offset, fingerprint: fingerprint}
	return BeginResult{Decision: DecideRun}
}

func refuse(code api.Code) BeginResult {
	return BeginResult{Decision: DecideRefuse, Err: api.NewError(code, "")}
}

// Finish stores the answer of a call for which Begin returned DecideRun. For a failed
// run the answer is made by FailedAnswer.
func (t *KeyTable) Finish(k Key, answer wire.Answer) {
	s, ok := t.keys[k]
	if !ok || s.state != wire.KeyRunning {
		return
	}
	s.state = wire.KeyFinished
	s.answer = answer
	t.answerBytes += answerSize(answer)
	t.finished = append(t.finished, k)
	for t.answerBytes > t.maxTotalAnswerBytes && len(t.finished) > 0 {
		t.dropOldestAnswer()
	}
}

// answerSize returns the bytes that an answer adds to answerBytes.
func answerSize(a wire.Answer) int {
	if a.Status == 0 {
		return 0
	}
	return a.Msgsize()
}

// Abandon seals the claim of a call for which Begin returned DecideRun, but of which
// no byte reached the backend server. The call can no longer run under that claim.
func (t *KeyTable) Abandon(k Key) {
	s, ok := t.keys[k]
	if ok && s.state == wire.KeyRunning {
		s.state = wire.KeySealed
	}
}

// dropOldestAnswer drops the answer that was stored first. The key stays finished.
func (t *KeyTable) dropOldestAnswer() {
	k := t.finished[0]
	t.finished = t.finished[1:]
	s, ok := t.keys[k]
	if !ok || s.state != wire.KeyFinished {
		return
	}
	t.answerBytes -= answerSize(s.answer)
	s.answer = wire.Answer{}
}

// Seal seals the claim at offset if it has not run, so that it can no longer run, and
// returns the state of the claim. A sidecar that refuses a claimed call must seal the
// claim first and may report "not run" only if the result is KeySealed, because a copy
// of the request may arrive later.
func (t *KeyTable) Seal(k Key, offset int64, incarnation string) (wire.KeyState, wire.Answer) {
	state, answer := t.Get(k, offset, incarnation)
	if state != wire.KeyUnknown {
		return state, answer
	}
	s, ok := t.keys[k]
	if !ok {
		s, ok = t.add(k)
	}
	if !ok {
		return wire.KeyExpired, wire.Answer{}
	}
	s.offset = max(s.offset, offset)
	return wire.KeySealed, wire.Answer{}
}

// Get returns the state of the claim at offset, and the answer if it has finished. It
// does not change the table.
func (t *KeyTable) Get(k Key, offset int64, incarnation string) (wire.KeyState, wire.Answer) {
	if incarnation != t.incarnation {
		return wire.KeyOtherIncarnation, wire.Answer{}
	}
	s, ok := t.keys[k]
	switch {
	case !ok && k.Timestamp() < t.horizon:
		return wire.KeyExpired, wire.Answer{}
	case !ok:
		return wire.KeyUnknown, wire.Answer{}
	case s.state == wire.KeySealed && offset > s.offset:
		return wire.KeyUnknown, wire.Answer{}
	}
	return s.state, s.answer
}

// Query answers a KeyQuery. The state of an invalid key is KeyExpired.
func (t *KeyTable) Query(q *wire.KeyQuery) *wire.KeyAnswer {
	a := &wire.KeyAnswer{Stream: q.Stream, Key: q.Key, Incarnation: t.incarnation}
	k, err := ParseKey(q.Key)
	if err != nil {
		a.State = wire.KeyExpired
		return a
	}
	if q.Seal {
		a.State, a.Answer = t.Seal(k, q.ClaimOffset, q.Incarnation)
	} else {
		a.State, a.Answer = t.Get(k, q.ClaimOffset, q.Incarnation)
	}
	return a
}

// Expire evicts the keys older than KeyRetention, except those of running calls. The
// sidecar calls it about once a minute.
func (t *KeyTable) Expire(now time.Time) {
	t.evictBefore(now.Add(-KeyRetention).UnixMilli())
}

// evictBefore raises the horizon to the start of the bucket of timestamp and evicts
// the buckets before it.
func (t *KeyTable) evictBefore(timestamp int64) {
	limit := timestamp / bucketMillis
	if limit*bucketMillis <= t.horizon {
		return
	}
	t.horizon = limit * bucketMillis
	for b, keys := range t.buckets {
		if b < limit {
			t.evictBucket(b, keys)
		}
	}
	t.finished = slices.DeleteFunc(t.finished, func(k Key) bool {
		_, kept := t.keys[k]
		return !kept
	})
}

// evictBucket evicts the keys of bucket b, except those of running calls.
func (t *KeyTable) evictBucket(b int64, keys []Key) {
	running := keys[:0]
	for _, k := range keys {
		s := t.keys[k]
		if s.state == wire.KeyRunning {
			running = append(running, k)
			continue
		}
		if s.state == wire.KeyFinished {
			t.answerBytes -= answerSize(s.answer)
		}
		delete(t.keys, k)
	}
	if len(running) == 0 {
		delete(t.buckets, b)
		return
	}
	t.buckets[b] = running
}

// add inserts a new key as sealed, with no claim offset. If the table is full, it
// first evicts the oldest bucket. ok is false if the key is older than the horizon.
func (t *KeyTable) add(k Key) (s *sideKeyState, ok bool) {
	if len(t.keys) >= t.maxKeys {
		t.evictOldest()
	}
	if k.Timestamp() < t.horizon {
		return nil, false
	}
	b := k.Timestamp() / bucketMillis
	t.buckets[b] = append(t.buckets[b], k)
	s = &sideKeyState{state: wire.KeySealed, offset: int64(backing.NoOffset)}
	t.keys[k] = s
	return s, true
}

// evictOldest evicts the oldest bucket that does not lie before the horizon.
func (t *KeyTable) evictOldest() {
	oldest := int64(math.MaxInt64)
	for b := range t.buckets {
		if b*bucketMillis >= t.horizon && b < oldest {
			oldest = b
		}
	}
	if oldest != math.MaxInt64 {
		t.evictBefore((oldest + 1) * bucketMillis)
	}
}
