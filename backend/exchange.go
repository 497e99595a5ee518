package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxSkippedResponses is the number of responses, informational ones and those to
// other requests, that are skipped before the connection is closed.
const maxSkippedResponses = 3

// Errors of Pool.Do.
var (
	// ErrNoResponse means that the request may have reached the server, but no
	// response to it was received.
	ErrNoResponse = eris.New("backend: no whole answer")
	// ErrMismatchedResponse means that the responses on the connection belong to other
	// requests. Do returns it only as text within ErrNoResponse; errors.Is does not
	// find it.
	ErrMismatchedResponse = eris.New("backend: answer to another request")
)

// Request is a request to a backend server.
type Request struct {
	Method     string
	URI        string // path and query as received from the caller
	Host       string
	Header     http.Header
	Body       []byte
	SendLength bool // send Content-Length even if Body is empty

	IDHeader string // response header in which the server returns ID
	ID       string
	NoReuse  bool // use a new connection, for a request that must not be repeated if a reused one fails
}

// Response is a response whose head has been read. The caller must call Finish or
// Abort.
type Response struct {
	*http.Response
	conn *Conn
	pool *Pool
	stop func() bool
}

// Do sends the request and reads the head of the response. ctx bounds the exchange
// including the response body: when it ends, the connection is reset, which makes
// the server drop the request. Errors: ErrDial if nothing was sent, otherwise
// ErrNoResponse. After ErrNoResponse the request may have run, unless the
// connection was closed before any of the request was written.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrap(ErrDial, err.Error())
	}
	conn, err := p.Get(ctx, address, r.NoReuse)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.reset)
	fail := func(err error) (*Response, error) {
		stop()
		conn.reset()
		return nil, eris.Wrap(ErrNoResponse, err.Error())
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return fail(err)
		}
	}
	if _, err := conn.Write(r.encode()); err != nil {
		return fail(err)
	}
	resp, err := conn.readResponse(r)
	if err != nil {
		return fail(err)
	}
	return &Response{Response: resp, conn: conn, pool: p, stop: stop}, nil
}

// encode returns the head and body of the request in one buffer.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.SendLength {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readResponse reads response heads until one belongs to r. A response with the id
// of r does, and so does one without an id and with a status of 400 or above. Others,
// such as late duplicates from a faulty server, are discarded.
func (c *Conn) readResponse(r *Request) (*http.Response, error) {
	for range maxSkippedResponses {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		if id == r.ID || id == "" && resp.StatusCode >= http.StatusBadRequest {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			break
		}
	}
	return nil, ErrMismatchedResponse
}

// Finish ends the exchange after the body was read to the end. The connection is
// returned to the pool if the server allows its reuse.
func (r *Response) Finish() {
	if !r.stop() || r.Close || !r.Delimited() {
		r.conn.Close()
		return
	}
	r.pool.Put(r.conn, idleTimeout(r.Header.Get("Keep-Alive")))
}

// Delimited reports whether the body has a length or is chunked. Otherwise it ends
// with its connection.
func (r *Response) Delimited() bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// Abort resets the connection, which makes the server drop the request.
func (r *Response) Abort() {
	r.stop()
	r.conn.reset()
}

// idleTimeout returns how long a connection may stay idle, given the Keep-Alive
// header of the response ("timeout=N", N in seconds).
func idleTimeout(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
