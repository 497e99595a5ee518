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

// benchKey returns the n-th of many keys, a millisecond apart.
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

// BenchmarkFold folds one claim and its outcome in.
func BenchmarkFold(b *testing.B) {
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

// BenchmarkKeyTable begins and finishes one call at a side.
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

// BenchmarkCall steps one call from Start to its answer.
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

// TestRecordSizes prints the stored sizes and the memory of one kept key.
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

const slopeKeys = 200_000

// TestSlopeKeptKeys prints the memory of a fold and of a side's table by kept key.
func TestSlopeKeptKeys(t *testing.T) {
	for _, n := range []int{slopeKeys / 4, slopeKeys / 2, slopeKeys} {
		fold := NewTable(0)
		before := heap()
		for i := range n {
			fold.Apply(backing.Record{Offset: backing.Offset(i), Data: encode(benchClaim(i))})
		}
		folded := heap() - before
		require.Equal(t, n, fold.Len())
		side := NewKeyTable("inc")
		before = heap()
		for i := range n {
			k := benchKey(i)
			side.Begin(k, 7, int64(i), "inc")
			side.Finish(k, wire.Answer{Status: 201})
		}
		kept := heap() - before
		t.Logf("%d keys: fold %d bytes a key, side %d bytes a key without answers", n, folded/uint64(n), kept/uint64(n))
		runtime.KeepAlive(fold)
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

// BenchmarkDo makes whole calls through one Client against a log in memory
// that refuses nothing, many at once.
func BenchmarkDo(b *testing.B) {
	service := backingtest.NewLog(backingtest.WithAppendRate(0))
	c := NewClient(Options{
		Service: "svc", Claimant: "e", Log: service, Transport: &wires{plant: newPlant()},
		Logger: log.New(io.Discard), Tuning: DefaultTuning(),
	})
	defer c.Close(context.Background())
	time.Sleep(100 * time.Millisecond)
	plant := c.opt.Transport.(*wires).plant
	b.SetParallelism(100)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := c.Do(context.Background(), Request{
				Key: uuid.Must(uuid.NewV7()).String(), Message: wire.Request{Fingerprint: 7},
				Deadline: time.Now().Add(time.Minute), MaxAge: time.Hour,
				Pick: func(*api.Error) (Target, *api.Error) { return plant.target("s0"), nil },
			})
			if err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(service.Appends())/float64(b.N), "appends/op")
}
