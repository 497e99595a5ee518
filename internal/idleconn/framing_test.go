package idleconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Whatever http.Server accepts as the body of a request ends for framing where it ends for
// http.Server, however it is cut into reads.
func FuzzFramingEndsWhereBodyEnds(f *testing.F) {
	for _, request := range requestsByBody {
		f.Add([]byte(request+"GET / HTTP/1.1\r\n"), 7)
	}
	for _, chunks := range []string{
		"0\r\n\r\n", "0\r\n\r\nx", "00\r\na:\r\n \r\n\r\nx", "1 \r\nx\r\n0\t\r\n\r\nx", "1;0\r\nx\r\n0;1\r\n\r\nx", "a\r\n0\r\n\r\n0\r\n\r\r\n0\r\n\r\nx",
		"0\r\na:\n\r\n\r\nx", "0\r\na:\r\n\n\r\n\r\nx", "1\nx\r\n0\r\n\r\n", "0000000000000001\r\nx\r\n0\r\n\r\nx", "1\r\nx\r\n0\r\na:\r\r\n\r\n\r\nx",
	} {
		f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks), 3)
	}
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		if size < 1 || len(sent) > maxAhead {
			return
		}
		all := bytes.NewReader(sent)
		br := bufio.NewReaderSize(all, readerBytes)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		left := br.Buffered() + all.Len()
		var framing framing
		begun := false
		for rest := sent; len(rest) > 0 && !framing.lost; {
			n := min(size, len(rest))
			framing.add(rest[:n])
			rest = rest[n:]
			if framing.head.ended && !begun {
				framing.begin(r)
				begun = true
			}
		}
		if framing.lost {
			return
		}
		require.True(t, framing.body.done, "%q", sent)
		require.Len(t, framing.ahead, left, "%q", sent)
	})
}

// A connection is lost where framing does not know where the next request begins.
func TestNextRequestOfUnknownBodyIsLost(t *testing.T) {
	read := func(sent string) (f framing) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent)))
		require.NoError(t, err)
		f.add([]byte(sent))
		f.begin(r)
		return f
	}
	f := read("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.next()
	require.False(t, f.lost)
	f = read("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	f.next()
	require.True(t, f.lost)
	f.next()
	require.True(t, f.lost)
	f = read("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.add(make([]byte, maxAhead+1))
	require.True(t, f.lost)
}
