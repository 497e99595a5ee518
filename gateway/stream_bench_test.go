package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkStreamEvents forwards events to a caller that reads promptly; an operation
// is one event. The server sends each event once the caller has the one before it.
func BenchmarkStreamEvents(b *testing.B) {
	const perStream = 200
	tg := newUnservedGateway(b)
	next := make(chan struct{}, 1)
	tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			c.write(strings.Replace(streamHead(r), "\r\n\r\n", "\r\nKeep-Alive: timeout=9\r\n\r\n", 1))
			for id := range perStream {
				<-next
				c.write(event(id))
			}
			c.write("0\r\n\r\n")
		}
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	tg.serveOn(ln)
	caller, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(b, err)
	defer caller.Close()
	br := bufio.NewReader(caller)
	b.ReportAllocs()
	left := 0
	var body *bufio.Reader
	for b.Loop() {
		if left == 0 {
			fmt.Fprintf(caller, "POST /fixed/ HTTP/1.1\r\nHost: h\r\nX-Id: %x\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n", nextID.Add(1))
			next <- struct{}{}
			resp, err := http.ReadResponse(br, nil)
			require.NoError(b, err)
			body, left = bufio.NewReader(resp.Body), perStream
		} else {
			next <- struct{}{}
		}
		for line := ""; line != "\n"; {
			if line, err = body.ReadString('\n'); err != nil {
				b.Fatal(err)
			}
		}
		if left--; left == 0 {
			body.ReadByte() // the end of the stream
		}
	}
	b.StopTimer()
	time.Sleep(time.Millisecond)
}
