package backend_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marjorampitch/backend"
)

// A request whose caller has gone is not sent on a pooled connection.
func TestRequestOfGoneCallerReachesNoServer(t *testing.T) {
	const requests = 40
	var opened, gone atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/gone" {
			gone.Add(1)
		}
		w.Header().Set("Keep-Alive", "timeout=60")
	}))
	defer server.Close()
	start := time.Now()
	pool := backend.NewPool(func() time.Duration { return time.Since(start) })
	pool.OnOpen = func() { opened.Add(1) }
	do := func(ctx context.Context, path string) error {
		req := &backend.Request{Method: http.MethodGet, URI: path, Host: "h", IDHeader: "X-Id"}
		resp, err := pool.Do(ctx, strings.TrimPrefix(server.URL, "http://"), req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Finish()
		return err
	}
	done, cancel := context.WithCancel(context.Background())
	cancel()
	notSent := 0
	for range requests {
		require.NoError(t, do(context.Background(), "/"))
		if errors.Is(do(done, "/gone"), backend.ErrDial) {
			notSent++
		}
	}
	assert.EqualValues(t, 1, opened.Load(), "the connection is kept")
	assert.Equal(t, requests, notSent, "reported as not sent")
	server.Close() // waits for the requests that have reached the server
	assert.Zero(t, gone.Load(), "of %d requests", requests)
}
