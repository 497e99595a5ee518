// Package resphead checks the heads of HTTP/1 responses as they are read.
//
// The parser of net/http takes heads that are none: statuses below 100, and names of fields
// with a blank, which it keeps as other fields, so that the framing they may state is lost.
// Once a head is parsed, it does not show how its lines were written. Its bytes are therefore
// checked on their way to the parser, by everything that reads responses.
package resphead

import (
	"fmt"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// Limits of the heads before a response's body, informational ones included.
const (
	MaxBytes  = 64 << 10
	MaxFields = 256 // a short field takes far more memory than its text
)

// Errors of Checker.
var (
	// ErrMalformed means that the bytes are no head of a response.
	ErrMalformed = eris.New("resphead: malformed head")
	// ErrTooLarge means that a head exceeds MaxBytes or MaxFields.
	ErrTooLarge = eris.New("resphead: head is too large")
)

// part is a part of a response.
type part uint8

const (
	version part = iota
	status
	reason
	lineStart
	name
	value
	lineEnd // the LF after the CR of a line
	headEnd // the LF after the CR of the empty line
	body
)

const (
	protocol         = "HTTP/1."
	transferEncoding = "transfer-encoding"
	switching        = 101
)

// Checker follows the bytes of a connection. The zero value expects the head of a response.
// It is not safe for concurrent use.
type Checker struct {
	part   part
	pos    int  // in the version, the status or a name
	minor  byte // digit of the version
	status int
	coding bool // the name so far begins transferEncoding
	bytes  int
	fields int
	err    error
}

// Expect has the next byte begin the head of a response. It does not clear an error.
func (c *Checker) Expect() { *c = Checker{err: c.err} }

// Err returns the error that Check has returned; nil for none.
func (c *Checker) Err() error { return c.err }

// Check checks bytes that have been read. After an error, only the first n bytes may be passed
// on: the last of them is the one at fault, so that no head is ever whole, but a parser sees
// that a response had begun. Bytes after a head are those of the body, up to the next Expect.
// Errors: ErrMalformed, ErrTooLarge.
func (c *Checker) Check(p []byte) (n int, err error) {
	if c.err != nil {
		return 0, c.err
	}
	for i, b := range p {
		if c.part == body {
			break
		}
		if c.err = c.next(b); c.err != nil {
			return i + 1, c.err
		}
	}
	return len(p), nil
}

// next checks one byte of a head.
func (c *Checker) next(b byte) error {
	if c.bytes++; c.bytes > MaxBytes {
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, MaxBytes)
	}
	switch c.part {
	case version:
		return c.nextOfVersion(b)
	case status:
		return c.nextOfStatus(b)
	case lineStart:
		return c.beginLine(b)
	case name:
		return c.nextOfName(b)
	case reason, value:
		return c.nextOfText(b)
	case lineEnd, headEnd:
		if b != '\n' {
			return malformed("CR without LF", b)
		}
		return c.endLine()
	}
	return nil
}

func malformed(what string, b byte) error { return fmt.Errorf("%w: %s: %q", ErrMalformed, what, b) }

func (c *Checker) nextOfVersion(b byte) error {
	digit := len(protocol)
	switch {
	case c.pos < digit && b == protocol[c.pos]:
	case c.pos == digit && isDigit(b):
		c.minor = b
	case c.pos > digit && b == ' ':
		c.enter(status)
		return nil
	default:
		return malformed("version", b)
	}
	c.pos++
	return nil
}

// nextOfStatus takes three digits, from 100 to 599, and what ends them. No request asks for
// another protocol, so that none may be switched to.
func (c *Checker) nextOfStatus(b byte) error {
	const digits = 3
	if c.pos == digits {
		if c.status == switching {
			return malformed("status 101", b)
		}
		c.part = reason
		if b == ' ' {
			return nil
		}
		if b != '\r' && b != '\n' {
			return malformed("status", b)
		}
		return c.nextOfText(b)
	}
	if !isDigit(b) || c.pos == 0 && (b < '1' || b > '5') {
		return malformed("status", b)
	}
	c.status = 10*c.status + int(b-'0')
	c.pos++
	return nil
}

// beginLine takes the first byte of a line of a field, or of the empty line. A line that
// continues the one before it is refused.
func (c *Checker) beginLine(b byte) error {
	switch b {
	case '\n':
		c.part = headEnd
		return c.endLine()
	case '\r':
		c.part = headEnd
		return nil
	}
	if c.fields++; c.fields > MaxFields {
		return fmt.Errorf("%w: more than %d fields", ErrTooLarge, MaxFields)
	}
	if !httpguts.IsTokenRune(rune(b)) {
		return malformed("name of a field", b)
	}
	c.enter(name)
	c.coding = true
	return c.nextOfName(b)
}

func (c *Checker) nextOfName(b byte) error {
	switch {
	case b == ':':
		if c.coding && c.pos == len(transferEncoding) && c.minor == '0' {
			return malformed("transfer encoding of HTTP/1.0", b) // where the body ends is not known
		}
		c.enter(value)
		return nil
	case !httpguts.IsTokenRune(rune(b)):
		return malformed("name of a field", b)
	}
	c.coding = c.coding && c.pos < len(transferEncoding) && lower(b) == transferEncoding[c.pos]
	c.pos++
	return nil
}

// nextOfText takes a byte of a reason or of the value of a field.
func (c *Checker) nextOfText(b byte) error {
	switch {
	case b == '\r':
		c.part = lineEnd
	case b == '\n':
		return c.endLine()
	case b < ' ' && b != '\t' || b == 0x7f:
		return malformed("control byte", b)
	}
	return nil
}

// endLine enters what follows a line. After an informational response that is another head.
func (c *Checker) endLine() error {
	switch {
	case c.part != headEnd:
		c.enter(lineStart)
	case c.status < 200:
		c.enter(version)
		c.status = 0
	default:
		c.enter(body)
	}
	return nil
}

func (c *Checker) enter(p part) { c.part, c.pos = p, 0 }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
