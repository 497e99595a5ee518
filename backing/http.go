package backing

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/go-resty/resty/v2"
)

// Timing and sizes of the HTTP clients.
const (
	dialTimeout      = 1 * time.Second
	answerTimeout    = 5 * time.Second
	idleTimeout      = 90 * time.Second
	maxIdlePerHost   = 16
	maxAnswerBytes   = 64 << 20
	weightReadBuffer = 64 << 10
)

// Headers and media types of the platform's HTTP interfaces.
const (
	// HeaderNotAppended marks an error answer of the log service after which no record was or will be stored.
	HeaderNotAppended = "X-Not-Appended"
	contentJSON       = "application/json"
)

// newTransport returns a transport that talks to its target directly.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

// newClient returns a client that neither retries nor follows redirects.
func newClient(base string) *resty.Client {
	return resty.New().
		SetTransport(newTransport()).
		SetBaseURL(base).
		SetRedirectPolicy(resty.NoRedirectPolicy()).
		SetResponseBodyLimit(maxAnswerBytes)
}

// sendTrace records whether a request got a connection, without which no
// byte of it can have been sent. One goroutine uses it.
type sendTrace struct {
	connected bool
}

// watch returns a context that makes t record the request sent with it.
func (t *sendTrace) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected = true },
	})
}

// unavailable joins ErrUnavailable with its cause.
func unavailable(cause error) error {
	return errors.Join(ErrUnavailable, cause)
}
