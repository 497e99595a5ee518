package backend_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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

// A recheck that comes once the head has ended the watch does not break the body off.
func TestRecheckAfterHeadDoesNotEndBody(t *testing.T) {
	ask, rest := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-ask
		io.WriteString(w, "first ")
		http.NewResponseController(w).Flush()
		<-rest
		io.WriteString(w, "second")
	}))
	defer server.Close()
	start := time.Now()
	pool := backend.NewPool(func() time.Duration { return time.Since(start) })
	var once sync.Once
	var recheck func()
	resp, err := pool.Do(t.Context(), strings.TrimPrefix(server.URL, "http://"), &backend.Request{
		Method: http.MethodGet, URI: "/", Host: "h", IDHeader: "X-Id", Silence: time.Millisecond,
		OnSilent: func(r func()) bool {
			once.Do(func() { recheck = r; close(ask) })
			return false
		},
	})
	require.NoError(t, err)
	first := make([]byte, len("first "))
	_, err = io.ReadFull(resp.Body, first)
	require.NoError(t, err)
	var second []byte
	read := make(chan error)
	go func() {
		var err error
		second, err = io.ReadAll(resp.Body)
		read <- err
	}()
	time.Sleep(20 * time.Millisecond) // the read has begun, or the recheck comes first: both must do
	recheck()
	close(rest)
	require.NoError(t, <-read)
	require.Equal(t, "second", string(second))
	resp.Finish()
}
