package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// errEventSize says that an event is larger than maxEvent.
var errEventSize = errors.New("gateway: event too large")

// eventReader cuts a stream into whole events.
type eventReader struct {
	body io.Reader
	buf  []byte
	fill int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buf: make([]byte, 1<<10)}
}

// next returns the whole events that have arrived, at least one, and the id of
// the last of them (-1 where it has none). The slice is valid until the next
// call. At the end of the stream the error is io.EOF if no part of an event is
// left over, else io.ErrUnexpectedEOF.
func (e *eventReader) next() (events []byte, last int64, err error) {
	for {
		if end := lastEnd(e.buf[:e.fill]); end > 0 {
			events = append([]byte(nil), e.buf[:end]...)
			e.fill = copy(e.buf, e.buf[end:e.fill])
			return events, lastID(events), nil
		}
		if e.fill == len(e.buf) {
			if e.fill >= maxEvent {
				return nil, -1, errEventSize
			}
			e.buf = append(e.buf, make([]byte, len(e.buf))...)
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

// lastEnd is the end of the last whole event in b; 0 for none.
func lastEnd(b []byte) int {
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

// lastID is the id of the last event in b that has one; -1 for none.
func lastID(b []byte) int64 {
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
