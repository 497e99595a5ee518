package side

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/wire"
)

// runUntilCallerLeaves runs a streamed request at an engine that sends the given events
// and does not end the response. Once all events were received, the caller leaves. It
// returns the sidecar's limiter.
func runUntilCallerLeaves(t *testing.T, events ...string) *limiter {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chat", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, e := range events {
			io.WriteString(w, e)
		}
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	s := newTestServer(t, srv.URL)
	l := s.limiter.Load()
	l.startedAt = time.Now().Add(-time.Minute) // what was in flight at the start has ended
	l.observe(l.now(), &backing.EngineReport{})
	slot, e := l.cold.Admit(l.now(), false)
	require.Nil(t, e)
	ctx, cancel := context.WithCancelCause(t.Context())
	a := newAttempt(&wire.Request{Method: http.MethodPost, Path: "/chat", Idempotent: true, Streaming: true}, cancel)
	a.ticket = &ticket{slot: slot}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e := s.backend.run(ctx, a, allowSend, func() {})
		l.finish(a.ticket, e == nil, abandoned(ctx, e))
	}()
	for {
		a.mu.Lock()
		received, changed := len(a.chunks), a.changed
		a.mu.Unlock()
		if received == len(events) {
			break
		}
		<-changed
	}
	a.cancel(api.NewError(api.Cancelled, "caller went away"))
	<-ended
	return l
}

// A caller that leaves after the event that ends a completion leaves nothing behind at
// the engine: its slot is free, and a suspected request may run alone.
func TestCallerThatLeavesAtEndOfCompletion(t *testing.T) {
	l := runUntilCallerLeaves(t, "data: {}\n\n", "data: [DONE]\n\n")
	require.Zero(t, l.cold.InFlight())
	_, e := l.cold.Admit(l.now(), true)
	require.Nil(t, e)
}

// A caller that leaves earlier may leave a request behind, which counts until a report
// shows that it has ended.
func TestCallerThatLeavesInMidStream(t *testing.T) {
	l := runUntilCallerLeaves(t, "data: {}\n\n", "data: {}\n\n")
	require.Equal(t, 1, l.cold.InFlight())
}

// brokenBody is a response body that fails after its data.
type brokenBody struct{ data io.Reader }

// Read implements io.Reader.
func (b *brokenBody) Read(p []byte) (int, error) {
	n, err := b.data.Read(p)
	if err == io.EOF {
		err = syscall.ECONNRESET
	}
	return n, err
}

// A response that the backend server breaks off is not complete, also after the event that
// ends a completion, nor is one that goes on after it when the caller leaves.
func TestBodyBrokenOffAfterEndOfCompletionIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		left bool
		want error
	}{
		"server broke off":              {"data: [DONE]\n\n", false, syscall.ECONNRESET},
		"caller left":                   {"data: [DONE]\n\n", true, nil},
		"caller left, in another event": {"data: [DONE]\n\ndata: x", true, syscall.ECONNRESET},
		"caller left, earlier":          {"data: x\n\n", true, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			a := newAttempt(&wire.Request{}, cancel)
			body := io.MultiReader(strings.NewReader(c.body), &onRead{func() {
				if c.left {
					cancel(api.NewError(api.Cancelled, "caller went away"))
				}
			}})
			require.Equal(t, c.want, copyEvents(ctx, a, &brokenBody{body}))
		})
	}
}

// onRead is an empty reader that calls do when it is read.
type onRead struct{ do func() }

// Read implements io.Reader.
func (r *onRead) Read([]byte) (int, error) {
	r.do()
	return 0, io.EOF
}
