package peerread

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"marjorampitch/store"
	"marjorampitch/wire"
)

func gateways(names ...string) map[string]wire.Instance {
	entries := make(map[string]wire.Instance)
	for _, name := range names {
		entries[name] = wire.Instance{Role: wire.RoleGateway, DataCentre: "a"}
	}
	return entries
}

func TestReaders(t *testing.T) {
	entries := gateways("g-1", "g-2")
	entries["r-1"] = wire.Instance{Role: wire.RoleRebalancer, DataCentre: "a"}
	entries["other"] = wire.Instance{Role: wire.RoleGateway, DataCentre: "b"}
	entries["old"] = wire.Instance{Role: wire.RoleGateway}
	require.Empty(t, Readers(entries, "a"), "two gateways read the store themselves")
	require.Empty(t, Readers(entries, ""), "without a data centre")

	entries["g-3"] = wire.Instance{Role: wire.RoleGateway, DataCentre: "a"}
	readers := Readers(entries, "a")
	require.Len(t, readers, 2)
	require.NotEqual(t, readers[0], readers[1])
	for range 20 {
		require.Equal(t, readers, Readers(entries, "a"), "whatever the order of the entries")
	}
	require.Empty(t, Readers(entries, "b"))
}

// A gateway that is added changes the readers only if it becomes one.
func TestReadersAreStable(t *testing.T) {
	entries := gateways("g-0", "g-1", "g-2")
	for i := 3; i < 60; i++ {
		before := Readers(entries, "a")
		added := fmt.Sprintf("g-%d", i)
		entries[added] = wire.Instance{Role: wire.RoleGateway, DataCentre: "a"}
		after := Readers(entries, "a")
		switch added {
		case after[0]:
			require.Equal(t, before[0], after[1])
		case after[1]:
			require.Equal(t, before[0], after[0])
		default:
			require.Equal(t, before, after)
		}
	}
}

func TestAskerRetries(t *testing.T) {
	a := NewAsker("me")
	target := func(now time.Duration, reader string, trial bool) {
		t.Helper()
		r, tr := a.Target(now)
		require.Equal(t, reader, r)
		require.Equal(t, trial, tr)
	}
	target(0, "", false)
	a.SetReaders([]string{"x", "y"})
	target(0, "x", false)
	require.True(t, a.Record(0, "x", Lost), "the first failure")
	target(0, "x", true) // a single datagram may be lost
	require.False(t, a.Record(0, "x", Lost))
	target(0, "y", false)
	a.Record(0, "y", Refused)
	target(0, "", false)
	target(lostRetryMin, "x", true)
	for range 12 {
		a.Record(time.Minute, "x", Lost)
	}
	a.Record(time.Minute, "y", Answered)
	target(time.Minute, "y", false)
	target(time.Minute+lostRetryMax, "x", true)
	a.Record(2*time.Minute, "x", Answered)
	target(2*time.Minute, "x", false)
	require.True(t, a.Record(3*time.Minute, "x", Stale))

	a = NewAsker("y")
	a.SetReaders([]string{"x", "y"})
	require.True(t, a.IsReader())
	a.Record(0, "x", Refused)
	target(0, "", false)
	a.SetReaders([]string{"y", "x"})
	target(0, "", false)
}

// at returns a position of the first era.
func at(offset int64) store.Position { return store.Position{Offset: offset} }

var asker = netip.MustParseAddrPort("10.0.0.1:7000")

func batch(from, end int64, size int) *store.Batch {
	b := &store.Batch{Next: at(end), End: end}
	for i := from; i < end; i++ {
		b.Records = append(b.Records, store.Record{Key: fmt.Sprint(i), Value: make([]byte, size)})
	}
	return b
}

// answerTo returns the answer to a request that does not wait.
func answerTo(t *testing.T, d *Desk, r *wire.LogRequest) wire.LogAnswer {
	t.Helper()
	replies, _ := d.Request(0, 0, asker, r)
	require.Len(t, replies, 1)
	return replies[0].Answer
}

// An answer without records that did not wait would be followed by the next request at
// once.
func TestDeskRefusesTooManyWaiting(t *testing.T) {
	d := NewDesk(2*time.Second, nil)
	d.Add(0, at(0), batch(0, 1, 4), 0)
	r := &wire.LogRequest{From: 1, WaitMillis: 500}
	for i := range maxWaiting {
		replies, _ := d.Request(0, 0, netip.AddrPortFrom(asker.Addr(), uint16(i+1)), r)
		require.Empty(t, replies)
	}
	replies, _ := d.Request(0, 0, asker, r)
	require.Len(t, replies, 1)
	require.Equal(t, wire.LogRefused, replies[0].Answer.Status)
}

// Records of another history at the same offsets are not answered with those compressed
// before.
func TestDeskForgetsCompressedRecords(t *testing.T) {
	d := NewDesk(2*time.Second, nil)
	records := func(fill byte) []wire.LogRecord {
		b := batch(0, 2, 1<<10)
		for _, r := range b.Records {
			r.Value[0] = fill
		}
		d.Add(0, at(0), b, 0)
		a := answerTo(t, d, &wire.LogRequest{})
		require.NotEmpty(t, a.Packed)
		list, err := unpack(&a)
		require.NoError(t, err)
		return list
	}
	require.EqualValues(t, 1, records(1)[0].Value[0])
	d.Clear()
	require.EqualValues(t, 2, records(2)[0].Value[0])
	require.EqualValues(t, 3, records(3)[0].Value[0], "a read that begins elsewhere")
}

func TestDesk(t *testing.T) {
	const wait = 500
	request := func(from, wait int64) *wire.LogRequest { return &wire.LogRequest{From: from, WaitMillis: wait} }
	one := func(replies []Reply) wire.LogAnswer {
		t.Helper()
		require.Len(t, replies, 1)
		return replies[0].Answer
	}
	d := NewDesk(2*time.Second, nil)
	ask := func(now time.Duration, r *wire.LogRequest) wire.LogAnswer {
		t.Helper()
		replies, _ := d.Request(now, now, asker, r)
		return one(replies)
	}
	waits := func(now time.Duration, r *wire.LogRequest, due time.Duration) {
		t.Helper()
		replies, at := d.Request(now, now, asker, r)
		require.Empty(t, replies)
		require.Equal(t, due, at)
	}
	require.Equal(t, wire.LogRefused, ask(0, request(0, wait)).Status, "before the first read")

	require.Empty(t, d.Add(time.Second, at(10), batch(10, 13, 4), 900*time.Millisecond))
	a := ask(time.Second, request(11, wait))
	require.Equal(t, wire.LogOK, a.Status)
	require.EqualValues(t, 13, a.Next)
	require.Len(t, a.Records, 2)
	require.EqualValues(t, -100*time.Millisecond, a.Proof)
	require.Equal(t, wire.LogGap, ask(time.Second, request(9, wait)).Status, "before the first record held")
	require.Equal(t, wire.LogGap, ask(time.Second, request(14, 0)).Status, "after the last one")

	waits(time.Second, request(13, wait), 1500*time.Millisecond)
	require.Empty(t, d.Due(1400*time.Millisecond))
	a = one(d.Add(1400*time.Millisecond, at(13), batch(13, 14, 4), 1300*time.Millisecond))
	require.Len(t, a.Records, 1)
	require.EqualValues(t, 300*time.Millisecond, a.Proof, "a proof of after the request arrived")
	waits(1400*time.Millisecond, request(14, wait), 1900*time.Millisecond)
	a = one(d.Due(1900 * time.Millisecond))
	require.Equal(t, wire.LogOK, a.Status, "no record in time, but the proof is recent")
	require.Empty(t, a.Records)
	waits(3*time.Second, request(14, wait), 3300*time.Millisecond+1)
	require.Equal(t, wire.LogRefused, one(d.Due(3300*time.Millisecond+1)).Status, "refused as soon as the proof is too old")

	require.Equal(t, wire.LogRefused, ask(4*time.Second, request(14, wait)).Status, "proof too old")
	incomplete := batch(14, 15, 4)
	incomplete.End = 99
	d.Add(4*time.Second, at(14), incomplete, 4*time.Second)
	require.Equal(t, wire.LogRefused, ask(4*time.Second, request(14, wait)).Status, "an incomplete read proves nothing")
	d.Add(4*time.Second, at(15), batch(15, 99, 4), 4*time.Second)
	a = ask(4*time.Second, request(14, wait))
	records, err := unpack(&a)
	require.NoError(t, err)
	require.Len(t, records, 85)

	d.Add(4*time.Second, at(200), batch(200, 201, 4), 4*time.Second)
	require.Equal(t, wire.LogGap, ask(4*time.Second, request(150, wait)).Status, "a read that skipped records")
	d.Clear()
	require.Equal(t, wire.LogRefused, ask(4*time.Second, request(201, wait)).Status)
}

// Records that do not fit into an answer lead to LogGap, never to a shorter answer, and
// the records held are bounded.
func TestDeskSizes(t *testing.T) {
	for name, c := range map[string]struct {
		random bool // records that cannot be compressed
		size   int
		least  int64 // first offset that is answered
	}{
		"compressible":   {false, 1000, 743},
		"incompressible": {true, 1000, 993},
		"small":          {true, 4, 600},
	} {
		t.Run(name, func(t *testing.T) {
			b := batch(0, 1000, c.size)
			if c.random {
				rng := rand.NewChaCha8([32]byte{})
				for _, r := range b.Records {
					rng.Read(r.Value)
				}
			}
			d := NewDesk(time.Second, nil)
			d.Add(0, at(0), b, 0)
			require.LessOrEqual(t, d.history.bytes, maxHistoryBytes)
			gaps := 0
			for from := int64(0); from <= 1000; from++ {
				a := answerTo(t, d, &wire.LogRequest{From: from})
				if a.Status == wire.LogGap {
					gaps++
					require.Less(t, from, c.least)
					continue
				}
				require.Equal(t, wire.LogOK, a.Status, "from %d", from)
				data, err := a.MarshalMsg(nil)
				require.NoError(t, err)
				require.Less(t, len(data), 8<<10, "fits into a datagram that gateways receive")
				var received wire.LogAnswer
				_, err = received.UnmarshalMsg(data)
				require.NoError(t, err, "from %d", from)
				records, err := unpack(&received)
				require.NoError(t, err)
				require.Len(t, records, int(1000-from))
				for i, r := range records {
					require.Equal(t, b.Records[from+int64(i)], store.Record{Key: r.Key, Value: r.Value})
				}
			}
			require.Positive(t, gaps)
		})
	}
	d := NewDesk(time.Second, nil)
	d.Add(0, at(0), batch(0, 1, maxHistoryBytes), 0)
	require.Equal(t, wire.LogGap, answerTo(t, d, &wire.LogRequest{From: 0}).Status, "larger than the history")
	require.Equal(t, wire.LogOK, answerTo(t, d, &wire.LogRequest{From: 1}).Status)
}

// The largest records that a reader packs fit into what an asker accepts; others, and
// bytes that are no records, are refused.
func TestUnpackRefuses(t *testing.T) {
	var p packer
	h := history{next: store.NoPosition}
	for i := range int64(300) {
		h.add(at(i), batch(i, i+1, 4000), 0)
	}
	list, _, ok := h.since(at(h.first))
	require.True(t, ok)
	data, ok := p.pack(h.first, h.next.Offset, list)
	require.True(t, ok)
	got, err := unpack(&wire.LogAnswer{Packed: data})
	require.NoError(t, err)
	require.Len(t, got, len(list))

	for name, packed := range map[string][]byte{
		"no DEFLATE": []byte("xxxx"),
		"cut":        data[:len(data)/2],
		"no records": p.compress([]byte("x")),
		"too large":  p.compress(make([]byte, maxUnpackedBytes+1)),
	} {
		_, err := unpack(&wire.LogAnswer{Packed: packed})
		require.Error(t, err, name)
	}
}

// fakeStore is a store of which only Read and Newest at one end are of interest.
type fakeStore struct{ calls, snapshots int }

func (f *fakeStore) Read(_ context.Context, _ string, from store.Position, _ time.Duration) (store.Batch, error) {
	f.calls++
	return store.Batch{Next: from, End: from.Offset}, nil
}

func (f *fakeStore) Newest(context.Context, string) (store.Batch, error) {
	f.snapshots++
	return store.Batch{Next: at(5), End: 5}, nil
}

// topicWith returns a Topic of a gateway that has caught up, and whose only reader
// answers with what answer returns.
func topicWith(s store.Reader, answer func(l *Link, r *wire.LogRequest, from netip.AddrPort)) *Topic {
	reader := netip.MustParseAddrPort("10.0.0.9:7000")
	entries := gateways("g-1", "g-2", "g-3")
	first := Readers(entries, "a")[0]
	for name, e := range entries {
		e.Address = "10.0.0.8:7000"
		if name == first {
			e.Address = reader.String()
		}
		entries[name] = e
	}
	start := time.Now()
	l := NewLink(Options{
		Instance: "g-0", DataCentre: "a", Log: log.New(io.Discard),
		Entries: func() map[string]wire.Instance { return entries },
		Clock:   func() time.Duration { return time.Hour + time.Since(start) },
	})
	l.Connect(func(data []byte, to netip.AddrPort) {
		var r wire.LogRequest
		if _, err := r.UnmarshalMsg(data[1:]); err == nil && to == reader {
			time.AfterFunc(time.Millisecond, func() { answer(l, &r, reader) })
		}
	})
	t := l.Topic(s, TopicOptions{Name: "t", Wait: 700 * time.Millisecond, ReaderWait: time.Second, MaxAge: 2 * time.Second, Timeout: time.Second})
	t.caughtUp = true
	return t
}

// Only the answer to the request underway counts, from the address that was asked.
func TestAnswersThatAreNotAccepted(t *testing.T) {
	good := func(r *wire.LogRequest) *wire.LogAnswer {
		return &wire.LogAnswer{Nonce: r.Nonce, Status: wire.LogOK, Next: r.From + 1, Records: []wire.LogRecord{{Key: "k"}}}
	}
	tests := map[string]struct {
		answer  func(l *Link, r *wire.LogRequest, from netip.AddrPort)
		relayed bool
	}{
		"good": {func(l *Link, r *wire.LogRequest, from netip.AddrPort) { l.HandleAnswer(good(r), from) }, true},
		"twice": {func(l *Link, r *wire.LogRequest, from netip.AddrPort) {
			l.HandleAnswer(good(r), from)
			l.HandleAnswer(good(r), from)
		}, true},
		"other nonce": {func(l *Link, r *wire.LogRequest, from netip.AddrPort) {
			a := good(r)
			a.Nonce++
			l.HandleAnswer(a, from)
		}, false},
		"other sender": {func(l *Link, r *wire.LogRequest, _ netip.AddrPort) { l.HandleAnswer(good(r), asker) }, false},
		"proof from the future": {func(l *Link, r *wire.LogRequest, from netip.AddrPort) {
			a := good(r)
			a.Proof = int64(time.Second)
			l.HandleAnswer(a, from)
		}, false},
		"old proof": {func(l *Link, r *wire.LogRequest, from netip.AddrPort) {
			a := good(r)
			a.Proof = -int64(3 * time.Second)
			l.HandleAnswer(a, from)
		}, false},
		"offset goes back": {func(l *Link, r *wire.LogRequest, from netip.AddrPort) {
			a := good(r)
			a.Next = r.From - 1
			l.HandleAnswer(a, from)
		}, false},
		"records of another era": {func(l *Link, r *wire.LogRequest, from netip.AddrPort) {
			a := good(r)
			a.Era = r.Era + 1
			l.HandleAnswer(a, from)
		}, false},
		"gap": {func(l *Link, r *wire.LogRequest, from netip.AddrPort) {
			l.HandleAnswer(&wire.LogAnswer{Nonce: r.Nonce, Status: wire.LogGap}, from)
		}, false},
		"lost": {func(*Link, *wire.LogRequest, netip.AddrPort) {}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{}
				topic := topicWith(s, test.answer)
				asked := topic.link.opts.Clock()
				b, err := topic.Read(t.Context(), "t", at(7), 0)
				require.NoError(t, err)
				require.Equal(t, test.relayed, b.Relayed)
				if test.relayed {
					require.Equal(t, store.Batch{Records: []store.Record{{Key: "k"}}, Next: at(8), End: 8, CurrentAt: asked, Relayed: true}, b)
				} else {
					require.Equal(t, 1, s.calls, "one call to the store")
				}
				require.Empty(t, topic.link.underway)
			})
		})
	}
}

// After a snapshot, whose records may be newer than a reader's, the store is read
// itself, up to the end.
func TestSnapshotIsFollowedByReadOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		topic := topicWith(s, func(l *Link, r *wire.LogRequest, from netip.AddrPort) {
			l.HandleAnswer(&wire.LogAnswer{Nonce: r.Nonce, Status: wire.LogOK, Next: r.From}, from)
		})
		read := func(relayed bool) {
			b, err := topic.Read(t.Context(), "t", at(5), 0)
			require.NoError(t, err)
			require.Equal(t, relayed, b.Relayed)
		}
		read(true)
		_, err := topic.Newest(t.Context(), "t")
		require.NoError(t, err)
		read(false)
		read(true)
		require.Equal(t, 1, s.calls)
		require.Equal(t, 1, s.snapshots)
	})
}
