package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

var t0 = time.UnixMilli(1_800_000_000_000)

// testLog appends records to a stream and applies them to a Table.
type testLog struct{ *Table }

func (l testLog) add(r record) ApplyResult {
	return l.Apply(backing.Record{Offset: l.End(), Data: encode(r)})
}

func claimOf(k Key, content uint64, until int64) *Claim {
	return &Claim{Key: k, Fingerprint: content, Claimant: "e", Side: "s", SideIncarnation: "i", ValidUntil: until}
}

// Only the record of the claim that holds a key may complete or release it; late,
// conflicting and invalid records must not.
func TestTable(t *testing.T) {
	l := testLog{NewTable(0)}
	k := simKey(t0, 1)
	require.Equal(t, VerdictWon, l.add(claimOf(k, 7, 100)).Verdict)      // 0
	require.Equal(t, VerdictLost, l.add(claimOf(k, 7, 100)).Verdict)     // 1
	require.Equal(t, VerdictConflict, l.add(claimOf(k, 8, 100)).Verdict) // 2
	l.add(&Release{Key: k, Offset: 1})                                   // 3, for a claim that lost
	require.Equal(t, KeyHeld, l.Get(k).Phase)                            //
	l.add(&Release{Key: k, Offset: 0})                                   // 4
	require.Equal(t, KeyFree, l.Get(k).Phase)                            //
	require.Equal(t, VerdictConflict, l.add(claimOf(k, 8, 100)).Verdict) // 5
	require.Equal(t, VerdictExpired, l.add(claimOf(k, 7, 5)).Verdict)    // 6
	require.Equal(t, VerdictWon, l.add(claimOf(k, 7, 7)).Verdict)        // 7
	l.add(&Release{Key: k, Offset: 0})                                   // 8, late copy
	l.add(newOutcome(k, 0, wire.Answer{Status: 200}))                    // 9, for an earlier claim
	require.Equal(t, KeyHeld, l.Get(k).Phase)                            //
	l.add(newOutcome(k, 7, wire.Answer{Status: 200}))                    // 10
	l.add(&Release{Key: k, Offset: 7})                                   // 11
	l.add(newOutcome(k, 7, wire.Answer{Status: 500}))                    // 12
	require.Equal(t, KeyCompleted, l.Get(k).Phase)                       //
	require.Equal(t, backing.Offset(10), l.Get(k).OutcomeOffset)         //
	require.Equal(t, VerdictLost, l.add(claimOf(k, 7, 100)).Verdict)     // 13
	require.Equal(t, VerdictNone, l.Apply(backing.Record{Offset: 14, Data: []byte{99, 1}}).Verdict)
	require.Equal(t, VerdictNone, l.Apply(backing.Record{Offset: 15, Data: []byte{1, 2, 3}}).Verdict)
}

// An evicted key cannot be claimed again.
func TestTableEvictsOldKeys(t *testing.T) {
	l := testLog{NewTable(0)}
	const many = 5000
	for i := range many {
		k := simKey(t0.Add(time.Duration(i)*time.Minute), byte(i))
		require.Equal(t, VerdictWon, l.add(claimOf(k, 7, 1<<40)).Verdict)
	}
	require.LessOrEqual(t, l.Len(), int(MaxKeyAge/time.Minute)+2)
	first := simKey(t0, 0)
	require.True(t, l.Get(first).TooOld)
	require.Equal(t, VerdictTooOld, l.add(claimOf(first, 7, 1<<40)).Verdict)
}

// A sealed, abandoned or finished claim must not run again, nor one that names an
// earlier incarnation.
func TestKeyTable(t *testing.T) {
	s := NewKeyTable("i")
	k := simKey(t0, 1)
	require.Equal(t, api.WrongIncarnation, s.Begin(k, 7, 1, "before").Err.Code)
	state, _ := s.Get(k, 1, "i")
	require.Equal(t, wire.KeyUnknown, state)
	state, _ = s.Seal(k, 5, "i")
	require.Equal(t, wire.KeySealed, state)
	require.Equal(t, api.Sealed, s.Begin(k, 7, 5, "i").Err.Code)
	require.Equal(t, DecideRun, s.Begin(k, 7, 6, "i").Decision)
	require.Equal(t, DecideAttach, s.Begin(k, 7, 6, "i").Decision)
	require.Equal(t, api.KeyConflict, s.Begin(k, 8, 6, "i").Err.Code)
	state, _ = s.Seal(k, 6, "i")
	require.Equal(t, wire.KeyRunning, state)
	s.Abandon(k)
	require.Equal(t, api.Sealed, s.Begin(k, 7, 6, "i").Err.Code)
	require.Equal(t, DecideRun, s.Begin(k, 7, 9, "i").Decision)
	s.Finish(k, wire.Answer{Status: 201})
	s.Abandon(k)
	require.Equal(t, 201, s.Begin(k, 7, 9, "i").Answer.Status)
	state, _ = s.Seal(k, 9, "i")
	require.Equal(t, wire.KeyFinished, state)
	state, _ = s.Seal(k, 9, "other")
	require.Equal(t, wire.KeyOtherIncarnation, state)
}

// A full KeyTable evicts the oldest keys early and does not run them again.
func TestKeyTableBounds(t *testing.T) {
	s := NewKeyTable("i")
	s.maxKeys = 100
	s.maxTotalAnswerBytes = 4000
	for i := range 1000 {
		k := simKey(t0.Add(time.Duration(i)*10*time.Second), byte(i))
		require.Equal(t, DecideRun, s.Begin(k, 7, int64(i), "i").Decision)
		s.Finish(k, wire.Answer{Status: 201, Body: make([]byte, 100)})
		require.LessOrEqual(t, s.Len(), 100)
		require.LessOrEqual(t, s.answerBytes, 4000)
		require.LessOrEqual(t, len(s.finished), 100)
	}
	first := simKey(t0, 0)
	b := s.Begin(first, 7, 2000, "i")
	require.Equal(t, api.Unresolved, b.Err.Code)
	require.Equal(t, api.MayHaveRun, b.Err.Ran)
	state, _ := s.Seal(first, 2000, "i")
	require.Equal(t, wire.KeyExpired, state)
	s.Expire(t0.Add(KeyRetention + 24*time.Hour))
	require.Zero(t, s.Len())
	require.Zero(t, s.answerBytes)
}
