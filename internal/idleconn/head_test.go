package idleconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
	"marjorampitch/internal/callerconn"
)

const (
	testMaxHead = 4 << 10
	eventually  = 10 * time.Second
)

// headServer is a server whose connections have a budget.
type headServer struct {
	conns   *callerconn.Conns
	addr    string
	served  atomic.Int64
	yielded chan callerconn.YieldCause // why connections were ended
}

func newHeadServer(t *testing.T, limits admit.ConnLimits, handler http.HandlerFunc) *headServer {
	start := time.Now()
	s := &headServer{
		conns:   callerconn.New(admit.NewConnBudget(limits), func() time.Duration { return time.Since(start) }),
		yielded: make(chan callerconn.YieldCause, 100),
	}
	s.conns.OnYield = func(y callerconn.Yield) { s.yielded <- y.Cause }
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.served.Add(1)
		handler(w, r)
	})}
	tracker := Track(srv, Options{MaxHead: func() int { return testMaxHead }})
	ln, err := callerconn.Listen(t.Context(), "127.0.0.1:0", nil)
	require.NoError(t, err)
	s.addr = ln.Addr().String()
	go srv.Serve(tracker.Listener(s.conns.Listener(ln))) //nolint:errcheck // ends with Close
	t.Cleanup(func() { srv.Close() })
	return s
}

func (s *headServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// held returns what requests and answers hold.
func (s *headServer) held() int64 {
	n, _ := s.conns.Used()
	return n
}

// fields returns n bytes of fields without values.
func fields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "f%04x:\r\n", i)
	}
	return b.String()[:n-n%8]
}

func readBody(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) } //nolint:errcheck // of tests

// A head that is too long is refused as soon as that has been read of it, and no handler
// gets it.
func TestLongHeadIsRefusedBeforeItIsWhole(t *testing.T) {
	s := newHeadServer(t, admit.ConnLimits{Bytes: 1 << 20, UnreadPerConn: 1 << 20}, readBody)
	c, br := s.dial(t)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n", fields(testMaxHead+headSlack))
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
	require.Equal(t, callerconn.YieldLongHead, <-s.yielded)
	require.True(t, resp.Close)
	_, err = br.ReadByte()
	require.Error(t, err, "the connection is closed")
	require.Zero(t, s.served.Load())
	require.Eventually(t, func() bool { return s.held() == 0 }, eventually, time.Millisecond)
}

// A head is held for its connection while it is read, and a crowd of them yields.
func TestHeadsAreHeldWhileRead(t *testing.T) {
	s := newHeadServer(t, admit.ConnLimits{Bytes: 1 << 20, UnreadPerConn: 1 << 20}, readBody)
	first, br := s.dial(t)
	fmt.Fprint(first, "GET / HTTP/1.1\r\nHost: h\r\n", fields(testMaxHead-100))
	require.Eventually(t, func() bool { return s.held() > 100<<10 }, eventually, time.Millisecond)
	for range 10 {
		c, _ := s.dial(t)
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n", fields(testMaxHead-100))
	}
	_, err := br.ReadByte()
	require.Error(t, err, "the oldest head yields")
	require.LessOrEqual(t, s.held(), int64(1<<20))
	c, br := s.dial(t)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Connections hold nothing between requests, whatever the requests were like, unless a
// client sends ahead.
func TestIdleConnectionHoldsNothing(t *testing.T) {
	long := strings.Repeat("x\n", 8<<10)
	for name, request := range map[string]string{
		"no body":       "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"many fields":   "GET / HTTP/1.1\r\nHost: h\r\n" + fields(testMaxHead-100) + "\r\n",
		"length":        fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"chunks":        fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long),
		"trailer":       fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x;e=1\r\n%s\r\n0\r\na: b\r\n\r\n", len(long), long),
		"body not read": "PUT /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n1234567\n\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newHeadServer(t, admit.ConnLimits{Bytes: 1 << 20, UnreadPerConn: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/unread" {
					readBody(w, r)
				}
			})
			c, br := s.dial(t)
			for range 3 {
				fmt.Fprint(c, request)
				resp, err := http.ReadResponse(br, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Eventually(t, func() bool { return s.held() == 0 }, eventually, time.Millisecond)
			}
		})
	}
}

// What a client sends ahead is held, and given back when its connection ends.
func TestRequestsAheadAreHeld(t *testing.T) {
	s := newHeadServer(t, admit.ConnLimits{Bytes: 1 << 20, UnreadPerConn: 1 << 20}, readBody)
	c, br := s.dial(t)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n", fields(3<<10))
	_, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.held() > 3<<10/8*fieldBytes }, eventually, time.Millisecond)
	c.Close()
	require.Eventually(t, func() bool { return s.held() == 0 }, eventually, time.Millisecond)
}

// requestsByBody are requests with bodies of each kind.
var requestsByBody = map[string]string{
	"no body": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"length":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nG\n\n\n",
	"chunks":  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\n\n\n\r\nA\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n",
	"trailer": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;e=\"0\"\r\n0\r\n000\r\na: b\r\n\r\n",
}

// However much a client sends ahead, what its requests hold is counted, and given back.
func TestRequestsAheadAreCounted(t *testing.T) {
	const shortFields = 3 << 10
	for name, request := range requestsByBody {
		for ahead := range len(request) + 2 {
			t.Run(fmt.Sprintf("%s, %d bytes", name, ahead), func(t *testing.T) {
				s := newHeadServer(t, admit.ConnLimits{Bytes: 1 << 20, UnreadPerConn: 1 << 20}, readBody)
				c, br := s.dial(t)
				stream := strings.Repeat(request, 3) + "GET / HTTP/1.1\r\nHost: h\r\n" + fields(shortFields)
				sent := 0
				for i := range 3 {
					next := min((i+1)*len(request)+ahead, len(stream))
					fmt.Fprint(c, stream[sent:next])
					sent = next
					resp, err := http.ReadResponse(br, nil)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, resp.StatusCode)
				}
				fmt.Fprint(c, stream[sent:])
				require.Eventually(t, func() bool { return s.held() > shortFields/8*fieldBytes }, eventually, time.Millisecond, "not counted")
				fmt.Fprint(c, "\r\n")
				resp, err := http.ReadResponse(br, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Eventually(t, func() bool { return s.held() == 0 }, eventually, time.Millisecond, "not given back")
			})
		}
	}
}

// A head that is too long is refused also if it was begun ahead, wherever its first part ends.
func TestLongHeadBegunAheadIsRefused(t *testing.T) {
	const start = "GET / HTTP/1.1\r\nHost: h\r\n"
	for name, request := range requestsByBody {
		for n := range start {
			t.Run(fmt.Sprintf("%s, %d bytes", name, n), func(t *testing.T) {
				s := newHeadServer(t, admit.ConnLimits{Bytes: 1 << 20, UnreadPerConn: 1 << 20}, readBody)
				c, br := s.dial(t)
				fmt.Fprint(c, request, start[:n])
				resp, err := http.ReadResponse(br, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				fmt.Fprint(c, start[n:], fields(testMaxHead+headSlack))
				require.NoError(t, c.SetReadDeadline(time.Now().Add(eventually)))
				resp, err = http.ReadResponse(br, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
				require.EqualValues(t, 1, s.served.Load())
			})
		}
	}
}

// A head that was begun ahead and for which there is no room is refused.
func TestHeadBegunAheadWithoutRoomIsRefused(t *testing.T) {
	s := newHeadServer(t, admit.ConnLimits{Bytes: 40 << 10, UnreadPerConn: 1 << 20}, readBody)
	c, br := s.dial(t)
	fmt.Fprint(c, requestsByBody["length"], "GET / HTTP/1.1\r\n", fields(2<<10))
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	resp, err = http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, callerconn.YieldNoRoom, <-s.yielded)
	require.EqualValues(t, 1, s.served.Load())
	require.Eventually(t, func() bool { return s.held() == 0 }, eventually, time.Millisecond)
}

// A request for which there is no room when its head is whole is refused, and its connection
// closed, also if its body never comes.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	s := newHeadServer(t, admit.ConnLimits{Bytes: 40 << 10, UnreadPerConn: 1 << 20}, readBody)
	require.True(t, s.conns.Reserve(39<<10))
	c, br := s.dial(t)
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n", fields(2<<10), "\r\n")
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Equal(t, callerconn.YieldNoRoom, <-s.yielded)
	require.Zero(t, s.served.Load())
	_, err = br.ReadByte()
	require.Error(t, err, "the connection is closed")
}

// A handler that panics returns what its request held.
func TestPanicReturnsWhatWasHeld(t *testing.T) {
	s := newHeadServer(t, admit.ConnLimits{Bytes: 1 << 20, UnreadPerConn: 1 << 20}, func(_ http.ResponseWriter, r *http.Request) {
		Conn(r).AddRequest(100 << 10)
		panic(http.ErrAbortHandler)
	})
	c, br := s.dial(t)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := http.ReadResponse(br, nil)
	require.Error(t, err)
	require.EqualValues(t, 1, s.served.Load())
	require.Eventually(t, func() bool { return s.held() == 0 }, eventually, time.Millisecond)
}
