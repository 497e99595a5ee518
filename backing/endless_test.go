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
	for _, call := range []string{"load", "state", "order"} {
		requireGivenUp(t, call, maxEngineBytes)
	}
}

// The same of the log service and the instance list, whose bounds follow from what a call
// asks for.
func TestEndlessAnswersOfServices(t *testing.T) {
	for call, limit := range map[string]int{"append": maxAppendedBytes, "instances": maxListBytes, "read": maxReadBytes} {
		requireGivenUp(t, call, limit)
	}
}

// requireGivenUp requires that a call fails whose answer does not end, whatever its status,
// once limit bytes and what the sockets hold have been read.
func requireGivenUp(t *testing.T, call string, limit int) {
	most := limit + 16<<20 // with what the sockets hold
	for _, status := range []int{http.StatusOK, http.StatusConflict, http.StatusInternalServerError} {
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
