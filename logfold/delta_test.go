package logfold

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// largeText returns a text as long as a document with thousands of sections.
func largeText() []byte {
	var b bytes.Buffer
	for i := range 12_000 {
		fmt.Fprintf(&b, "[backend-server dc%d-llm-%d]\npool = pool-%d\nmax-running = %d\n", i%6, i, i%35, i*7919%97)
	}
	return b.Bytes()
}

func TestDeltaOfALargeDocumentIsSmall(t *testing.T) {
	base := largeText()
	text := bytes.Replace(base, []byte("llm-5000]\npool"), []byte("llm-5000]\nstate = leaving\npool"), 1)
	packed, err := PackDelta(base, text)
	require.NoError(t, err)
	require.Less(t, len(packed), 1_000)
	got, err := UnpackDelta(base, packed)
	require.NoError(t, err)
	require.Equal(t, text, got)
}

func TestFuzzDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOf(rapid.Byte()).Draw(t, "base")
		text := append(bytes.Clone(base), rapid.SliceOf(rapid.Byte()).Draw(t, "more")...)
		packed, err := PackDelta(base, text)
		require.NoError(t, err)
		got, err := UnpackDelta(base, packed)
		require.NoError(t, err)
		require.Equal(t, string(text), string(got))
	})
}

func TestUnpackDeltaRejectsInvalidInput(t *testing.T) {
	_, err := UnpackDelta([]byte("base"), []byte("junk"))
	require.Error(t, err)
}
