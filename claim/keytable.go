package claim

import (
	"math"
	"slices"
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// Bounds of a KeyTable.
const (
	// KeyRetention is how long after its birth a key stays in a KeyTable.
	KeyRetention = MaxKeyAge + time.Hour
	// MaxKeys bounds the keys in a KeyTable; beyond it the oldest are forgotten early.
	MaxKeys = 200_000
	// MaxAnswersBytes bounds the answers in a KeyTable; beyond it the oldest are dropped.
	MaxAnswersBytes = 64 << 20
)

// Decision says what a side does with a claimed call.
type Decision uint8

// Decisions of KeyTable.Begin.
const (
	DecideRun    Decision = iota + 1 // run it now, then call Finish
	DecideAttach                     // it is running; wait for its answer
	DecideAnswer                     // it ran; return the kept answer
	DecideRefuse                     // do not run; return the error
)

// BeginResult is the result of KeyTable.Begin.
type BeginResult struct {
	Decision Decision
	Answer   wire.Answer // with DecideAnswer
	Err      *api.Error  // with DecideRefuse
}

// sideSlot is what a KeyTable keeps of a key.
type sideSlot struct {
	state       wire.KeyState // KeySealed, KeyRunning or KeyFinished
	offset      int64         // highest claim offset that was sealed, run or refused
	fingerprint uint64        // of the call that ran
	answer      wire.Answer   // when finished; Status is 0 after the answer was dropped
}

// KeyTable is a side process's record of the claimed calls that it ran or
// sealed in its present incarnation. It is not safe for concurrent use.
type KeyTable struct {
	incarnation string
	slots       map[Key]*sideSlot
	buckets     map[int64][]Key // by birth / bucketMillis
	horizon     int64           // births before this, in Unix milliseconds, are forgotten and never run
	finished    []Key           // keys with a kept answer, oldest first
	answers     int             // bytes of kept answers
	maxKeys     int
	maxAnswers  int
}

// NewKeyTable returns an empty table for one incarnation of a side process.
func NewKeyTable(incarnation string) *KeyTable {
	return &KeyTable{
		incarnation: incarnation,
		slots:       make(map[Key]*sideSlot),
		buckets:     make(map[int64][]Key),
		maxKeys:     MaxKeys,
		maxAnswers:  MaxAnswersBytes,
	}
}

// Len returns the number of keys kept.
func (t *KeyTable) Len() int { return len(t.slots) }

// Begin decides about a call that arrives under the claim at offset, which
// names a side incarnation. A caller that is told to run must run it and call
// Finish. Codes of refusals: WrongIncarnation, Sealed, KeyConflict (not run),
// Unresolved (the key is forgotten and may have run).
func (t *KeyTable) Begin(k Key, fingerprint uint64, offset int64, incarnation string) BeginResult {
	if incarnation != t.incarnation {
		return refuse(api.WrongIncarnation)
	}
	s, ok := t.slots[k]
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
	*s = sideSlot{state: wire.KeyRunning, offset: offset, fingerprint: fingerprint}
	return BeginResult{Decision: DecideRun}
}

func refuse(code api.Code) BeginResult {
	return BeginResult{Decision: DecideRefuse, Err: api.NewError(code, "")}
}

// Finish stores the answer of the call that Begin told to run. A run that
// failed is finished too, with FailedAnswer.
func (t *KeyTable) Finish(k Key, answer wire.Answer) {
	s, ok := t.slots[k]
	if !ok || s.state != wire.KeyRunning {
		return
	}
	s.state = wire.KeyFinished
	s.answer = answer
	t.answers += cost(answer)
	t.finished = append(t.finished, k)
	for t.answers > t.maxAnswers && len(t.finished) > 0 {
		t.dropAnswer()
	}
}

// cost returns the bytes that a kept answer counts for.
func cost(a wire.Answer) int {
	if a.Status == 0 {
		return 0
	}
	return a.Msgsize()
}

// Abandon seals the claim of a call that Begin told to run and of which nothing
// reached the backend server. It never runs under that claim.
func (t *KeyTable) Abandon(k Key) {
	s, ok := t.slots[k]
	if ok && s.state == wire.KeyRunning {
		s.state = wire.KeySealed
	}
}

// dropAnswer gives up the oldest answer; that the call ran stays known.
func (t *KeyTable) dropAnswer() {
	k := t.finished[0]
	t.finished = t.finished[1:]
	s, ok := t.slots[k]
	if !ok || s.state != wire.KeyFinished {
		return
	}
	t.answers -= cost(s.answer)
	s.answer = wire.Answer{}
}

// Seal closes the claim at offset if it has not run: it will never run. A side
// that refuses a claimed call before running it seals the claim first, and says
// "not run" only if the result is KeySealed, since a copy may arrive later.
func (t *KeyTable) Seal(k Key, offset int64, incarnation string) (wire.KeyState, wire.Answer) {
	state, answer := t.Get(k, offset, incarnation)
	if state != wire.KeyUnknown {
		return state, answer
	}
	s, ok := t.slots[k]
	if !ok {
		s, ok = t.add(k)
	}
	if !ok {
		return wire.KeyForgotten, wire.Answer{}
	}
	s.offset = max(s.offset, offset)
	return wire.KeySealed, wire.Answer{}
}

// Get returns what is known of the claim at offset and changes nothing.
func (t *KeyTable) Get(k Key, offset int64, incarnation string) (wire.KeyState, wire.Answer) {
	if incarnation != t.incarnation {
		return wire.KeyOtherIncarnation, wire.Answer{}
	}
	s, ok := t.slots[k]
	switch {
	case !ok && k.Timestamp() < t.horizon:
		return wire.KeyForgotten, wire.Answer{}
	case !ok:
		return wire.KeyUnknown, wire.Answer{}
	case s.state == wire.KeySealed && offset > s.offset:
		return wire.KeyUnknown, wire.Answer{}
	}
	return s.state, s.answer
}

// Query answers a KeyQuery. A key that cannot be read is unknown for ever.
func (t *KeyTable) Query(q *wire.KeyQuery) *wire.KeyAnswer {
	a := &wire.KeyAnswer{Stream: q.Stream, Key: q.Key, Incarnation: t.incarnation}
	k, err := ParseKey(q.Key)
	if err != nil {
		a.State = wire.KeyForgotten
		return a
	}
	if q.Seal {
		a.State, a.Answer = t.Seal(k, q.ClaimOffset, q.Incarnation)
	} else {
		a.State, a.Answer = t.Get(k, q.ClaimOffset, q.Incarnation)
	}
	return a
}

// Expire forgets the keys born more than KeyRetention before now. It is called
// about once a minute. Keys of calls that still run are kept.
func (t *KeyTable) Expire(now time.Time) {
	t.forget(now.Add(-KeyRetention).UnixMilli())
}

// forget raises the horizon to the bucket of birth, which stays, and drops the
// keys before it.
func (t *KeyTable) forget(birth int64) {
	limit := birth / bucketMillis
	if limit*bucketMillis <= t.horizon {
		return
	}
	t.horizon = limit * bucketMillis
	for b, keys := range t.buckets {
		if b < limit {
			t.forgetBucket(b, keys)
		}
	}
	t.finished = slices.DeleteFunc(t.finished, func(k Key) bool {
		_, kept := t.slots[k]
		return !kept
	})
}

// forgetBucket drops the keys of one bucket, except those still running.
func (t *KeyTable) forgetBucket(b int64, keys []Key) {
	running := keys[:0]
	for _, k := range keys {
		s := t.slots[k]
		if s.state == wire.KeyRunning {
			running = append(running, k)
			continue
		}
		if s.state == wire.KeyFinished {
			t.answers -= cost(s.answer)
		}
		delete(t.slots, k)
	}
	if len(running) == 0 {
		delete(t.buckets, b)
		return
	}
	t.buckets[b] = running
}

// add files a new key as sealed under no claim, after forgetting the oldest
// bucket when the table is full. ok is false when the key is older than what
// the table keeps.
func (t *KeyTable) add(k Key) (s *sideSlot, ok bool) {
	if len(t.slots) >= t.maxKeys {
		t.forgetOldest()
	}
	if k.Timestamp() < t.horizon {
		return nil, false
	}
	b := k.Timestamp() / bucketMillis
	t.buckets[b] = append(t.buckets[b], k)
	s = &sideSlot{state: wire.KeySealed, offset: int64(backing.None)}
	t.slots[k] = s
	return s, true
}

// forgetOldest forgets the oldest bucket that the horizon has not passed.
func (t *KeyTable) forgetOldest() {
	oldest := int64(math.MaxInt64)
	for b := range t.buckets {
		if b*bucketMillis >= t.horizon && b < oldest {
			oldest = b
		}
	}
	if oldest != math.MaxInt64 {
		t.forget((oldest + 1) * bucketMillis)
	}
}
