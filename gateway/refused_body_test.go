package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dialGateway serves callers with a gateway that has one server, and returns the function that
// connects a caller.
func dialGateway(t *testing.T) (dial func() net.Conn) {
	tg := newUnservedGateway(t)
	tg.document(allowTime)
	tg.server(serve("answer"))
	ln := listenSmall(t)
	tg.serveOn(ln)
	return func() net.Conn {
		caller, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { caller.Close() })
		require.NoError(t, caller.SetDeadline(time.Now().Add(10*time.Second)))
		return caller
	}
}

// A refusal does not wait for the rest of a body, whatever the reason of the refusal is.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	for name, head := range map[string]string{
		"no route":            "POST /nowhere/ HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n",
		"no route, chunks":    "POST /nowhere/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n",
		"unknown key":         "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Key: none\r\nContent-Length: 10\r\n",
		"body over the limit": "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Key: key\r\nContent-Length: 1099511627776\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller := dialGateway(t)()
			fmt.Fprintf(caller, "%sX-Id: %x\r\n\r\n", head, nextID.Add(1))
			br := bufio.NewReader(caller)
			resp, err := http.ReadResponse(br, nil)
			require.NoError(t, err)
			require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
			require.True(t, resp.Close)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			_, err = br.ReadByte()
			require.Error(t, err, "the connection is closed")
		})
	}
}

// The connection of a refused request whose body has been sent is kept.
func TestRefusalKeepsConnectionIfBodyIsThere(t *testing.T) {
	t.Parallel()
	caller := dialGateway(t)()
	br := bufio.NewReader(caller)
	for _, path := range []string{"/nowhere/", "/once/"} {
		fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %x\r\nX-Key: key\r\nContent-Length: 10\r\n\r\n%s", path, nextID.Add(1), strings.Repeat("x", 10))
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.False(t, resp.Close)
		if path == "/once/" {
			require.Equal(t, http.StatusOK, resp.StatusCode)
		}
	}
}

// A refusal reaches a caller that sends its whole body before it reads the answer.
func TestRefusalReachesCallerThatIsSending(t *testing.T) {
	const size = 2 << 20
	for name, body := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", size>>10)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dial := dialGateway(t)
			for range 20 {
				caller := dial()
				fmt.Fprintf(caller, "POST /nowhere/ HTTP/1.1\r\nHost: h\r\nX-Id: %x\r\n%s", nextID.Add(1), body)
				br := bufio.NewReader(caller)
				resp, err := http.ReadResponse(br, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusNotFound, resp.StatusCode)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				_, err = br.ReadByte()
				require.ErrorIs(t, err, io.EOF, "a reset may overtake the answer")
			}
		})
	}
}
