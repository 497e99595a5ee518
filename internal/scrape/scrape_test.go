package scrape

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestValues(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "# TYPE seconds_total counter\nseconds_total 2.5\n# TYPE bytes gauge\nbytes 7\n")
	}))
	defer s.Close()
	got, err := Values(http.DefaultClient, s.URL, "bytes", "seconds_total")
	require.NoError(t, err)
	require.Equal(t, []float64{7, 2.5}, got)
	_, err = Values(http.DefaultClient, s.URL, "absent")
	require.ErrorContains(t, err, "lack absent")
}
