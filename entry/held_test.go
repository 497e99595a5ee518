package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// limitedBuffers has room for left bytes.
type limitedBuffers struct{ left int64 }

func (b *limitedBuffers) Reserve(n int64) bool {
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *limitedBuffers) Release(n int64) { b.left += n }

// The answer to a claimed call is held whole. It ends with an error once it is longer than any
// message, or there is no room for it, and nothing is held for it then.
func TestClaimedAnswerIsBounded(t *testing.T) {
	chunk := make([]byte, 32<<10)
	for name, room := range map[string]int64{"length": 1 << 30, "room": 1 << 20} {
		buffers := &limitedBuffers{room}
		sink := bufferSink{held: held{buffers: buffers}}
		var err error
		written := 0
		for ; err == nil && written < 1<<26; written += len(chunk) {
			err = sink.write(chunk)
		}
		var e *api.Error
		require.ErrorAs(t, err, &e, name)
		require.Equal(t, api.StreamBroken, e.Code, name)
		require.LessOrEqual(t, int64(written), min(maxClaimedBytes, room)+int64(len(chunk)), name)
		sink.held.release()
		require.Equal(t, room, buffers.left, name)
	}
}

// Without room a response is forwarded as it arrives, whole and in order, and its request is
// not restarted.
func TestResponseWithoutRoomIsForwardedAsItArrives(t *testing.T) {
	const chunks = 64
	want := bytes.Repeat([]byte("0123456789abcdef"), 64)
	buffers := &limitedBuffers{8 * int64(len(want))}
	h := &held{buffers: buffers}
	w := httptest.NewRecorder()
	resp, asm := newResponse(w, "id"), newAssembler()
	resp.held, asm.held = h, h
	resp.head(&wire.Head{Status: http.StatusOK})
	for n := range chunks {
		for _, data := range asm.add(&wire.Chunk{Attempt: 1, Seq: uint64(n), Data: want}) {
			require.NoError(t, resp.write(data))
		}
	}
	require.NoError(t, resp.complete())
	require.Equal(t, bytes.Repeat(want, chunks), w.Body.Bytes())
	require.False(t, asm.restartable())
	h.release()
	require.EqualValues(t, 8*len(want), buffers.left)
}
