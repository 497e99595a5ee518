package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFrameRoundTrip(t *testing.T) {
	in := &Chunk{Stream: 7, Attempt: 2, Seq: 3, Data: []byte("token")}
	frame, err := AppendFrame(nil, in)
	require.NoError(t, err)
	out, _, err := ReadFrame(bytes.NewReader(frame), nil)
	require.NoError(t, err)
	require.Equal(t, in, out)
}
