package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/internal/fuzztest"
)

func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Defaults{Seed: 20261203, Checks: 2000})
}

func TestFrameRoundTrip(t *testing.T) {
	in := &Chunk{Stream: 7, Attempt: 2, Seq: 3, Data: []byte("token")}
	frame, err := AppendFrame(nil, in)
	require.NoError(t, err)
	out, err := NewReader(bytes.NewReader(frame)).Next()
	require.NoError(t, err)
	require.Equal(t, in, out)
}

// Guards against the array limit of the msgp decoder (4096) being applied to fields
// with bulk data, which may be as large as a frame.
func TestFrameCarriesLargeBytes(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 1<<20)
	for _, in := range []Message{
		&Config{Document: large},
		&Request{Body: large},
		&Chunk{Data: large},
		&KeyAnswer{Answer: Answer{Body: large}},
		&Order{Map: large},
	} {
		frame, err := AppendFrame(nil, in)
		require.NoError(t, err)
		_, err = NewReader(bytes.NewReader(frame)).Next()
		require.NoError(t, err, "%T", in)
	}
}

func TestPartReport(t *testing.T) {
	sent := PartReport{Instance: "gateway-1", Incarnation: 5, SentAt: 6, Evidence: []PartEvidence{
		{Part: 1 << 63, Crash: 2, SentAge: 3000, BrokeAge: 2000, InUse: true},
		{Part: 3, Crash: 4, Cleared: true},
	}}
	data, err := sent.MarshalMsg(nil)
	require.NoError(t, err)
	var received PartReport
	_, err = received.UnmarshalMsg(data)
	require.NoError(t, err)
	require.Equal(t, sent, received)
}
