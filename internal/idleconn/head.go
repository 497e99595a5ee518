package idleconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Costs and limits of heads.
const (
	// headSlack is how much longer than Options.MaxHead a head may be. The limit is compared
	// exactly where the head has been parsed.
	headSlack = 1 << 10
	// fieldBytes is the memory that a field of a request takes apart from its text: entries
	// of the parsed header and of its copy for a server.
	fieldBytes = 400
	// textCopies is how often the text of a field is kept.
	textCopies = 3
	// readerBytes is the size of http.Server's buffer, so the most that it has read ahead.
	readerBytes = 4 << 10
	// shortestField is the size of the shortest line of a head: a name of one letter.
	shortestField = len("a:\r\n")
	// aheadBytes is the most memory that fields take which have been read ahead of the
	// request before them.
	aheadBytes = readerBytes/shortestField*fieldBytes + textCopies*readerBytes
	// drainTime and drainReads bound what is read of a client that is refused, so that the
	// refusal reaches it before the connection is reset.
	drainTime  = 100 * time.Millisecond
	drainReads = 16
)

// head counts what is read of requests.
type head struct {
	bytes   int    // of the head so far
	memory  int64  // that it takes so far
	line    int    // length of its last line so far, without line ends
	ended   bool   // the whole head has been read
	after   int64  // bytes read after its end
	body    int64  // length of the body; negative if it is not known
	tail    []byte // the last bytes read, len(lastChunk) at most
	isAhead bool   // more has been read than the request before, so the start of this head was not seen
}

// lastChunk ends a body in chunks that has no trailer.
const lastChunk = "0\r\n\r\n"

// add counts bytes that have been read.
func (h *head) add(p []byte) {
	h.tail = append(h.tail, p[max(0, len(p)-len(lastChunk)):]...)
	h.tail = h.tail[max(0, len(h.tail)-len(lastChunk)):]
	if h.ended {
		h.after += int64(len(p))
		return
	}
	lines, n := 0, len(p)
	for i, b := range p {
		if b == '\n' && h.line == 0 {
			h.ended, n = true, i+1
			break
		}
		switch b {
		case '\n':
			lines++
			h.line = 0
		case '\r':
		default:
			h.line++
		}
	}
	h.bytes += n
	h.after = int64(len(p) - n)
	h.memory += int64(lines*fieldBytes + textCopies*n)
}

// next begins the next head. It reports whether a part of it may have been read already.
func (h *head) next() bool {
	switch {
	case h.isAhead || !h.ended:
		h.isAhead = true
	case h.body >= 0:
		h.isAhead = h.after > h.body+1 // http.Server reads one byte while it serves a request
	default:
		h.isAhead = string(h.tail) != lastChunk
	}
	*h = head{isAhead: h.isAhead, tail: h.tail[:0]}
	return h.isAhead
}

// errRefused ends the reads of a connection whose request was refused. http.Server takes it
// for an error of the connection and writes nothing more.
var errRefused = &net.OpError{Op: "read", Err: errors.New("idleconn: request refused")}

// admitHead decides about a head after some of it has been read, the first part if began is
// set. A status other than 0 is that of a refusal.
func (c *conn) admitHead(h *head, began bool) (status int) {
	switch {
	case c.maxHead != nil && h.bytes > c.maxHead()+headSlack:
		return http.StatusRequestHeaderFieldsTooLarge
	case c.budget == nil:
		return 0
	case began:
		c.budget.BeginHead()
	}
	if !c.budget.Head(h.memory) {
		return http.StatusServiceUnavailable
	}
	return 0
}

// refuse answers a request whose head is not read to its end, and ends the connection.
// Nothing else is written: the answers to earlier requests have been.
func (c *conn) refuse(status int) {
	const format = "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n"
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	if _, err := fmt.Fprintf(c.Conn, format, status, http.StatusText(status), retry); err != nil {
		return
	}
	c.CloseWrite()                                    //nolint:errcheck // the connection is closed next
	c.Conn.SetReadDeadline(time.Now().Add(drainTime)) //nolint:errcheck // as above
	buf := make([]byte, readerBytes)
	for range drainReads {
		if _, err := io.ReadFull(c.Conn, buf); err != nil {
			return
		}
	}
}

// begin records that a request is served. It returns false if there is no room for it.
func (c *conn) begin(r *http.Request) bool {
	c.setPhase(handling)
	c.mu.Lock()
	c.head.body = r.ContentLength
	c.mu.Unlock()
	return c.budget == nil || c.budget.BeginRequest(headBytes(r))
}

// end records that a request has been served.
func (c *conn) end() {
	if c.budget != nil {
		c.budget.EndRequest()
	}
}

// idle records that the next request is awaited.
func (c *conn) idle() {
	c.mu.Lock()
	isAhead := c.head.next()
	c.mu.Unlock()
	if c.budget != nil {
		n := int64(0)
		if isAhead {
			n = int64(aheadBytes)
		}
		c.budget.Idle(n)
	}
	c.setPhase(idle)
}

// headBytes returns the memory that the head of a request takes.
func headBytes(r *http.Request) int64 {
	fields, text := 1, len(r.RequestURI)+len(r.Host)
	for name, values := range r.Header {
		fields += len(values)
		text += len(name)
		for _, v := range values {
			text += len(v)
		}
	}
	return int64(fields*fieldBytes + textCopies*text)
}
