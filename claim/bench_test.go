package claim

import (
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
	"marjorampitch/wire"
)

// benchKey returns key n; the timestamps of successive keys are a millisecond apart.
func benchKey(n int) Key {
	k := simKey(time.UnixMilli(1_800_000_000_000+int64(n)), byte(n))
	k[9], k[10], k[11] = byte(n>>8), byte(n>>16), byte(n>>24)
	return k
}

func benchClaim(n int) *Claim {
	return &Claim{
		Key: benchKey(n), Fingerprint: uint64(n) * 0x9e3779b97f4a7c15, Claimant: "0b6f1c9e-6d2b-4f4e-9c55-1f0c8a2f7e11", Nonce: uint64(n),
		Side: "dk1-booking-1", SideIncarnation: "5d0f5b3e-9a0c-4f6a-8f0b-7d6f1f0a9c22", ValidUntil: int64(n)*2 + 1024,
	}
}

func benchAnswer() wire.Answer {
	return wire.Answer{
		Status:  201,
		Headers: []wire.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    []byte(`{"id":"ced7d2ec-37aa-46e1-9414-1585f438ebef","kind":"deposits","amount_dkk":5000,"couple":"42"}`),
	}
}

// BenchmarkTableApply applies one claim and its outcome.
func BenchmarkTableApply(b *testing.B) {
	claims := make([][]byte, b.N)
	outcomes := make([][]byte, b.N)
	for n := range b.N {
		claims[n] = encode(benchClaim(n))
		outcomes[n] = encode(newOutcome(benchKey(n), int64(n)*2, benchAnswer()))
	}
	t := NewTable(0)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		t.Apply(backing.Record{Offset: backing.Offset(n * 2), Data: claims[n]})
		t.Apply(backing.Record{Offset: backing.Offset(n*2 + 1), Data: outcomes[n]})
	}
}

// BenchmarkKeyTable begins and finishes one call in a KeyTable.
func BenchmarkKeyTable(b *testing.B) {
	t := NewKeyTable("inc")
	answer := benchAnswer()
	b.ReportAllocs()
	for n := range b.N {
		k := benchKey(n)
		t.Begin(k, 7, int64(n), "inc")
		t.Finish(k, answer)
	}
}

// BenchmarkCall drives one call from Start to its answer.
func BenchmarkCall(b *testing.B) {
	now := time.UnixMilli(1_800_000_000_000)
	cfg := CallConfig{
		Key: simKey(now, 1), Fingerprint: 7, Claimant: "e", Nonce: func() uint64 { return 1 },
		Deadline: now.Add(time.Minute), Limits: KeyLimits{MaxAge: time.Hour}, Tuning: DefaultTuning(),
		Pick: benchPick,
	}
	b.ReportAllocs()
	for range b.N {
		c := NewCall(cfg)
		c.Step(now, Start{})
		c.Step(now, RecordsApplied{View: View{Phase: KeyHeld, Known: true, Fingerprint: 7}, End: 1, Verdict: VerdictWon, Nonce: 1})
		c.Step(now, SendResult{Status: SendReplied, Answer: wire.Answer{Status: 200}})
		c.Step(now, OutcomeAppendEnded{})
		if !c.Done() {
			b.Fatal("not done")
		}
	}
}

// TestRecordSizes prints and bounds the sizes of stored records.
func TestRecordSizes(t *testing.T) {
	claim := len(encode(benchClaim(1_000_000)))
	outcome := len(encode(newOutcome(benchKey(1), 1_000_000, benchAnswer())))
	release := len(encode(&Release{Key: benchKey(1), Offset: 1_000_000}))
	t.Logf("bytes: claim %d, outcome %d (body %d), release %d", claim, outcome, len(benchAnswer().Body), release)
	require.Less(t, claim, 256)
	require.Less(t, release, 64)

	big := newOutcome(benchKey(1), 1, wire.Answer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)})
	require.True(t, big.Dropped)
	require.Less(t, len(encode(big)), 128)
}

const memoryKeys = 200_000

// TestMemoryPerKey prints the memory per key of a Table and of a KeyTable. It sets no
// bound on it and only requires that the Table holds every key.
func TestMemoryPerKey(t *testing.T) {
	for _, n := range []int{memoryKeys / 4, memoryKeys / 2, memoryKeys} {
		table := NewTable(0)
		before := heap()
		for i := range n {
			table.Apply(backing.Record{Offset: backing.Offset(i), Data: encode(benchClaim(i))})
		}
		tableBytes := heap() - before
		require.Equal(t, n, table.Len())
		side := NewKeyTable("inc")
		before = heap()
		for i := range n {
			k := benchKey(i)
			side.Begin(k, 7, int64(i), "inc")
			side.Finish(k, wire.Answer{Status: 201})
		}
		sideBytes := heap() - before
		t.Logf("%d keys: Table %d bytes per key, KeyTable %d bytes per key without answers", n, tableBytes/uint64(n), sideBytes/uint64(n))
		runtime.KeepAlive(table)
		runtime.KeepAlive(side)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchPick(*api.Error) (Target, *api.Error) { return Target{Side: "s", Incarnation: "i"}, nil }

// BenchmarkDo makes concurrent calls through one Client with an in-memory log without
// an append rate limit.
func BenchmarkDo(b *testing.B) {
	service := backingtest.NewLog(backingtest.WithAppendRate(0))
	c := NewClient(Options{
		Service: "svc", Claimant: "e", Log: service, Transport: &fakeTransport{sides: newFakeSides()},
		Logger: log.New(io.Discard), Tuning: DefaultTuning(),
	})
	defer c.Close(context.Background())
	time.Sleep(100 * time.Millisecond)
	sides := c.options.Transport.(*fakeTransport).sides
	b.SetParallelism(100)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := c.Do(context.Background(), Request{
				Key: uuid.Must(uuid.NewV7()).String(), Message: wire.Request{Fingerprint: 7},
				Deadline: time.Now().Add(time.Minute), MaxAge: time.Hour,
				Pick: func(*api.Error) (Target, *api.Error) { return sides.target("s0"), nil },
			})
			if err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(service.Appends())/float64(b.N), "appends/op")
}
