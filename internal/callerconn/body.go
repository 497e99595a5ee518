package callerconn

import (
	"io"

	"github.com/rotisserie/eris"
)

// ErrNoRoom means that the budget has no room for a body, or that its connection has
// yielded.
var ErrNoRoom = eris.New("callerconn: no room for a body")

// firstBodyBytes is what is taken at first for a body, which may be sent slowly. A longer
// body takes twice as much each time.
const firstBodyBytes = 16 << 10

// ReadBody reads the body of the connection's request to its end, but not more than limit
// bytes. length is the length stated; negative for none. What it reads is held for the
// connection as it arrives. c may be nil, for a connection without a budget. Errors:
// ErrNoRoom, those of body.
func (c *Conn) ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	if c == nil {
		return ReadHeld(body, length, limit, func(int64) bool { return true })
	}
	c.BeginBody()
	data, err := ReadHeld(arriving{body, c}, length, limit, c.AddRequest)
	if !c.EndBody() && err == nil {
		err = ErrNoRoom
	}
	return data, err
}

// arriving reports what is read of a body to its connection.
type arriving struct {
	io.Reader
	conn *Conn
}

// Read implements io.Reader.
func (a arriving) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	a.conn.Received(int64(n))
	return n, err
}

// ReadHeld reads r to its end, but not more than limit bytes. length is the length
// stated; negative for none. reserve takes what it reads from a budget, as it arrives.
// Errors: ErrNoRoom, those of r.
func ReadHeld(r io.Reader, length, limit int64, reserve func(n int64) bool) ([]byte, error) {
	size := int64(firstBodyBytes)
	if length >= 0 && length < limit {
		limit = length + 1 // a byte more, to read the end
	}
	var body []byte
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			more := max(min(size, limit)-int64(cap(body)), 1)
			if !reserve(more) {
				return nil, ErrNoRoom
			}
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
