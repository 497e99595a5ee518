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

// maxStray is the number of answers to other requests that are passed over
// before a connection is given up.
const maxStray = 3

// Errors of an exchange.
var (
	// ErrNoResponse says that the request may have reached the server.
	ErrNoResponse = eris.New("backend: no whole answer")
	// ErrMismatchedResponse says that answers on the connection belong to other requests.
	ErrMismatchedResponse = eris.New("backend: answer to another request")
)

// Request is one request as it goes to a backend server.
type Request struct {
	Method     string
	URI        string // path and query, as the caller sent them
	Host       string
	Header     http.Header
	Body       []byte
	SendLength bool // a length is sent also for an empty body

	IDHeader string // response header that echoes ID
	ID       string
	NoReuse  bool // open a connection for it: it may not be repeated if an old one breaks
}

// Response is an answer whose head has been read.
type Response struct {
	*http.Response
	conn *Conn
	pool *Pool
	stop func() bool
}

// Do sends the request and reads the head of the answer to it. ctx bounds the
// whole exchange with its body; when it ends, the connection is closed, which
// makes the server drop the request. Errors: ErrDial, nothing was sent;
// otherwise the request may have been run, unless it was on a connection that
// was closed before any of it was written.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	conn, err := p.Get(ctx, address, r.NoReuse)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.drop)
	fail := func(err error) (*Response, error) {
		stop()
		conn.drop()
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
	resp, err := conn.answer(r)
	if err != nil {
		return fail(err)
	}
	return &Response{Response: resp, conn: conn, pool: p, stop: stop}, nil
}

// encode writes head and body into one buffer.
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

// answer reads heads until one answers r. Answers to other requests, which a
// faulty server sends late, are read and dropped.
func (c *Conn) answer(r *Request) (*http.Response, error) {
	for range maxStray {
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

// Finish ends the exchange after the body was read to its end; the connection
// is kept if the server allows it.
func (r *Response) Finish() {
	if !r.stop() || r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		r.conn.Close()
		return
	}
	r.pool.Put(r.conn, idleTime(r.Header.Get("Keep-Alive")))
}

// Abort closes the connection: the server drops the request.
func (r *Response) Abort() {
	r.stop()
	r.conn.drop()
}

// idleTime reads "timeout=N" of a Keep-Alive header.
func idleTime(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return unstatedIdle
}
