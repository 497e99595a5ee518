package side

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"marjorampitch/api"
	"marjorampitch/internal/resphead"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// Timeouts and sizes of calls to the backend server.
const (
	dialTimeout   = 2 * time.Second
	maxChunkBytes = 32 << 10
	// receiveBufferBytes is the size of a socket's buffer for what is not read yet. The
	// kernel's own choice grows to megabytes while answers are read quickly.
	receiveBufferBytes = 128 << 10
	maxIdleConns       = 256 // idle connections kept open to the backend server
	idleConnTimeout    = 90 * time.Second
)

// backendClient calls the backend server of the sidecar.
//
// net/http retries a request that failed on a reused connection if it considers
// the request idempotent, and an Idempotency-Key header is enough for that.
// Non-idempotent calls therefore never use a reused connection: keep-alives are
// disabled in clients.singleUse.
//
// Each incarnation of an engine has its own clients; see dialer.
type backendClient struct {
	base   string                                          // http://IP:port
	verify func(c net.Conn, incarnation string) *api.Error // nil for no verification

	mu      sync.Mutex // guards clients; no other lock is taken while it is held
	clients []*clients // for the incarnations last requested, the latest first; at most maxClientSets
}

// maxClientSets is the number of incarnations for which clients are kept: around a
// restart of the engine requests admitted under the old and the new one alternate.
const maxClientSets = 2

// clients are the HTTP clients for one incarnation of the backend server.
type clients struct {
	incarnation string // empty for a plain service
	pooled      *http.Client
	singleUse   *http.Client
}

// newBackendClient returns a client of the backend server at base. verify checks
// each new connection before its first use; nil disables the check.
func newBackendClient(base string, verify func(net.Conn, string) *api.Error) *backendClient {
	return &backendClient{base: strings.TrimSuffix(base, "/"), verify: verify}
}

// clientsFor returns the clients for an incarnation. A new set replaces the one
// requested least recently.
func (b *backendClient) clientsFor(incarnation string) *clients {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.IndexFunc(b.clients, func(c *clients) bool { return c.incarnation == incarnation }); i >= 0 {
		c := b.clients[i]
		b.clients = slices.Insert(slices.Delete(b.clients, i, i+1), 0, c)
		return c
	}
	d := &dialer{net: net.Dialer{Timeout: dialTimeout}}
	if b.verify != nil && incarnation != "" {
		d.verify = func(c net.Conn) *api.Error { return b.verify(c, incarnation) }
	}
	if len(b.clients) == maxClientSets {
		b.clients[maxClientSets-1].pooled.CloseIdleConnections()
		b.clients = b.clients[:maxClientSets-1]
	}
	c := &clients{incarnation: incarnation, pooled: newClient(d, false), singleUse: newClient(d, true)}
	b.clients = slices.Insert(b.clients, 0, c)
	return c
}

// newClient returns a client without a timeout; the context of each call bounds it.
func newClient(d *dialer, disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport: resphead.Transport{Transport: &http.Transport{
			DialContext:         d.dial,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   disableKeepAlives,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// do sends req, on a new connection if it is not idempotent.
func (c *clients) do(req *http.Request, idempotent bool) (*http.Response, error) {
	if idempotent {
		return c.pooled.Do(req)
	}
	return c.singleUse.Do(req)
}

// run sends the request of a and stores the response in a. The returned error is
// nil if the complete response was read. Its Ran is NotRun only if no byte of the
// request can have reached the backend server. run calls confirm immediately before
// it sends the request, which it does not if that returns an error, and onHead when
// it has received the response head.
func (b *backendClient) run(ctx context.Context, a *attempt, confirm func() *api.Error, onHead func()) *api.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := b.newRequest(ctx, a.req)
	if err != nil {
		return api.NewError(api.BadRequest, err.Error())
	}
	gate := &sendGate{confirm: confirm, cancel: cancel}
	resp, err := b.clientsFor(a.incarnation()).do(gate.withTrace(req), a.req.Idempotent)
	if err != nil {
		return requestError(ctx, err, gate.passed.Load())
	}
	defer resp.Body.Close()
	onHead()
	a.setHead(resp.StatusCode, responseHeaders(resp.Header))
	if isEventStream(resp.Header) {
		err = copyEvents(ctx, a, resp.Body)
	} else {
		err = copyBlocks(ctx, a, resp.Body)
	}
	if err != nil {
		return streamError(ctx, err)
	}
	return nil
}

func (b *backendClient) newRequest(ctx context.Context, m *wire.Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, m.Method, b.base+m.Path, bytes.NewReader(m.Body))
	if err != nil {
		return nil, err
	}
	for _, h := range m.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(api.HeaderRequestID, m.RequestID)
	req.Header.Set(api.HeaderOrganisation, m.Organisation)
	req.Header.Set(api.HeaderPriority, api.Priority(m.Priority).String())
	if m.Key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, m.Key)
	}
	telemetry.Inject(ctx, req.Header)
	return req, nil
}

// requestError classifies a failure before the response head was received. sent
// reports whether any byte of the request may have been sent: net/http retries on a
// new connection after a reused one has failed, so err alone does not show it.
func requestError(ctx context.Context, err error, sent bool) *api.Error {
	if cause := context.Cause(ctx); cause != nil {
		return causeError(cause)
	}
	var refused *api.Error
	if !sent && errors.As(err, &refused) {
		return refused
	}
	if !sent && errors.Is(err, syscall.ECONNREFUSED) {
		e := api.NewError(api.BackendFailed, err.Error())
		e.Ran = api.NotRun
		return e
	}
	return api.NewError(api.BackendFailed, err.Error())
}

// streamError classifies a failure while the response body was read.
func streamError(ctx context.Context, err error) *api.Error {
	if cause := context.Cause(ctx); cause != nil {
		return causeError(cause)
	}
	return api.NewError(api.StreamBroken, err.Error())
}

// causeError converts the cause of a cancelled context into an api.Error.
func causeError(cause error) *api.Error {
	var e *api.Error
	if errors.As(cause, &e) {
		return e
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return api.NewError(api.DeadlineExceeded, "")
	}
	return api.NewError(api.Cancelled, cause.Error())
}

// responseHeaders returns the headers of the backend server's response that are
// forwarded to the caller.
func responseHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for name, values := range h {
		if isHopByHopHeader(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// isHopByHopHeader reports whether a header applies to one connection or message
// only and is not forwarded.
func isHopByHopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Date", "Upgrade", "Trailer":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// copyEvents adds one chunk per server-sent event of body to a. If ctx ends between the
// event that ends a completion and the end of body, the response is complete: callers often
// leave then. A body that the backend server breaks off there is not.
func copyEvents(ctx context.Context, a *attempt, body io.Reader) error {
	r := bufio.NewReaderSize(body, maxChunkBytes)
	var event []byte
	complete := false
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > a.limits.event {
			return bufio.ErrTooLong
		}
		if err == io.EOF {
			return checkEventsEnd(event)
		}
		if err != nil && err != bufio.ErrBufferFull {
			if complete && len(event) == 0 && ctx.Err() != nil {
				return nil
			}
			return err
		}
		if isBlankLine(line) {
			if err := a.addChunk(ctx, event); err != nil {
				return err
			}
			complete = isLastEvent(event)
			event = nil
		}
	}
}

// checkEventsEnd returns io.ErrUnexpectedEOF if the stream ended within an event;
// rest is the data after the last complete event.
func checkEventsEnd(rest []byte) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// isLastEvent reports whether event is the one that ends a completion.
func isLastEvent(event []byte) bool {
	data, ok := bytes.CutPrefix(event, []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}

func isBlankLine(line []byte) bool {
	return string(line) == "\n" || string(line) == "\r\n"
}

// blockBuffers pools the read buffers of copyBlocks.
var blockBuffers = sync.Pool{New: func() any { return new([maxChunkBytes]byte) }}

// copyBlocks adds body to a in chunks of at most maxChunkBytes.
func copyBlocks(ctx context.Context, a *attempt, body io.Reader) error {
	pooled := blockBuffers.Get().(*[maxChunkBytes]byte)
	defer blockBuffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := a.addChunk(ctx, bytes.Clone(buf[:n])); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
