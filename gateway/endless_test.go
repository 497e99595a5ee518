package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A server sends bytes that are no answer until its connection ends. The gateway ends it
// after a bounded number of bytes, and does not say that the request has not run.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const limit = 2*maxResponseBytes + 16<<20 // with what the sockets hold
	ok := "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: seal\r\n"
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	stream := ok + "Content-Type: text/event-stream\r\n\r\n"
	for name, answer := range map[string]struct{ begin, repeat string }{
		"no answer":               {"", "0123456789"},
		"status line":             {"HTTP/1.1 200 ", "OK"},
		"header":                  {ok + "X-Long: ", "x"},
		"headers":                 {ok, "X-More: 1\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"answers to others":       {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx"},
		"body of another's":       {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"rest of another's":       {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x"},
		"body":                    {ok + "\r\n", "x"},
		"chunks":                  {chunked, "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
		"size of a chunk":         {chunked, "0"},
		"extension of a chunk":    {chunked + "1;x=", "x"},
		"extensions of chunks":    {chunked, "1;x=xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n"},
		"trailer":                 {chunked + "0\r\nX-Long: ", "x"},
		"trailers":                {chunked + "0\r\n", "X-More: 1\r\n"},
		"event":                   {stream + "data: ", "x"},
		"lines of an event":       {stream, "data: x\n"},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTestGateway(t)
			tg.document(allowTime)
			var written, conns atomic.Int64
			ended := make(chan struct{})
			tg.server(func(c *conn) {
				if conns.Add(1) > 1 {
					return
				}
				defer close(ended)
				r := c.request()
				c.write(strings.ReplaceAll(answer.begin, "ID", r.Header.Get("X-Id")))
				block := []byte(strings.Repeat(answer.repeat, (64<<10)/len(answer.repeat)))
				for written.Load() < 4*limit {
					n, err := c.Write(block)
					if written.Add(int64(n)); err != nil {
						return
					}
				}
			})
			status, body, _ := tg.call("/fixed/")
			<-ended
			require.Less(t, written.Load(), int64(limit))
			require.True(t, status == http.StatusBadGateway || strings.HasSuffix(body, " CUT"), "%d %.100s", status, body)
			require.EqualValues(t, 1, conns.Load())
			used, _ := tg.g.callers.Used()
			require.Zero(t, used)
		})
	}
}

// A refusal whose body does not end does not keep its request from another server.
func TestEndlessRefusalIsCutOff(t *testing.T) {
	for name, head := range map[string]string{
		"with chunks": "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", "without length": "\r\nx", "with length": "Content-Length: 100\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			first := tg.server(func(c *conn) {
				r := c.request()
				c.write("HTTP/1.1 503 X\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Not-Run: full\r\n" + head)
				c.request() // returns when the gateway closes the connection
			})
			tg.preferInOrder(first, tg.server(serve("other")))
			status, body, _ := tg.call("/once/")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "other", body)
		})
	}
}
