package side

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjorampitch/api"
	"marjorampitch/telemetry"
	"marjorampitch/wire"
)

// Timing and sizes of the calls to the backend server.
const (
	dialTimeout    = 2 * time.Second
	maxChunkBytes  = 32 << 10
	idleBackend    = 256 // idle connections kept to the backend server
	backendIdleFor = 90 * time.Second
)

// backend calls the one backend server behind the side process.
//
// net/http resends a request that failed on a reused connection when it deems
// the call idempotent, which an Idempotency-Key header is enough for. Calls
// that may not repeat therefore never use a reused connection: once has
// keep-alive switched off.
//
// Each incarnation of an engine has clients of its own; see dialer.
type backend struct {
	base   string                                          // http://IP:port
	verify func(c net.Conn, incarnation string) *api.Error // nil for no verification

	mu      sync.Mutex // guards what follows; taken alone
	clients *clients   // of the latest incarnation
}

// clients call one incarnation of the backend server.
type clients struct {
	incarnation string // empty for a plain service
	reused      *http.Client
	once        *http.Client
}

// newBackend returns the client of the backend server at base. verify looks at
// each new connection before its first use; nil looks at none.
func newBackend(base string, verify func(net.Conn, string) *api.Error) *backend {
	return &backend{base: strings.TrimSuffix(base, "/"), verify: verify}
}

// of returns the clients for an incarnation. Those of an earlier one are made
// for the last requests that still ask for it, and not kept.
func (b *backend) of(incarnation string) *clients {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clients != nil && b.clients.incarnation == incarnation {
		return b.clients
	}
	d := &dialer{net: net.Dialer{Timeout: dialTimeout}}
	if b.verify != nil && incarnation != "" {
		d.verify = func(c net.Conn) *api.Error { return b.verify(c, incarnation) }
	}
	if b.clients != nil {
		b.clients.reused.CloseIdleConnections()
	}
	b.clients = &clients{incarnation: incarnation, reused: newClient(d, false), once: newClient(d, true)}
	return b.clients
}

// newClient returns a client without a timeout of its own: contexts bound the calls.
func newClient(d *dialer, freshConnections bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         d.dial,
			MaxIdleConns:        idleBackend,
			MaxIdleConnsPerHost: idleBackend,
			IdleConnTimeout:     backendIdleFor,
			DisableCompression:  true,
			DisableKeepAlives:   freshConnections,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// do sends the request with the client that its kind needs.
func (c *clients) do(req *http.Request, idempotent bool) (*http.Response, error) {
	if idempotent {
		return c.reused.Do(req)
	}
	return c.once.Do(req)
}

// run performs the request of a and feeds the answer to it. The returned
// error is nil when the whole answer was read; its Ran is NotRun only when
// no byte of the request can have reached the backend server.
// answered is called when the head of the answer is there.
func (b *backend) run(ctx context.Context, a *attempt, answered func()) *api.Error {
	req, err := b.newRequest(ctx, a.req)
	if err != nil {
		return api.NewError(api.BadRequest, err.Error())
	}
	var connected atomic.Bool
	resp, err := b.of(a.incarnation()).do(watchConnections(req, &connected), a.req.Idempotent)
	if err != nil {
		return callError(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	answered()
	a.setHead(resp.StatusCode, answerHeaders(resp.Header))
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

func (b *backend) newRequest(ctx context.Context, m *wire.Request) (*http.Request, error) {
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

// watchConnections sets connected once the request has any connection:
// net/http tries again after one that was reused has failed, so the last error
// alone doesn't say that nothing was sent.
func watchConnections(req *http.Request, connected *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// callError classifies a failure before the answer's head.
func callError(ctx context.Context, err error, connected bool) *api.Error {
	if cause := context.Cause(ctx); cause != nil {
		return causeError(cause)
	}
	var refused *api.Error
	if !connected && errors.As(err, &refused) {
		return refused
	}
	if !connected && errors.Is(err, syscall.ECONNREFUSED) {
		e := api.NewError(api.BackendFailed, err.Error())
		e.Ran = api.NotRun
		return e
	}
	return api.NewError(api.BackendFailed, err.Error())
}

// streamError classifies a failure within the answer.
func streamError(ctx context.Context, err error) *api.Error {
	if cause := context.Cause(ctx); cause != nil {
		return causeError(cause)
	}
	return api.NewError(api.StreamBroken, err.Error())
}

// causeError turns the cause of a cancelled context into an Error.
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

// answerHeaders are the headers of the backend server that callers receive.
func answerHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for name, values := range h {
		if hopHeader(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// hopHeader reports whether a header concerns one connection only.
func hopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Date", "Upgrade", "Trailer":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// copyEvents adds one chunk for each server-sent event.
func copyEvents(ctx context.Context, a *attempt, body io.Reader) error {
	r := bufio.NewReaderSize(body, maxChunkBytes)
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > api.MaxBodyBytes {
			return bufio.ErrTooLong
		}
		if err == io.EOF {
			return endEvents(event)
		}
		if err != nil && err != bufio.ErrBufferFull {
			return err
		}
		if blank(line) {
			if err := a.add(ctx, event); err != nil {
				return err
			}
			event = nil
		}
	}
}

// endEvents handles the end of a stream: it must fall between two events.
func endEvents(rest []byte) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func blank(line []byte) bool {
	return string(line) == "\n" || string(line) == "\r\n"
}

// blocks holds buffers for copyBlocks.
var blocks = sync.Pool{New: func() any { return new([maxChunkBytes]byte) }}

// copyBlocks adds the body in chunks of at most maxChunkBytes.
func copyBlocks(ctx context.Context, a *attempt, body io.Reader) error {
	pooled := blocks.Get().(*[maxChunkBytes]byte)
	defer blocks.Put(pooled)
	buf := pooled[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := a.add(ctx, bytes.Clone(buf[:n])); err != nil {
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
