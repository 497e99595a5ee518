package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"marjorampitch/internal/duplex"
	"marjorampitch/internal/resphead"
	"marjorampitch/internal/sockopt"
)

// maxSkippedResponses is the number of responses, informational ones and those to
// other requests, that are skipped before the connection is closed.
const maxSkippedResponses = 3

// maxSkippedBytes bounds the body of a response that is skipped.
const maxSkippedBytes = 1 << 20

// silenceRechecks is how often a silence that goes on is judged again within the time
// of the first judgement.
const silenceRechecks = 4

// Errors of Pool.Do.
var (
	// ErrNoResponse means that the request may have reached the server, but no
	// response to it was received. Do returns it together with its cause, such as those
	// of resphead.
	ErrNoResponse = eris.New("backend: no whole answer")
	// ErrMismatchedResponse means that the responses on the connection belong to other
	// requests.
	ErrMismatchedResponse = eris.New("backend: answer to another request")
	// ErrSilent reports a server whose silence a watch has ended.
	ErrSilent = eris.New("backend: no data from the server")
)

// ClosedByServer reports whether an exchange failed with err because the server
// closed or reset the connection.
func ClosedByServer(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Refused reports whether err is an ErrDial because nothing listens at the address.
func Refused(err error) bool {
	return errors.Is(err, ErrDial) && errors.Is(err, syscall.ECONNREFUSED)
}

// OnSilent judges the silence of a server and reports whether to end the exchange. recheck
// has it called again at once if the server is still silent. It may be called by any
// goroutine, and has no effect after the exchange.
type OnSilent func(recheck func()) bool

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

	Silence  time.Duration // see Response.WatchSilence; applies to the head of the response
	OnSilent OnSilent      // nil for no watch
}

// Sending of long bodies.
const (
	// longBodyBytes is the length from which on a body is sent while the response is
	// awaited: the server may read it slowly, or answer before it has read all of it.
	longBodyBytes = 16 << 10
	// slowReaderTimeout replaces tcpUserTimeout while a long body is sent. A server
	// that reads nothing for so long is given up.
	slowReaderTimeout = 5 * time.Second
)

// Response is a response whose head has been read. The caller must call Finish or
// Abort.
type Response struct {
	*http.Response
	id     string // of the request
	conn   *Conn
	reader *exchangeReader
	pool   *Pool
	stop   func() bool
}

// exchangeReader reads the responses of one exchange from its connection.
type exchangeReader struct {
	conn     *duplex.Conn
	deadline time.Time // of the exchange; zero for none
	silence  time.Duration
	onSilent OnSilent // nil for no watch
	heads    resphead.Checker
	judgeAt  time.Time // when the silence is judged next; zero if it begins with the next read
	body     *longBody // of the request; nil for a short one

	mu         sync.Mutex // guards the fields below, and the read deadline while recheckDue may change
	recheckDue bool
	ended      bool // the connection may serve another exchange
}

// Read implements io.Reader. Errors: those of resphead, too.
func (r *exchangeReader) Read(p []byte) (int, error) {
	if err := r.heads.Err(); err != nil {
		return 0, err
	}
	n, err := r.read(p)
	if n, malformed := r.heads.Check(p[:n]); malformed != nil {
		return n, malformed
	}
	return n, err
}

// read reads from the connection. Silence is judged between reads, so that neither a read
// nor the end of the exchange can overlap with it.
func (r *exchangeReader) read(p []byte) (int, error) {
	for {
		deadline := r.deadline
		if r.onSilent != nil {
			if r.judgeAt.IsZero() {
				r.judgeAt = time.Now().Add(r.silence)
			}
			deadline = r.judgeAt
		}
		if err := r.setReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		recheck := r.takeRecheck()
		if r.onSilent == nil {
			if recheck { // the watch has ended meanwhile
				continue
			}
			return n, err
		}
		if !recheck {
			r.judgeAt = time.Now().Add(r.silence / silenceRechecks)
		}
		if r.sending() {
			r.judgeAt = time.Time{}
			continue
		}
		// A deadline also passes while this process is paused.
		if r.waiting() && r.onSilent(r.recheck) && r.waiting() {
			return 0, ErrSilent
		}
	}
}

// sending reports whether a long body is underway, so that the server need not answer yet.
func (r *exchangeReader) sending() bool {
	return r.body != nil && (!r.body.written() || sockopt.Sending(r.conn.TCP()))
}

// setReadDeadline sets the deadline of the next read, which is over if a recheck is due.
func (r *exchangeReader) setReadDeadline(deadline time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recheckDue && r.onSilent != nil {
		deadline = longAgo
	}
	return r.conn.SetReadDeadline(deadline)
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// recheck ends the present read, or the next one, for the silence to be judged.
func (r *exchangeReader) recheck() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.recheckDue = true
	r.conn.SetReadDeadline(longAgo) //nolint:errcheck // fails on a closed connection, which is no longer read
}

// takeRecheck reports whether a recheck is due, and clears it.
func (r *exchangeReader) takeRecheck() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.recheckDue
	r.recheckDue = false
	return due
}

// end records that the connection may serve another exchange.
func (r *exchangeReader) end() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
}

// waiting reports whether the connection is open and no data has arrived.
func (r *exchangeReader) waiting() bool { return sockopt.CanReuse(r.conn.TCP()) }

// Do sends the request and reads the head of the response. ctx bounds the exchange
// including the response body: when it ends, the connection is reset, which makes
// the server drop the request. Errors: ErrDial if nothing was sent, otherwise
// ErrNoResponse. After ErrNoResponse the request may have run, unless the
// connection was closed before any of the request was written.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrap(ErrDial, err.Error())
	}
	conn, err := p.Get(ctx, address, r.ID, r.NoReuse)
	if err != nil {
		return nil, err
	}
	reader := &exchangeReader{conn: conn.Conn, silence: r.Silence, onSilent: r.OnSilent}
	conn.br.Reset(reader) // nothing is buffered between exchanges
	stop := context.AfterFunc(ctx, conn.reset)
	fail := func(err error) (*Response, error) {
		stop()
		conn.reset()
		return nil, fmt.Errorf("%w: %w", err, ErrNoResponse)
	}
	if deadline, ok := ctx.Deadline(); ok {
		reader.deadline = deadline
		if err := conn.SetDeadline(deadline); err != nil {
			return fail(err)
		}
	}
	if reader.body, err = conn.send(r); err != nil {
		return fail(err)
	}
	resp, err := conn.readResponse(r, reader)
	if err != nil {
		return fail(err)
	}
	reader.onSilent = nil
	return &Response{Response: resp, id: r.ID, conn: conn, reader: reader, pool: p, stop: stop}, nil
}

// longBody is a body that is passed to the kernel while the response is awaited.
type longBody struct {
	done chan struct{} // closed when err is set
	err  error
}

// written reports whether the whole body has been passed to the kernel, or cannot be.
func (b *longBody) written() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// send sends the request. The body, if it is long, is sent by a goroutine; an error of the
// connection also ends the reading.
func (c *Conn) send(r *Request) (body *longBody, err error) {
	if len(r.Body) < longBodyBytes {
		_, err := c.Write(append(r.encodeHead(len(r.Body)), r.Body...))
		return nil, err
	}
	if err := sockopt.SetUserTimeout(c.TCP(), slowReaderTimeout); err != nil {
		return nil, err
	}
	if _, err := c.Write(r.encodeHead(0)); err != nil {
		return nil, err
	}
	body = &longBody{done: make(chan struct{})}
	go func() {
		defer close(body.done)
		_, body.err = c.Write(r.Body)
	}()
	return body, nil
}

// encodeHead returns the head of the request in a buffer with room for spare bytes.
func (r *Request) encodeHead(spare int) []byte {
	var b bytes.Buffer
	b.Grow(512 + spare)
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
	return b.Bytes()
}

// readResponse reads response heads until one belongs to r. A response with the id
// of r does, and so does one without an id and with a status of 400 or above if the
// connection has served no other request: it may be a late duplicate otherwise, and
// which of the two cannot be told. Others are discarded.
func (c *Conn) readResponse(r *Request, reader *exchangeReader) (*http.Response, error) {
	for range maxSkippedResponses {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		switch {
		case id == "" && r.ID != "" && c.reused:
			return nil, ErrMismatchedResponse
		case id == r.ID || id == "" && resp.StatusCode >= http.StatusBadRequest:
			return resp, nil
		}
		if resp.Close || !delimited(resp) {
			break
		}
		if whole, err := discard(resp.Body, maxSkippedBytes); err != nil || !whole {
			return nil, errors.Join(ErrMismatchedResponse, err)
		}
		if err := c.expectHead(reader); err != nil {
			return nil, err
		}
	}
	return nil, ErrMismatchedResponse
}

// expectHead has a head follow the response that has been read. What has been buffered behind
// that one was not checked as a head. Errors: those of resphead.
func (c *Conn) expectHead(reader *exchangeReader) error {
	reader.heads.Expect()
	ahead, _ := c.br.Peek(c.br.Buffered()) // never reads
	_, err := reader.heads.Check(ahead)
	return err
}

// Finish ends the exchange after the body was read to the end. The connection is
// returned to the pool if the server allows its reuse and has been sent the whole request:
// where the rest of a body is due, no other bytes may follow.
func (r *Response) Finish() {
	stopped := r.stop()
	r.reader.end()
	if !r.allSent() {
		r.conn.reset()
		return
	}
	if !stopped || r.Close || !r.Delimited() {
		r.conn.Close()
		return
	}
	r.pool.Put(r.conn, idleTimeout(r.Header.Get("Keep-Alive")))
}

// allSent reports whether the request has been sent to its end. If so, the connection is
// as after a short one.
func (r *Response) allSent() bool {
	body := r.reader.body
	if body == nil {
		return true
	}
	return body.written() && body.err == nil && sockopt.SetUserTimeout(r.conn.TCP(), tcpUserTimeout) == nil
}

// WatchSilence calls onSilent when the body has made no progress for this long, and
// then silenceRechecks times as often. Data alone is no progress: see Progress.
// If it returns true and no data has arrived meanwhile, the read fails with ErrSilent.
// It is called by the reading goroutine.
func (r *Response) WatchSilence(silence time.Duration, onSilent OnSilent) {
	r.reader.silence, r.reader.onSilent = silence, onSilent
	r.Progress()
}

// Progress records that what has been read makes sense to its reader, such as a whole
// event: a silence begins with the next read.
func (r *Response) Progress() {
	r.reader.takeRecheck()
	r.reader.judgeAt = time.Time{}
}

// Delimited reports whether the body has a length or is chunked. Otherwise it ends
// with its connection.
func (r *Response) Delimited() bool { return delimited(r.Response) }

func delimited(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// Discard ends the exchange of a request that the server has refused, without the body. The
// connection is kept only if the body ends within limit bytes and timeout. It serves no
// request with the same id again, as the id would not tell the refusal, written once more,
// from the answer.
func (r *Response) Discard(limit int64, timeout time.Duration) {
	if end := time.Now().Add(timeout); r.reader.deadline.IsZero() || end.Before(r.reader.deadline) {
		r.reader.deadline = end
	}
	if !r.Delimited() {
		r.Abort()
	} else if whole, err := discard(r.Body, limit); err != nil || !whole {
		r.Abort()
	} else {
		r.conn.refused = append(r.conn.refused, hashID(r.id))
		r.Finish()
	}
}

// discard reads up to limit bytes and reports whether r ends with them.
func discard(r io.Reader, limit int64) (whole bool, err error) {
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	return n <= limit, err
}

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
