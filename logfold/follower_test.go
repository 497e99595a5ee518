package logfold

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// document returns a small document of service s with the given number of data
// centres; mark distinguishes documents.
func document(mark, centres int) []byte {
	var b strings.Builder
	b.WriteString("[service]\nname = s\nformat = 1\n")
	for i := range centres {
		fmt.Fprintf(&b, "[data-centre d%d]\nregion = r\n", i)
	}
	b.WriteString("[backend-server b]\ndata-centre = d0\nkind = plain\npool = p\nmax-running = 4\n")
	b.WriteString("[organisation o]\n[route r]\npath = /r\npool = p\nidempotent = yes\n")
	fmt.Fprintf(&b, "[organisation mark]\nweight = %d\n", mark+1)
	b.WriteString("[routing]\npolicy = random\n[placement]\npolicy = static\n[limits]\nfresh-for = 5s\n")
	return []byte(b.String())
}

// change returns an encoded ConfigChange with a document based on version base.
func change(t testing.TB, base uint64, text []byte, nonce string) []byte {
	packed, err := Pack(text)
	require.NoError(t, err)
	c := ConfigChange{Service: "s", Base: base, Format: 1, Document: packed, Nonce: nonce}
	data, err := c.MarshalMsg(nil)
	require.NoError(t, err)
	return data
}

func half() float64 { return 0.5 }

// Invalid records, records of another service and changes based on an old version
// must not change the state.
func TestStateApply(t *testing.T) {
	other := strings.Replace(string(document(0, 1)), "name = s", "name = other", 1)
	records := []struct {
		data []byte
		code api.Code
	}{
		{[]byte("rubbish"), api.ConfigInvalid},
		{change(t, 0, []byte("[service]\nformat = 1\n"), "invalid"), api.ConfigInvalid},
		{change(t, 0, []byte(other), "other service"), api.ConfigInvalid},
		{change(t, 0, document(1, 1), "first"), api.OK},
		{change(t, 0, document(2, 1), "lost race"), api.ConfigConflict},
		{change(t, 1, document(3, 1), "second"), api.OK},
	}
	state := NewState("s")
	for i, r := range records {
		out, err := state.Apply(backing.Record{Offset: backing.Offset(i), Data: r.data})
		require.NoError(t, err)
		require.Equal(t, r.code, out.Code, out.Nonce)
		require.Equal(t, r.code == api.OK, out.Accepted)
	}
	require.Equal(t, uint64(2), state.Version)
	require.Equal(t, backing.Offset(5), state.Offset)
	require.Equal(t, document(3, 1), state.Text)
	_, err := state.Apply(backing.Record{Offset: 7})
	require.ErrorIs(t, err, ErrGap)
}

// A record of an unknown format must not be skipped: whether later changes are
// accepted depends on it.
func TestStateStopsAtUnknownFormat(t *testing.T) {
	c := ConfigChange{Service: "s", Format: 99}
	data, err := c.MarshalMsg(nil)
	require.NoError(t, err)
	state := NewState("s")
	_, err = state.Apply(backing.Record{Data: data})
	require.ErrorIs(t, err, ErrUnknownFormat)
	require.Equal(t, backing.NoOffset, state.ReadTo)
}

// A follower may start from a checkpoint only if every later record is retained.
func TestStartFromCheckpoint(t *testing.T) {
	state := NewState("s")
	_, err := state.Apply(backing.Record{Data: change(t, 0, document(1, 1), "a")})
	require.NoError(t, err)
	cp, err := state.Checkpoint().MarshalMsg(nil)
	require.NoError(t, err)
	for _, c := range []struct {
		start backing.Offset
		takes bool
	}{{1, true}, {2, false}} {
		f := NewFollower(Options{Service: "s", DataCentre: "d0", Jitter: half})
		require.Equal(t, []Action{ReadConfig{From: 0, Wait: pollWait}}, f.Handle(0, Tick{}))
		f.Handle(1, ConfigReadFailed{Trimmed: true, Batch: backing.Batch{Start: c.start, End: c.start}})
		require.Equal(t, []Action{ReadCheckpoints{From: 0, Limit: 1}}, f.Handle(2, Tick{}))
		found := backing.Batch{Records: []backing.Record{{Data: cp}}, End: 1}
		require.Equal(t, []Action{ReadCheckpoints{From: 0, Limit: minCheckpointTail}}, f.Handle(3, CheckpointsRead{Batch: found}))
		f.Handle(4, CheckpointsRead{Batch: found})
		require.Equal(t, !c.takes, f.stalled)
		require.Nil(t, f.ActiveDocument(), "no proof yet")
	}
}

// A document received from a peer is activated only once a peer supplies a log proof
// for it.
func TestFollowerWithPeersOnly(t *testing.T) {
	state := NewState("s")
	_, err := state.Apply(backing.Record{Data: change(t, 0, document(1, 3), "a")})
	require.NoError(t, err)
	f := NewFollower(Options{Service: "s", DataCentre: "d0", ReadMode: ReadNever, Jitter: half})
	require.Empty(t, f.Handle(0, Tick{}))
	heartbeat := HeartbeatReceived{
		Peer: "p", DataCentre: "d1", HasSentAfter: true, SentAfter: time.Second,
		Heartbeat: wire.Heartbeat{ConfigOffset: 0, ProofAgeMillis: 200},
	}
	require.Equal(t, []Action{SendQuery{Peer: "p", Query: wire.ConfigQuery{ReadTo: -1}}}, f.Handle(time.Second, heartbeat))
	offer := wire.Config{Offset: 0, Version: 1, ReadTo: 0, Document: state.Packed()}
	require.Empty(t, f.Handle(time.Second, DocumentReceived{Config: offer}), "received, but not proved to be current")
	heartbeat.SentAfter = 2 * time.Second
	actions := f.Handle(2*time.Second, heartbeat)
	require.Len(t, actions, 1)
	require.Equal(t, uint64(1), actions[0].(Activate).Document.Version)
	require.True(t, f.Current(6*time.Second))
	require.False(t, f.Current(8*time.Second))
}

// A quorum proof needs recent votes of a majority of data centres with the same
// document, and none while the log answers a peer or a peer has a newer document.
func TestQuorumWhileLogIsDown(t *testing.T) {
	state := NewState("s")
	_, err := state.Apply(backing.Record{Data: change(t, 0, document(1, 3), "a")})
	require.NoError(t, err)
	fresh := NewFreshness("d0", true)
	fresh.SetDocument(state.Doc, 0)
	fresh.RecordReadToEnd(0)
	fresh.RecordReadResult(0, false)
	at := 10 * time.Second
	require.False(t, fresh.Current(at))
	fresh.RecordReport(PeerReport{SentAfter: at, DataCentre: "d0", Offset: 0, ProofAge: -1, LogDown: true})
	require.False(t, fresh.Current(at), "the own data centre is not a majority")
	fresh.RecordReport(PeerReport{SentAfter: at, DataCentre: "d1", Offset: -1, ProofAge: -1, LogDown: true})
	require.False(t, fresh.Current(at), "a peer with another document does not count")
	fresh.RecordReport(PeerReport{SentAfter: at, DataCentre: "d1", Offset: 0, ProofAge: -1, LogDown: true})
	require.True(t, fresh.Current(at+time.Second))
	require.False(t, fresh.Current(at+6*time.Second))
	fresh.RecordReport(PeerReport{SentAfter: at - time.Second, DataCentre: "d2", Offset: 0, ProofAge: -1, LogUp: true})
	require.False(t, fresh.Current(at+time.Second), "the log service answers a peer")
	later := at + 2*time.Second
	fresh.RecordReport(PeerReport{SentAfter: later, DataCentre: "d1", Offset: 0, ProofAge: -1, LogDown: true})
	require.True(t, fresh.Current(later+time.Second), "a later report counts again")
	fresh.RecordReport(PeerReport{SentAfter: at, DataCentre: "d2", Offset: 4, ProofAge: -1, LogDown: true})
	require.False(t, fresh.Current(later+time.Second), "a peer has a newer document")
}

// A process whose next record was trimmed while the log service was down must
// stop reporting the log as down once the log answers. Otherwise such processes
// would form a quorum proof for a document that may be outdated.
func TestStalledProcessReportsLogUp(t *testing.T) {
	f := NewFollower(Options{Service: "s", DataCentre: "d0", Jitter: half})
	f.Handle(0, Tick{})
	f.Handle(time.Second, ConfigReadFailed{})
	require.True(t, f.fresh.LogDown(time.Second))
	f.Handle(2*time.Second, Tick{})
	f.Handle(3*time.Second, ConfigReadFailed{Trimmed: true, Batch: backing.Batch{Start: 5, End: 6}})
	require.True(t, f.stalled)
	require.False(t, f.fresh.LogDown(3*time.Second))
	f.Handle(3*time.Second, Tick{})
	f.Handle(4*time.Second, CheckpointsReadFailed{})
	require.True(t, f.fresh.LogDown(4*time.Second))
}

// A process that does not know the format of a change stops before it. It is no
// longer current after fresh-for, and continues once a peer sends a later
// document that it can parse.
func TestFollowerStopsAtUnknownFormat(t *testing.T) {
	unknown := ConfigChange{Service: "s", Base: 1, Format: 99}
	data, err := unknown.MarshalMsg(nil)
	require.NoError(t, err)
	records := []backing.Record{{Data: change(t, 0, document(1, 3), "a")}, {Offset: 1, Data: data}}
	f := NewFollower(Options{Service: "s", DataCentre: "d0", Jitter: half})
	f.Handle(0, Tick{})
	f.Handle(time.Second, ConfigRead{Sent: time.Second, Batch: backing.Batch{Records: records[:1], End: 1}})
	require.Equal(t, uint64(1), f.ActiveDocument().Version)
	f.Handle(2*time.Second, ConfigRead{Sent: 2 * time.Second, Batch: backing.Batch{Records: records, End: 2}})
	require.Equal(t, uint64(1), f.ActiveDocument().Version)
	require.True(t, f.Current(5*time.Second))
	heartbeat := HeartbeatReceived{Peer: "p", DataCentre: "d1", HasSentAfter: true, SentAfter: 6 * time.Second, Heartbeat: wire.Heartbeat{ConfigOffset: 1}}
	f.Handle(6*time.Second, heartbeat)
	require.False(t, f.Current(7*time.Second))
	packed, err := Pack(document(3, 3))
	require.NoError(t, err)
	f.Handle(7*time.Second, DocumentReceived{Config: wire.Config{Offset: 2, Version: 3, ReadTo: 2, Document: packed}})
	require.Equal(t, uint64(3), f.ActiveDocument().Version)
	require.False(t, f.stalled)
}
