package side

import (
	"bytes"
	"sync"
	"time"

	"marjorampitch/api"
	"marjorampitch/claim"
	"marjorampitch/wire"
)

// Timing and limits of the table of claimed calls.
const (
	keyExpiryInterval = time.Minute // interval between removals of expired keys
	maxStoredBody     = 1 << 20     // largest response body in bytes that is stored under a key
)

// keyTable records non-idempotent calls by idempotency key. The goroutines that
// read connections and those that run attempts share it.
//
// mu guards the fields below it. Only the mu of an attempt is taken while it is
// held.
type keyTable struct {
	mu         sync.Mutex
	table      *claim.KeyTable
	lastExpiry time.Time // when expired keys were last removed
}

func newKeyTable(incarnation string) *keyTable {
	return &keyTable{table: claim.NewKeyTable(incarnation)}
}

// begin decides whether a claimed request runs. refused is the reason why this
// sidecar refuses it, or nil. The caller must run the request if the result is nil.
func (k *keyTable) begin(m *wire.Request, refused *api.Error) *api.Error {
	key, e := claim.ParseKey(m.Key)
	if e != nil {
		return e
	}
	if m.ClaimOffset < 0 {
		return api.NewError(api.BadRequest, "no claim")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(time.Now())
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
	return inProgressError()
}

// seal closes the claim of a refused request, so that a delayed copy of the
// request cannot run later. It returns the error for the front proxy. The caller
// holds mu.
func (k *keyTable) seal(key claim.Key, m *wire.Request, refused *api.Error) *api.Error {
	state, _ := k.table.Seal(key, m.ClaimOffset, m.Incarnation)
	switch state {
	case wire.KeySealed:
		return refused
	case wire.KeyOtherIncarnation:
		return api.NewError(api.WrongIncarnation, "")
	}
	return inProgressError()
}

// inProgressError returns the error for a call that was begun before; the front proxy
// gets its outcome by a KeyQuery.
func inProgressError() *api.Error { return api.NewError(api.InProgress, "ask by key") }

// finish records the outcome of a claimed attempt; e is nil if it succeeded.
func (k *keyTable) finish(a *attempt, e *api.Error) {
	key, parseErr := claim.ParseKey(a.req.Key)
	if parseErr != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case e == nil:
		k.table.Finish(key, a.completeResponse())
	case e.Ran == api.NotRun:
		k.table.Abandon(key)
	default:
		k.table.Finish(key, claim.FailedAnswer(e))
	}
}

// query returns the state of a claim, and seals it if q asks for that.
func (k *keyTable) query(q *wire.KeyQuery) *wire.KeyAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Query(q)
}

// size returns the number of keys in the table.
func (k *keyTable) size() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len()
}

// expire removes expired keys, at most once per keyExpiryInterval. The caller
// holds mu.
func (k *keyTable) expire(now time.Time) {
	if now.Sub(k.lastExpiry) < keyExpiryInterval {
		return
	}
	k.lastExpiry = now
	k.table.Expire(now)
}

// completeResponse returns the response of a successful attempt. Its Status is 0
// if the body is larger than maxStoredBody.
func (a *attempt) completeResponse() wire.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first > 0 || a.keptBytes > maxStoredBody || a.head == nil {
		return wire.Answer{}
	}
	return wire.Answer{Status: a.head.Status, Headers: a.head.Headers, Body: bytes.Join(a.chunks, nil)}
}
