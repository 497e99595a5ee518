package gateway

import (
	"bufio"
	"net/http"
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
