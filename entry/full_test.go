package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/backing/backingtest"
	"marjorampitch/internal/callerconn"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// A request for whose head there is no room is refused like any other: with a code, and as
// not run.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	s := New(Options{
		Hello: wire.Hello{Service: "s", Incarnation: "i"}, Config: noConfig{}, Log: log.New(io.Discard),
		Metrics:  telemetry.NewEntryMetrics(prometheus.NewRegistry()),
		ClaimLog: backingtest.NewLog(),
	})
	t.Cleanup(func() { s.claims.Close(context.Background()) })
	conns := callerconn.New(admit.NewConnBudget(admit.ConnLimits{Bytes: 100 << 10, UnreadPerConn: 100 << 10}), func() time.Duration { return 0 })
	require.True(t, conns.Reserve(100<<10))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.serveCallers(conns.Listener(ln)) //nolint:errcheck // ends with the test
	t.Cleanup(func() { s.http.Close() })
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	// The second head has been read with the first one, so it is counted once it is whole.
	fields := ""
	for i := range 25 {
		fields += fmt.Sprintf("X-Field-%d: x\r\n", i)
	}
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n%s\r\n", fields)
	br := bufio.NewReader(conn)
	first, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, first.Body)
	require.NoError(t, err)
	require.Equal(t, strconv.Itoa(int(api.NotReady)), first.Header.Get(api.HeaderResultCode), "it fits")
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, strconv.Itoa(int(api.BuffersFull)), resp.Header.Get(api.HeaderResultCode))
	require.Equal(t, api.NotRun.String(), resp.Header.Get(api.HeaderRan))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
}
