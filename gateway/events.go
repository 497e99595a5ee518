package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"marjorampitch/internal/callerconn"
)

// Sizes of an eventReader's buffer.
const (
	firstEventBytes = 1 << 10
	ownEventBytes   = 16 << 10 // up to which it is not reserved
	maxEventBytes   = 1 << 20  // bounds the size of one event
)

// errEventSize reports an event larger than maxEventBytes.
var errEventSize = errors.New("gateway: event too large")

// eventReader splits a stream into complete server-sent events.
type eventReader struct {
	body io.Reader
	room budget
	buf  []byte
	used int // bytes of buf that next has returned
	fill int // bytes of buf that have been read
}

// budget is memory that is shared with others.
type budget interface {
	reserve(n int64) bool // reports whether there was room for n bytes
	release(n int64)
}

// newEventReader returns a reader of the events of body. It takes the memory of long events
// from room, and does not give back what it holds in the end.
func newEventReader(body io.Reader, room budget) *eventReader {
	return &eventReader{body: body, room: room, buf: make([]byte, firstEventBytes)}
}

// next returns the complete events that have arrived, at least one, and the id
// of the last of them that has one; -1 for none. They are valid until the next call. At the end of the stream the
// error is io.EOF, or io.ErrUnexpectedEOF if part of an event is left over. Other errors:
// errEventSize, callerconn.ErrNoRoom, those of the body.
func (e *eventReader) next() (events []byte, last int64, err error) {
	e.fill = copy(e.buf, e.buf[e.used:e.fill])
	e.used = 0
	for {
		if end := lastEventEnd(e.buf[:e.fill]); end > 0 {
			e.used = end
			return e.buf[:end], lastEventID(e.buf[:end]), nil
		}
		if e.fill == len(e.buf) {
			if err := e.grow(); err != nil {
				return nil, -1, err
			}
		}
		n, err := e.body.Read(e.buf[e.fill:])
		e.fill += n
		if n == 0 && err != nil {
			if err == io.EOF && e.fill > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, -1, err
		}
	}
}

// grow doubles the buffer. Both have room while the old one is copied.
func (e *eventReader) grow() error {
	old := len(e.buf)
	switch {
	case old >= maxEventBytes:
		return errEventSize
	case 2*old > ownEventBytes && !e.room.reserve(int64(2*old)):
		return callerconn.ErrNoRoom
	}
	grown := make([]byte, 2*old)
	copy(grown, e.buf)
	e.buf = grown
	if old > ownEventBytes {
		e.room.release(int64(old))
	}
	return nil
}

// lastEventEnd returns the end of the last complete event in b; 0 for none.
func lastEventEnd(b []byte) int {
	lf := bytes.LastIndex(b, []byte("\n\n"))
	crlf := bytes.LastIndex(b, []byte("\r\n\r\n"))
	switch {
	case crlf > lf:
		return crlf + 4
	case lf >= 0:
		return lf + 2
	}
	return 0
}

// countEvents returns the number of events in chunks of complete events.
func countEvents(b []byte) int {
	return bytes.Count(b, []byte("\n\n")) + bytes.Count(b, []byte("\r\n\r\n"))
}

// lastEventID returns the id of the last event in b that has one; -1 for none.
func lastEventID(b []byte) int64 {
	at := bytes.LastIndex(b, []byte("\nid:"))
	switch {
	case at >= 0:
		b = b[at+4:]
	case bytes.HasPrefix(b, []byte("id:")):
		b = b[3:]
	default:
		return -1
	}
	line, _, _ := bytes.Cut(b, []byte("\n"))
	id, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return -1
	}
	return id
}

// hasEvent reports whether b, which holds whole events, holds more than comments. A
// server may send comments to keep a connection alive; they show no progress.
func hasEvent(b []byte) bool {
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 && line[0] != ':' {
			return true
		}
		b = rest
	}
	return false
}
