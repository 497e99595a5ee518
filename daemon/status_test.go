package daemon

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// Requests for status beyond the limit are refused at once, counted, and their connections
// end; one more is served when another has been answered.
func TestStatusRequestsInFlightAreLimited(t *testing.T) {
	registry := prometheus.NewRegistry()
	conns := newConns(64<<20, 1000, registry, log.New(io.Discard))
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	started, release := make(chan struct{}), make(chan struct{})
	require.NoError(t, serveStatus(t.Context(), conns, address, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}), log.New(io.Discard)))
	get := func() (*http.Response, error) {
		client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
		resp, err := client.Get("http://" + address)
		if err == nil {
			resp.Body.Close()
		}
		return resp, err
	}
	results := make(chan error, statusMaxInFlight+1)
	request := func() {
		_, err := get()
		results <- err
	}
	for range statusMaxInFlight {
		go request()
		<-started
	}
	resp, err := get()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 1)
	counted := families[0].GetMetric()
	require.Len(t, counted, 1)
	require.Equal(t, "busy", counted[0].GetLabel()[0].GetValue())
	require.EqualValues(t, 1, counted[0].GetCounter().GetValue())
	release <- struct{}{}
	require.NoError(t, <-results)
	go request()
	<-started
	close(release)
	for range statusMaxInFlight {
		require.NoError(t, <-results)
	}
}
