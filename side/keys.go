package side

import (
	"bytes"
	"sync"
	"time"

	"marjorampitch/api"
	"marjorampitch/claim"
	"marjorampitch/wire"
)

// Timing and bounds of the table of claimed calls.
const (
	keysInterval   = time.Minute // between two times that old keys are forgotten
	maxClaimedBody = 1 << 20     // bytes of an answer that is kept for its key
)

// keys is the table of the calls that may not repeat, by idempotency key. The
// connections' readers and the pool's workers share it.
//
// mu guards the fields below it; no other lock is taken while it is held.
type keys struct {
	mu       sync.Mutex
	table    *claim.KeyTable
	advanced time.Time // when old keys were forgotten last
}

func newKeys(incarnation string) *keys {
	return &keys{table: claim.NewKeyTable(incarnation)}
}

// begin decides about a claimed request; refused is why this side does not
// take it, or nil. A nil result means that it must run now.
func (k *keys) begin(m *wire.Request, refused *api.Error) *api.Error {
	key, e := claim.ParseKey(m.Key)
	if e != nil {
		return e
	}
	if m.ClaimOffset < 0 {
		return api.NewError(api.BadRequest, "no claim")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(time.Now())
	if refused != nil {
		return k.seal(key, m, refused)
	}
	begun := k.table.Begin(key, m.Fingerprint, m.ClaimOffset, m.Incarnation)
	switch begun.Decision {
	case claim.DecideRun:
		return nil
	case claim.DecideRefuse:
		return begun.Err
	}
	return askAgain()
}

// seal closes the claim of a request that is refused, so that a copy of it
// cannot run later. The caller holds mu.
func (k *keys) seal(key claim.Key, m *wire.Request, refused *api.Error) *api.Error {
	state, _ := k.table.Seal(key, m.ClaimOffset, m.Incarnation)
	switch state {
	case wire.KeySealed:
		return refused
	case wire.KeyOtherIncarnation:
		return api.NewError(api.WrongIncarnation, "")
	}
	return askAgain()
}

// askAgain refers an entry to a KeyQuery: the call was begun before.
func askAgain() *api.Error { return api.NewError(api.InProgress, "ask by key") }

// end records how a claimed attempt ended.
func (k *keys) end(a *attempt, e *api.Error) {
	key, bad := claim.ParseKey(a.req.Key)
	if bad != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case e == nil:
		k.table.Finish(key, a.whole())
	case e.Ran == api.NotRun:
		k.table.Abandon(key)
	default:
		k.table.Finish(key, claim.FailedAnswer(e))
	}
}

// query answers an entry that asks what became of a claim.
func (k *keys) query(q *wire.KeyQuery) *wire.KeyAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Query(q)
}

// len returns the number of keys kept.
func (k *keys) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len()
}

// advance forgets old keys now and then. The caller holds mu.
func (k *keys) advance(now time.Time) {
	if now.Sub(k.advanced) < keysInterval {
		return
	}
	k.advanced = now
	k.table.Expire(now)
}

// whole returns the answer of a run that ended well; its Status is 0 when it
// is too large to be kept.
func (a *attempt) whole() wire.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first > 0 || a.kept > maxClaimedBody || a.head == nil {
		return wire.Answer{}
	}
	return wire.Answer{Status: a.head.Status, Headers: a.head.Headers, Body: bytes.Join(a.chunks, nil)}
}
