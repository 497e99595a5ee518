package gateway

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A head of very many fields without values is as large as what was sent.
func TestHeaderBytesCountsNoSpaceThatWasNotSent(t *testing.T) {
	head := "GET /again/ HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("name:\r\n", 2000) + "\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
	require.NoError(t, err)
	require.LessOrEqual(t, headerBytes(r), len(head))
}

// Fields after a body in chunks are not held while the request is served.
func TestTrailerIsNotHeld(t *testing.T) {
	tg := newUnservedGateway(t)
	tg.server(serve("answer"))
	trailer := strings.Repeat("a:\r\n", 900)
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(
		"POST /again/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: key\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + trailer + "\r\n")))
	require.NoError(t, err)
	w := httptest.NewRecorder()
	tg.g.ServeHTTP(w, r)
	require.Equal(t, http.StatusOK, w.Code)
	require.Empty(t, r.Trailer)
}
