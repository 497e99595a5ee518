package backing

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/internal/resphead/headtest"
)

// calls returns a call of each kind to the service at base.
func calls(base string) map[string]func(t *testing.T) error {
	engine, log, list, weights := NewEngineClient(base), NewLogClient(base), NewInstanceListClient(base), NewWeightStoreClient(base)
	return map[string]func(t *testing.T) error{
		"load":      func(t *testing.T) error { _, err := engine.Load(t.Context()); return err },
		"state":     func(t *testing.T) error { _, err := engine.State(t.Context()); return err },
		"order":     func(t *testing.T) error { _, err := engine.Order(t.Context(), EngineOrder{}); return err },
		"read":      func(t *testing.T) error { _, err := log.Read(t.Context(), "s", 0, 1, 0); return err },
		"append":    func(t *testing.T) error { _, err := log.Append(t.Context(), "s", nil); return err },
		"instances": func(t *testing.T) error { _, err := list.Instances(t.Context()); return err },
		"weights":   func(t *testing.T) error { _, err := weights.Fetch(t.Context(), "w"); return err },
	}
}

// The services answer with heads that are none, on a new connection or on one in use. That is
// no answer: an append may have taken effect. The next call is answered.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const sound = `{"first":1}`
	for _, m := range headtest.Heads() {
		for kind, code := range map[string]int{"success": http.StatusOK, "error": http.StatusServiceUnavailable, "conflict": http.StatusConflict} {
			t.Run(m.Name+", "+kind, func(t *testing.T) {
				t.Parallel()
				var broken atomic.Bool
				address := headtest.Serve(t, func(*http.Request) (string, bool) {
					if broken.Load() {
						return m.Text(code, HeaderNotAppended+": 1\r\n", sound), true
					}
					return headtest.Sound(sound), false
				})
				for name, call := range calls("http://" + address) {
					for range 2 {
						broken.Store(true)
						err := call(t)
						require.Error(t, err, name)
						require.NotErrorIs(t, err, ErrRefused, name)
						require.NotErrorIs(t, err, ErrStaleFence, name)
						broken.Store(false)
						require.NoError(t, call(t), name)
					}
				}
			})
		}
	}
}
