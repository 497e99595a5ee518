package side

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/config"
	"marjorampitch/internal/node"
	"marjorampitch/logfold"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// engineThat counts the requests that reach an engine of one incarnation.
func engineThat(t *testing.T, incarnation string, reached *atomic.Int64) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(backing.EngineReport{Incarnation: incarnation, Cold: true})
	})
	mux.HandleFunc("POST /chat", func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.URL
}

// TestAnEngineThatWasRestartedIsNotReached sends a request that was admitted
// on the word of an earlier incarnation.
func TestAnEngineThatWasRestartedIsNotReached(t *testing.T) {
	for incarnation, want := range map[string]int64{"a": 1, "b": 0} {
		var reached atomic.Int64
		s := newTestServer(t, engineThat(t, incarnation, &reached))
		s.limiter.Load().observe(0, &backing.EngineReport{Incarnation: "a"})
		ctx, cancel := context.WithCancelCause(context.Background())
		a := newAttempt(&wire.Request{Method: http.MethodPost, Path: "/chat", Idempotent: true}, cancel)
		a.ticket = &ticket{incarnation: "a"}
		e := s.backend.run(ctx, a, func() {})
		require.Equal(t, want, reached.Load())
		if want > 0 {
			require.Nil(t, e)
			continue
		}
		require.Equal(t, api.ColdLimit, e.Code)
		require.Equal(t, api.NotRun, e.Ran)
		require.Equal(t, "b", s.limiter.Load().incarnation())
	}
}

// oneEngine is a configuration view with one document.
type oneEngine struct {
	node.ConfigView
	doc *logfold.ActiveDocument
}

func (c oneEngine) Document() *logfold.ActiveDocument { return c.doc }

// newTestServer returns a Server before the engine at base, with a limiter.
func newTestServer(t *testing.T, base string) *Server {
	t.Helper()
	s := New(Options{
		Hello:   wire.Hello{Instance: "e1", Incarnation: "i1"},
		Backend: base,
		Config: oneEngine{doc: &logfold.ActiveDocument{Doc: &config.Document{
			Backends: []config.Backend{{Name: "e1", Kind: config.KindEngine, MaxRunning: 8}},
		}}},
		Log:     log.New(io.Discard),
		Metrics: telemetry.NewSideMetrics(prometheus.NewRegistry()),
	})
	be := s.self()
	require.NotNil(t, be)
	s.limiter.Store(newLimiter(be, config.Limits{ColdStartLimit: 2}))
	return s
}
