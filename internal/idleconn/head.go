package idleconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"marjorampitch/internal/callerconn"
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
	// readerBytes is the size of http.Server's buffer.
	readerBytes = 4 << 10
	// lingerTime and lingerReads bound what is read of a client that has been refused.
	lingerTime  = 100 * time.Millisecond
	lingerReads = 16
)

// head counts what is read of the head of a request.
type head struct {
	bytes  int   // so far
	memory int64 // that it takes so far
	line   int   // length of its last line so far, without line ends
	ended  bool  // the whole head has been read
}

// add counts bytes that have been read, and returns those after the end of the head.
func (h *head) add(p []byte) []byte {
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
	h.memory += int64(lines*fieldBytes + textCopies*n)
	return p[n:]
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
	retry, cause := "", callerconn.YieldLongHead
	if status == http.StatusServiceUnavailable {
		retry, cause = "Retry-After: 1\r\n", callerconn.YieldNoRoom
	}
	if c.budget != nil {
		c.budget.Refused(cause)
	}
	if _, err := fmt.Fprintf(c.Conn, format, status, http.StatusText(status), retry); err != nil {
		return
	}
	c.linger()
}

// linger ends the sending direction and reads a part of what the client still sends. A
// connection that is closed with unread data is reset, and a reset may overtake the answer.
func (c *conn) linger() {
	c.CloseWrite()                                     //nolint:errcheck // the connection is closed next
	c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) //nolint:errcheck // as above
	buf := make([]byte, readerBytes)
	for range lingerReads {
		if _, err := io.ReadFull(c.Conn, buf); err != nil {
			return
		}
	}
}

// begin records that a request whose head takes n bytes is served. It returns false if there
// is no room for it.
func (c *conn) begin(r *http.Request, n int64) bool {
	c.setPhase(handling)
	c.mu.Lock()
	c.framing.begin(r)
	c.mu.Unlock()
	return c.budget == nil || c.budget.BeginRequest(n)
}

// end records that a request whose head takes n bytes has been served.
func (c *conn) end(n int64) {
	if c.budget != nil {
		c.budget.EndRequest(n)
	}
}

// idle records that the next request is awaited. What has been read of it is counted. A
// refusal is left to the next read: there is none if http.Server has the whole head already.
func (c *conn) idle() {
	c.setPhase(idle)
	if c.budget != nil {
		c.budget.Idle()
	}
	c.mu.Lock()
	c.framing.next()
	h := c.framing.head
	c.mu.Unlock()
	if h.bytes == 0 {
		return
	}
	c.setPhase(reading)
	if status := c.admitHead(&h, true); !h.ended {
		c.mu.Lock()
		c.refusal = status
		c.mu.Unlock()
	}
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
