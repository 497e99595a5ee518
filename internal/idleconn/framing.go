package idleconn

import "net/http"

// framing follows the bytes of one request as they are read, so that it is known at any time
// whether they belong to it or to the next one.
type framing struct {
	head  head
	ahead []byte // read after the head; the body's first bytes until it is known, then those of the next request
	body  body
	known bool // body is known
	lost  bool // http.Server reads it in another way; nothing more is read then
}

// maxAhead is the most that http.Server reads after a request: its buffer, and a byte while
// the request is served.
const maxAhead = readerBytes + 1

// add records bytes that have been read.
func (f *framing) add(p []byte) {
	switch {
	case !f.head.ended:
		p = f.head.add(p)
	case f.known && len(f.ahead) == 0:
		p = f.body.skip(p)
	}
	if len(f.ahead)+len(p) > maxAhead {
		f.lost = true
		return
	}
	f.ahead = append(f.ahead, p...)
}

// begin records the body of the request, whose head http.Server has parsed.
func (f *framing) begin(r *http.Request) {
	f.body = body{left: max(r.ContentLength, 0), done: r.ContentLength == 0}
	if r.ContentLength < 0 {
		f.body.chunk = chunkSize
	}
	f.known = true
	if f.ahead = f.body.skip(f.ahead); len(f.ahead) == 0 {
		f.ahead = nil
	}
}

// next begins the next request with the bytes that have been read of it. If it is not known
// where that one begins, the connection is lost.
func (f *framing) next() {
	ahead, lost := f.ahead, f.lost || !f.known || !f.body.done
	*f = framing{lost: lost}
	if !lost && len(ahead) > 0 {
		f.add(ahead)
	}
}

// body follows the body of a request.
type body struct {
	left  int64 // bytes that are to come: of the body, or of the chunk with its line end
	chunk chunkPart
	line  int // bytes of a line of the trailer
	done  bool
}

// chunkPart is a part of a body in chunks.
type chunkPart uint8

const (
	noChunks       chunkPart = iota // the body has a length
	chunkSize                       // digits of the size
	chunkExtension                  // the rest of the line
	chunkData                       // the data and its line end
	chunkTrailer                    // lines after the last chunk
)

// maxChunk is the largest size of a chunk; a larger one is not followed.
const maxChunk = 1 << 40

// skip takes the bytes of the body from p and returns the others.
func (b *body) skip(p []byte) []byte {
	for len(p) > 0 && !b.done {
		if b.chunk == noChunks || b.chunk == chunkData {
			n := min(b.left, int64(len(p)))
			b.left -= n
			p = p[n:]
			if b.left > 0 {
				break
			}
			if b.chunk == noChunks {
				b.done = true
			} else {
				b.chunk = chunkSize
			}
			continue
		}
		b.chunkLine(p[0])
		p = p[1:]
	}
	return p
}

// chunkLine takes a byte of a chunk's first line or of the trailer. http.Server checks the
// syntax, and ends the connection of a body that is malformed.
func (b *body) chunkLine(x byte) {
	switch {
	case b.chunk == chunkTrailer:
		switch x {
		case '\n':
			b.done = b.line == 0
			b.line = 0
		case '\r':
		default:
			b.line++
		}
	case x == '\n' && b.left == 0:
		b.chunk = chunkTrailer
	case x == '\n':
		b.chunk = chunkData
		b.left += int64(len("\r\n"))
	case b.chunk == chunkSize:
		if digit, ok := hexDigit(x); ok && b.left < maxChunk {
			b.left = b.left<<4 | digit
		} else {
			b.chunk = chunkExtension
		}
	}
}

func hexDigit(x byte) (int64, bool) {
	switch {
	case '0' <= x && x <= '9':
		return int64(x - '0'), true
	case 'a' <= x && x <= 'f':
		return int64(x-'a') + 10, true
	case 'A' <= x && x <= 'F':
		return int64(x-'A') + 10, true
	}
	return 0, false
}
