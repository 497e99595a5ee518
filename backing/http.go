package backing

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/go-resty/resty/v2"

	"marjorampitch/internal/resphead"
)

// Timeouts and limits of the HTTP clients.
const (
	dialTimeout      = 1 * time.Second
	answerTimeout    = 5 * time.Second
	idleTimeout      = 90 * time.Second
	maxIdlePerHost   = 16
	maxReadBytes     = 64 << 20 // of the records of a read
	maxAppendedBytes = 64 << 10 // of the answer to an append
	maxListBytes     = 8 << 20  // of the instance list
	maxEngineBytes   = 1 << 20  // of the answer of an engine
	weightReadBuffer = 64 << 10 // bytes
)

// Headers and media types of the platform's HTTP interfaces.
const (
	// HeaderNotAppended marks an error response to an append of which no record was or will be stored.
	HeaderNotAppended = "X-Not-Appended"
	contentJSON       = "application/json"
)

// newTransport returns a transport that does not use a proxy.
func newTransport() http.RoundTripper {
	return resphead.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	})
}

// newClient returns a client that neither retries nor follows redirects. It fails calls
// whose answers have more than maxBytes.
func newClient(baseURL string, maxBytes int) *resty.Client {
	return resty.New().
		SetTransport(newTransport()).
		SetBaseURL(baseURL).
		SetRedirectPolicy(resty.NoRedirectPolicy()).
		SetResponseBodyLimit(maxBytes)
}

// sendTrace records whether a request got a connection. Without one, no byte of it
// has been sent. It is not safe for concurrent use.
type sendTrace struct {
	connected bool
}

// withContext returns a context for the request that t records.
func (t *sendTrace) withContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected = true },
	})
}

// unavailable returns ErrUnavailable joined with its cause.
func unavailable(cause error) error {
	return errors.Join(ErrUnavailable, cause)
}
