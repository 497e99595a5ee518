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
	"marjorampitch/internal/clock"
)

// Sizes of bodies, in bytes.
const (
	defaultMaxBodyBytes = 1 << 22 // of a request, where the document sets no limit
	// firstBodyBytes is what is taken at first for a body, which may be sent slowly. A
	// longer body takes twice as much each time.
	firstBodyBytes = 16 << 10
)

// errBuffersFull means that the budget of the buffers has no room for a body.
var errBuffersFull = errors.New("gateway: buffers are full")

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
		return nil
	}
	control := http.NewResponseController(c.w)
	control.SetReadDeadline(time.Now().Add(g.timeLeft(c))) //nolint:errcheck // not supported by some writers of tests
	body, err := readHeld(c, c.r.Body, c.r.ContentLength, limit+1, g.callers.Reserve)
	switch {
	case errors.Is(err, errBuffersFull):
		return g.retryElsewhere(api.BuffersFull, "")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return api.NewError(api.BodyTooSlow, "")
	case err != nil:
		return api.NewError(api.BadRequest, "read body: "+err.Error())
	case int64(len(body)) > limit:
		return api.NewError(api.BodyTooLarge, "")
	}
	control.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	c.body = body
	return nil
}

// responseBufferWait is how long the answer of a server waits for room in the buffers.
const responseBufferWait = time.Second

// readResponse reads the whole body of an answer. Unlike a request it has cost a server
// its work, so it waits a while for room in the buffers.
func (g *Gateway) readResponse(ctx context.Context, c *call, resp *backend.Response) ([]byte, error) {
	return readHeld(c, resp.Body, resp.ContentLength, maxResponseBytes+1, func(n int64) bool {
		for end := g.now() + responseBufferWait; ; {
			if g.callers.Reserve(n) {
				return true
			}
			if ctx.Err() != nil || g.now() >= end {
				return false
			}
			clock.Sleep(ctx, reservePollInterval)
		}
	})
}

// reservePollInterval is the time between two tries to reserve room for an answer.
const reservePollInterval = 20 * time.Millisecond

// readHeld reads r to its end, but not more than limit bytes. length is the length
// stated; negative for none. What it reads is taken from the budget of the buffers, as
// it arrives, by reserve, until the call ends. Error: errBuffersFull, those of r.
func readHeld(c *call, r io.Reader, length, limit int64, reserve func(n int64) bool) ([]byte, error) {
	size := int64(firstBodyBytes)
	if length >= 0 {
		limit = min(limit, length+1) // a byte more, to read the end
	}
	var body []byte
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			more := max(min(size, limit)-int64(cap(body)), 1)
			if !reserve(more) {
				return nil, errBuffersFull
			}
			c.held += more
			grown := make([]byte, len(body), int64(cap(body))+more)
			copy(grown, body)
			body = grown
			size *= 2
		}
		n, err := r.Read(body[len(body):min(int64(cap(body)), limit)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}
