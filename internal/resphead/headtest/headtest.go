// Package headtest has responses whose heads are malformed, for the tests of everything that
// reads responses.
package headtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Placeholders of Malformed.text.
const (
	status = "STATUS"
	fields = "FIELDS" // sound ones, each with its line end
	length = "LENGTH"
	size   = "SIZE" // as that of a chunk
	body   = "BODY"
)

// Malformed is a response that is none.
type Malformed struct {
	Name string
	text string
}

// Text returns the response with this status, if it has a sound one, these sound fields, each
// with its line end, and this body.
func (m Malformed) Text(code int, sound, content string) string {
	return strings.NewReplacer(
		status, strconv.Itoa(code), fields, sound, body, content, length, strconv.Itoa(len(content)), size, strconv.FormatInt(int64(len(content)), 16),
	).Replace(m.text)
}

const (
	statusLine = "HTTP/1.1 " + status + " X\r\n"
	plain      = fields + "Content-Length: " + length + "\r\n\r\n" + body
	chunks     = size + "\r\n" + body + "\r\n0\r\n\r\n"
	longer     = "Content-Length: 1" + length // than the body, by its first digit
)

// Heads returns malformed responses of each kind.
func Heads() []Malformed {
	all := []Malformed{
		{"blank before the colon of the framing", statusLine + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunks},
		{"blank before the colon of the length", statusLine + fields + "Content-Length : 1" + length + "\r\n\r\n" + body},
		{"blank before the length", statusLine + fields + " " + longer + "\r\n\r\n" + body},
		{"blank before the first field", statusLine + " X-A: a\r\n" + plain},
		{"tab before a field", statusLine + fields + "\t" + longer + "\r\n\r\n" + body},
		{"field without a name", statusLine + ": a\r\n" + plain},
		{"line without a colon", statusLine + "X-A\r\n" + plain},
		{"NUL in a value", statusLine + "X-A: a\x00b\r\n" + plain},
		{"CR in a value", statusLine + "X-A: a\rX-B: b\r\n" + plain},
		{"blank name after an interim head", "HTTP/1.1 103 X\r\nX A: a\r\n\r\n" + statusLine + plain},
		{"chunks of HTTP/1.0", "HTTP/1.0 " + status + " X\r\n" + fields + "transfer-Encoding: chunked\r\n\r\n" + chunks},
		{"other version", "HTTP/2.0 " + status + " X\r\n" + plain},
		{"other protocol", "HTTQ/1.1 " + status + " X\r\n" + plain},
	}
	for _, code := range []string{"000", "001", "099", "101", "600", "999", "20", "2000", "+20", "-20", "2 0", "20x", ""} {
		all = append(all, Malformed{"status " + strconv.Quote(code), "HTTP/1.1 " + code + " X\r\n" + plain})
	}
	for _, b := range []byte("\x00\x01\t\v\x1f ()/@\x7f\x80\xff") {
		all = append(all,
			Malformed{fmt.Sprintf("%q in a name", b), statusLine + "X" + string([]byte{b}) + "A: a\r\n" + plain},
			Malformed{fmt.Sprintf("%q at the end of a name", b), statusLine + fields + "Content-Length: " + length + "\r\nX-A" + string([]byte{b}) + ": a\r\n\r\n" + body})
	}
	return all
}

// Serve answers requests on loopback until the test ends: respond returns the bytes of a
// response, after which the connection is closed if last is set. It returns the address.
func Serve(t testing.TB, respond func(r *http.Request) (text string, last bool)) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c, respond)
		}
	}()
	return ln.Addr().String()
}

func serve(c net.Conn, respond func(r *http.Request) (text string, last bool)) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text, last := respond(r)
		if _, err := io.WriteString(c, text); err != nil || last {
			return
		}
	}
}

// Sound returns a whole response that keeps its connection.
func Sound(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
