package resphead_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/internal/resphead"
)

// Bodies are not checked, whatever they look like, also while the request is still being sent
// and on connections that are used again.
func TestTransportChecksNoBody(t *testing.T) {
	const text = "\r\n\r\nHTTP/1.1 000 X\r\nX A: a\r\n\r\n"
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		require.NoError(t, control.EnableFullDuplex())
		for range 3 {
			io.WriteString(w, text)
			require.NoError(t, control.Flush())
		}
		io.Copy(w, r.Body)
	}))
	defer srv.Close()
	transport := resphead.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport}
	sent := bytes.Repeat([]byte(text), 64<<10)
	for range 3 {
		resp, err := client.Post(srv.URL, "text/plain", bytes.NewReader(sent))
		require.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		resp.Body.Close()
		require.Len(t, got, 3*len(text)+len(sent))
	}
}
