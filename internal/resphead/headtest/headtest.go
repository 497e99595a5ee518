// Package headtest has responses whose heads are malformed, for the tests of everything that
// reads responses.
package headtest

import (
	"fmt"
	"strconv"
	"strings"
)

// Own is the body that a server means to send. No part of a malformed response holds it.
const Own = "own"

// Placeholders of Malformed.text.
const (
	status = "STATUS"
	fields = "FIELDS" // sound ones, each with its line end
)

// Malformed is a response that is none.
type Malformed struct {
	Name string
	text string
}

// Text returns the response with this status, if it has a sound one, and these sound fields,
// each with its line end.
func (m Malformed) Text(code int, sound string) string {
	return strings.NewReplacer(status, strconv.Itoa(code), fields, sound).Replace(m.text)
}

const (
	statusLine = "HTTP/1.1 " + status + " X\r\n"
	plain      = fields + "Content-Length: 9\r\n\r\nmalformed"
)

// Heads returns malformed responses of each kind.
func Heads() []Malformed {
	all := []Malformed{
		{"blank before the colon of the framing", statusLine + fields + "Transfer-Encoding : chunked\r\n\r\n9\r\nmalformed\r\n0\r\n\r\n"},
		{"blank before the colon of the length", statusLine + fields + "Content-Length : 90\r\n\r\nmalformed"},
		{"blank before the length", statusLine + fields + " Content-Length: 90\r\n\r\nmalformed"},
		{"blank before the first field", statusLine + " X-A: a\r\n" + plain},
		{"tab before a field", statusLine + fields + "\tContent-Length: 90\r\n\r\nmalformed"},
		{"field without a name", statusLine + ": a\r\n" + plain},
		{"line without a colon", statusLine + "X-A\r\n" + plain},
		{"NUL in a value", statusLine + "X-A: a\x00b\r\n" + plain},
		{"CR in a value", statusLine + "X-A: a\rX-B: b\r\n" + plain},
		{"blank name after an interim head", "HTTP/1.1 103 X\r\nX A: a\r\n\r\n" + statusLine + plain},
		{"chunks of HTTP/1.0", "HTTP/1.0 " + status + " X\r\n" + fields + "transfer-Encoding: chunked\r\n\r\n9\r\nmalformed\r\n0\r\n\r\n"},
		{"other version", "HTTP/2.0 " + status + " X\r\n" + plain},
		{"other protocol", "HTTQ/1.1 " + status + " X\r\n" + plain},
	}
	for _, code := range []string{"000", "001", "099", "101", "600", "999", "20", "2000", "+20", "-20", "2 0", "20x", ""} {
		all = append(all, Malformed{"status " + strconv.Quote(code), "HTTP/1.1 " + code + " X\r\n" + plain})
	}
	for _, b := range []byte("\x00\x01\t\v\x1f ()/@\x7f\x80\xff") {
		all = append(all,
			Malformed{fmt.Sprintf("%q in a name", b), statusLine + "X" + string([]byte{b}) + "A: a\r\n" + plain},
			Malformed{fmt.Sprintf("%q at the end of a name", b), statusLine + fields + "Content-Length: 9\r\nX-A" + string([]byte{b}) + ": a\r\n\r\nmalformed"})
	}
	return all
}
