package resphead_test

import (
	"bufio"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/internal/resphead"
	"marjorampitch/internal/resphead/headtest"
)

// check checks text in pieces of random sizes and returns what may be passed on.
func check(text string, rng *rand.Rand) (passed string, err error) {
	var c resphead.Checker
	for len(text) > 0 {
		piece := text[:1+rng.IntN(len(text))]
		n, err := c.Check([]byte(piece))
		passed += piece[:n]
		if err != nil {
			return passed, err
		}
		text = text[len(piece):]
	}
	return passed, nil
}

// A parser behind the checker never has a whole malformed head, but the first byte of one.
func TestMalformedHeadNeverPassesWhole(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 51))
	for _, m := range headtest.Heads() {
		text := m.Text(http.StatusOK, "X-Id: 1\r\n", "body")
		var first string
		for n := range 50 {
			passed, err := check(text, rng)
			require.ErrorIs(t, err, resphead.ErrMalformed, m.Name)
			if n == 0 {
				first = passed
			}
			require.Equal(t, first, passed, m.Name)
		}
		require.NotEmpty(t, first, m.Name)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(first)), nil)
		if err == nil { // an interim head before it
			require.Equal(t, 103, resp.StatusCode, m.Name)
		}
	}
}

// Heads that differ from the usual form but are sound pass, and so does any body.
func TestSoundHeadsPass(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 51))
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-A: a\r\n\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.1 200 \r\n\r\n", "HTTP/1.1 599 X\nX-A:a\n\n", "HTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~1: \t\x80\xff\r\nX-Empty:\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: 1\r\nTransfer-Encodin: 1\r\nTE: 1\r\n\r\n",
	} {
		text := head + "\x00 body: \r\n : \x7f HTTP/1.1 000 X\r\n\r\n"
		for range 50 {
			passed, err := check(text, rng)
			require.NoError(t, err, "%q", head)
			require.Equal(t, text, passed)
		}
	}
}

// What passes the checker has no field or status that the parser takes and that is none.
func FuzzHeads(f *testing.F) {
	for _, m := range headtest.Heads() {
		f.Add(m.Text(http.StatusOK, "X-Id: 1\r\n", "body"))
	}
	f.Fuzz(func(t *testing.T, text string) {
		var c resphead.Checker
		n, _ := c.Check([]byte(text))
		br := bufio.NewReader(strings.NewReader(text[:n]))
		for {
			resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead})
			if err != nil {
				return
			}
			require.GreaterOrEqual(t, resp.StatusCode, 100)
			require.Less(t, resp.StatusCode, 600)
			for name := range resp.Header {
				require.NotContains(t, name, " ")
			}
			if resp.StatusCode >= 200 {
				return
			}
		}
	})
}

// A head that does not end is bounded, whatever it consists of.
func TestHeadWithoutEnd(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string][2]string{
		"reason": {"HTTP/1.1 200 ", "x"}, "name": {begin, "x"}, "value": {begin + "X: ", "x"}, "fields": {begin, "x:\n"},
		"interim heads": {"", "HTTP/1.1 103 X\r\n\r\n"}, "fields of interim heads": {"", "HTTP/1.1 103 X\r\nx:\r\nx:\r\n\r\n"},
	} {
		var c resphead.Checker
		var err error
		total, p := 0, []byte(text[0])
		for err == nil && total < 2*resphead.MaxBytes {
			var n int
			n, err = c.Check(p)
			total += n
			p = []byte(text[1])
		}
		require.ErrorIs(t, err, resphead.ErrTooLarge, name)
		require.LessOrEqual(t, total, resphead.MaxBytes+1, name)
		_, err = c.Check([]byte("x"))
		require.ErrorIs(t, err, resphead.ErrTooLarge, name)
	}
}

func BenchmarkCheck(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: 9c41d07be2a35f68\r\nX-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n")
	b.SetBytes(int64(len(head)))
	for b.Loop() {
		var c resphead.Checker
		if _, err := c.Check(head); err != nil {
			b.Fatal(err)
		}
	}
}
