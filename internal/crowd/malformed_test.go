package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/internal/resphead/headtest"
	"marjorampitch/internal/scenario"
	"marjorampitch/platform/platformtest"
)

// A plain server answers with heads that are none. Callers of the entry are told that their
// calls may have run, also those that come back with the same key, and get nothing of such an
// answer. The next call is served.
func TestMalformedHeadsThroughEntry(t *testing.T) {
	tb := startService(t, "p1")
	watchDaemon(t, tb, "n1").mustServe("at the start")
	for _, m := range headtest.Heads() {
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			what := fmt.Sprint(m.Name, ", status ", status)
			tb.Override("p1", platformtest.Raw(func(c net.Conn, _ string) {
				io.WriteString(c, m.Text(status, "Content-Type: application/json\r\n", `{"malformed":1}`)) //nolint:errcheck // the caller notices
			}))
			key, err := uuid.NewV7()
			require.NoError(t, err)
			deposit := scenario.Call{Kind: "deposits", Key: key.String(), Body: `{"amount":1}`}
			for _, call := range []scenario.Call{{Kind: "availability"}, deposit} {
				requireMayHaveRun(t, tb.Do(t.Context(), call), what)
			}
			tb.Override("p1", nil)
			requireMayHaveRun(t, tb.Do(t.Context(), deposit), what)
			require.Eventually(t, func() bool {
				return tb.Do(t.Context(), scenario.Call{Kind: "availability"}).Outcome == scenario.Whole
			}, patience, time.Millisecond, what)
		}
	}
}

func requireMayHaveRun(t *testing.T, r scenario.Result, what string) {
	require.Equal(t, scenario.Failed, r.Outcome, "%s: %+v", what, r)
	require.Equal(t, api.MayHaveRun.String(), r.Ran, "%s: %+v", what, r)
	require.NotContains(t, r.Text, "malformed", what)
}
