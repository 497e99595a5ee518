package logfold

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

// withOrganisations returns a document with n organisations.
func withOrganisations(n int) []byte {
	var b strings.Builder
	b.Write(document(0, 3))
	for i := range n {
		fmt.Fprintf(&b, "[organisation org-%d]\nweight = %d\n", i, 1+i%5)
	}
	return []byte(b.String())
}

func BenchmarkApplyAccepted(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 7_400} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			data := change(b, 0, withOrganisations(n), "n")
			for b.Loop() {
				state := NewState("s")
				out, err := state.Apply(backing.Record{Data: data})
				if err != nil || !out.Accepted {
					b.Fatal(err, out)
				}
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
	}
}

// BenchmarkApplyConflict measures a record that is refused because its base is
// not the current version.
func BenchmarkApplyConflict(b *testing.B) {
	data := change(b, 5, withOrganisations(7_400), "n")
	for b.Loop() {
		state := NewState("s")
		if _, err := state.Apply(backing.Record{Data: data}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	f := NewFollower(Options{Service: "s", DataCentre: "d0", Jitter: half})
	f.Handle(0, Tick{})
	records := []backing.Record{{Data: change(b, 0, withOrganisations(10), "n")}}
	f.Handle(1, ConfigRead{Batch: backing.Batch{Records: records, End: 1}})
	require.NotNil(b, f.ActiveDocument())
	now := time.Second
	e := HeartbeatReceived{Peer: "p", DataCentre: "d1", HasSentAfter: true, Heartbeat: wire.Heartbeat{ProofAgeMillis: 3}}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		e.SentAfter = now - time.Millisecond
		f.Handle(now, e)
	}
}

func BenchmarkCurrent(b *testing.B) {
	r := NewRunner(nil, Options{Service: "s", DataCentre: "d0", Jitter: half})
	for b.Loop() {
		r.Current()
	}
}
