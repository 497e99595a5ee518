package backing

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An engine's answer that does not end is given up after a bounded number of bytes.
func TestEndlessAnswersOfEngine(t *testing.T) {
	const most = maxEngineBytes + 16<<20 // with what the sockets hold
	for _, status := range []int{http.StatusOK, http.StatusConflict, http.StatusInternalServerError} {
		for _, call := range []string{"load", "state", "order"} {
			written := make(chan int, 1)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", contentJSON)
				w.WriteHeader(status)
				block := []byte(strings.Repeat(" ", 64<<10))
				total := 0
				for total < 2*most {
					n, err := w.Write(block)
					if total += n; err != nil {
						break
					}
				}
				written <- total
			}))
			require.Error(t, calls(srv.URL)[call](t), "%s, status %d", call, status)
			require.Less(t, <-written, most, "%s, status %d", call, status)
			srv.Close()
		}
	}
}
