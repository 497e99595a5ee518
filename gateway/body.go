package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"marjorampitch/api"
	"marjorampitch/backend"
	"marjorampitch/internal/callerconn"
	"marjorampitch/internal/clock"
	"marjorampitch/internal/idleconn"
)

// defaultMaxBodyBytes is the size of a request's body where the document sets no limit.
const defaultMaxBodyBytes = 1 << 22

// readBody reads the whole body of a request, within the document's limit, the request's
// deadline and the budget of the buffers.
func (g *Gateway) readBody(c *call) *api.Error {
	limit := c.view.Document.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return api.NewError(api.BodyTooLarge, "")
	}
	if c.r.ContentLength == 0 {
		c.bodyRead = true
		return nil
	}
	control := http.NewResponseController(c.w)
	control.SetReadDeadline(time.Now().Add(g.timeLeft(c))) //nolint:errcheck // not supported by some writers of tests
	body, err := g.readHeld(c, limit+1)
	switch {
	case errors.Is(err, callerconn.ErrNoRoom):
		return g.retryElsewhere(api.BuffersFull, "")
	case errors.Is(err, os.ErrDeadlineExceeded) && g.stages.leaving.Load():
		return g.retryElsewhere(api.Leaving, "body still arriving")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return api.NewError(api.BodyTooSlow, "")
	case err != nil:
		return api.NewError(api.BadRequest, "read body: "+err.Error())
	case int64(len(body)) > limit:
		return api.NewError(api.BodyTooLarge, "")
	}
	control.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	c.r.Trailer = nil                    // never passed on
	c.body, c.bodyRead = body, true
	return nil
}

// readHeld reads the body of a request, but not more than limit bytes. What it reads is held
// for the caller's connection, or until the call ends where g serves requests of another
// server than its own. Errors: callerconn.ErrNoRoom, those of the body.
func (g *Gateway) readHeld(c *call, limit int64) ([]byte, error) {
	if conn := idleconn.Conn(c.r); conn != nil {
		return conn.ReadBody(c.r.Body, c.r.ContentLength, limit)
	}
	return callerconn.ReadHeld(c.r.Body, c.r.ContentLength, limit, func(n int64) bool { return g.reserve(c, n) })
}

// reserve takes n bytes of the callers' budget until the call ends. It reports whether it
// did.
func (g *Gateway) reserve(c *call, n int64) bool {
	if !g.callers.Reserve(n) {
		return false
	}
	c.held += n
	return true
}

// responseBufferWait is how long the answer of a server waits for room in the buffers.
const responseBufferWait = time.Second

// Sizes of the pieces of a response's body. Each is twice as long as the one before.
const (
	firstPieceBytes = 16 << 10
	maxPieceBytes   = 1 << 20
)

// errResponseSize reports a body larger than maxResponseBytes.
var errResponseSize = errors.New("gateway: response exceeds the buffer limit")

// readResponse reads the whole body of a response, in pieces: a slice that grows would take
// more than what is reserved for it. Errors: callerconn.ErrNoRoom, errResponseSize, those of
// the body.
func (g *Gateway) readResponse(ctx context.Context, c *call, resp *backend.Response) (pieces [][]byte, size int64, err error) {
	switch {
	case resp.Body == http.NoBody: // a length may be stated nevertheless: in an answer to HEAD
		return nil, 0, nil
	case resp.ContentLength > maxResponseBytes:
		return nil, 0, errResponseSize
	}
	for length := int64(firstPieceBytes); size <= maxResponseBytes; length = min(2*length, maxPieceBytes) {
		n := length
		if resp.ContentLength >= 0 {
			n = min(n, resp.ContentLength-size+1) // a byte more, to read the end
		}
		if !g.awaitRoom(ctx, c, n) {
			return nil, 0, callerconn.ErrNoRoom
		}
		piece := make([]byte, 0, n)
		for len(piece) < cap(piece) && err == nil {
			var read int
			read, err = resp.Body.Read(piece[len(piece):cap(piece)])
			piece = piece[:len(piece)+read]
		}
		pieces, size = append(pieces, piece), size+int64(len(piece))
		if err == io.EOF {
			return pieces, size, nil
		}
		if err != nil {
			return nil, 0, err
		}
	}
	return nil, 0, errResponseSize
}

// awaitRoom takes n bytes of the callers' budget until the call ends. It waits a while for
// them: unlike a request, an answer has cost a server its work.
func (g *Gateway) awaitRoom(ctx context.Context, c *call, n int64) bool {
	for end := g.now() + responseBufferWait; ; {
		if g.reserve(c, n) {
			return true
		}
		if ctx.Err() != nil || g.now() >= end {
			return false
		}
		clock.Sleep(ctx, reservePollInterval)
	}
}

// callRoom is the callers' budget, of which a call takes what it holds of an answer. It
// implements budget.
type callRoom struct {
	g   *Gateway
	ctx context.Context // of the attempt
	c   *call
}

func (r callRoom) reserve(n int64) bool { return r.g.awaitRoom(r.ctx, r.c, n) }

func (r callRoom) release(n int64) {
	r.g.callers.Release(n)
	r.c.held -= n
}

// reservePollInterval is the time between two tries to reserve room for an answer.
const reservePollInterval = 20 * time.Millisecond
