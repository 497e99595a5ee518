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

// newCountingEngine starts an engine with the given incarnation and returns its
// base URL. It counts the chat requests that it receives, but not the requests for
// its load, which the sidecar also sends.
func newCountingEngine(t *testing.T, incarnation string, reached *atomic.Int64) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(backing.EngineReport{Incarnation: incarnation, Cold: true})
	})
	mux.HandleFunc("POST /chat", func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.URL
}

// A request that was admitted on a report of an earlier incarnation must not reach
// the restarted engine.
func TestRestartedEngineIsNotReached(t *testing.T) {
	for incarnation, want := range map[string]int64{"a": 1, "b": 0} {
		var reached atomic.Int64
		s := newTestServer(t, newCountingEngine(t, incarnation, &reached))
		s.limiter.Load().observe(0, &backing.EngineReport{Incarnation: "a"})
		ctx, cancel := context.WithCancelCause(context.Background())
		a := newAttempt(&wire.Request{Method: http.MethodPost, Path: "/chat", Idempotent: true}, cancel)
		a.ticket = &ticket{incarnation: "a"}
		e := s.backend.run(ctx, a, allowSend, func() {})
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

// fixedConfig is a node.ConfigView with a fixed document.
type fixedConfig struct {
	node.ConfigView
	doc *logfold.ActiveDocument
}

func (c fixedConfig) Document() *logfold.ActiveDocument { return c.doc }

// newTestServer returns a Server with a limiter for the engine at base.
func newTestServer(t *testing.T, base string) *Server {
	t.Helper()
	s := New(Options{
		Hello:   wire.Hello{Instance: "e1", Incarnation: "i1"},
		Backend: base,
		Config: fixedConfig{doc: &logfold.ActiveDocument{Doc: &config.Document{
			Backends: []config.Backend{{Name: "e1", Kind: config.KindEngine, MaxRunning: 8}},
		}}},
		Log:     log.New(io.Discard),
		Metrics: telemetry.NewSideMetrics(prometheus.NewRegistry()),
	})
	be := s.ownConfig()
	require.NotNil(t, be)
	s.limiter.Store(newLimiter(be, config.Limits{ColdStartLimit: 2}))
	return s
}
