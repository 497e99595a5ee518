package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// Sizes of the buffers that a Reader keeps.
const (
	maxKeptScratch = 64 << 10 // bytes; a larger scratch buffer is released after use
	slabBytes      = 16 << 10 // bytes of chunk data allocated at once
	slabChunks     = 32       // chunks allocated at once
)

// Reader reads frames. Messages hold no reference to its buffers, but consecutive
// chunks share an allocation: a chunk that is retained keeps up to slabBytes of
// data of other chunks alive. A Reader is not safe for concurrent use.
type Reader struct {
	br      *bufio.Reader
	scratch []byte  // for frames that are larger than br's buffer
	data    []byte  // unused part of the slab of chunk data
	chunks  []Chunk // unused part of the slab of chunks
}

// NewReader returns a Reader that reads frames from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, bufferBytes)}
}

// Next reads one frame. Errors: those of the underlying reader, io.EOF between
// frames, io.ErrUnexpectedEOF within one, ErrFrameSize, ErrFrameKind, ErrFrameBody.
func (r *Reader) Next() (Message, error) {
	return r.next(MaxFrameBytes)
}

// next reads one frame with a payload of at most limit bytes.
func (r *Reader) next(limit int) (Message, error) {
	head, err := r.br.Peek(lengthBytes)
	if err != nil {
		return nil, unexpectedEOF(err, len(head))
	}
	size := binary.BigEndian.Uint32(head)
	if size < 1 || size > uint32(limit) {
		return nil, ErrFrameSize
	}
	frame := lengthBytes + int(size)
	if frame > r.br.Size() {
		return r.readLarge(frame)
	}
	raw, err := r.br.Peek(frame)
	if err != nil {
		return nil, unexpectedEOF(err, len(raw))
	}
	m, err := r.decode(raw[lengthBytes:])
	if err != nil {
		return nil, err
	}
	_, err = r.br.Discard(frame)
	return m, err
}

// unexpectedEOF returns io.ErrUnexpectedEOF instead of io.EOF if part of a frame
// was read, and err otherwise.
func unexpectedEOF(err error, read int) error {
	if errors.Is(err, io.EOF) && read > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLarge reads a frame that is larger than the buffer of br.
func (r *Reader) readLarge(frame int) (Message, error) {
	if cap(r.scratch) < frame {
		r.scratch = make([]byte, frame)
	}
	raw := r.scratch[:frame]
	if frame > maxKeptScratch {
		r.scratch = nil
	}
	if _, err := io.ReadFull(r.br, raw); err != nil {
		return nil, unexpectedEOF(err, frame)
	}
	return r.decode(raw[lengthBytes:])
}

// decode decodes the payload of one frame: a kind byte and a body.
func (r *Reader) decode(payload []byte) (Message, error) {
	kind, body := Kind(payload[0]), payload[1:]
	if kind == KindChunk && len(body) <= slabBytes {
		return r.decodeChunk(body)
	}
	m := newMessage(kind)
	if m == nil {
		return nil, ErrFrameKind
	}
	if err := unmarshal(m, body); err != nil {
		return nil, err
	}
	return m, nil
}

// decodeChunk decodes a chunk into the unused part of the slabs.
func (r *Reader) decodeChunk(body []byte) (Message, error) {
	if len(r.data) < len(body) {
		r.data = make([]byte, slabBytes)
	}
	if len(r.chunks) == 0 {
		r.chunks = make([]Chunk, slabChunks)
	}
	m := &r.chunks[0]
	r.chunks = r.chunks[1:]
	m.Data = r.data[:0:len(body)]
	if err := unmarshal(m, body); err != nil {
		return nil, err
	}
	used := len(m.Data)
	m.Data = m.Data[:used:used]
	r.data = r.data[used:]
	return m, nil
}

// unmarshal decodes body into m. Error: ErrFrameBody, also for trailing bytes.
func unmarshal(m Message, body []byte) error {
	rest, err := m.UnmarshalMsg(body)
	if err != nil {
		return eris.Wrap(ErrFrameBody, err.Error())
	}
	if len(rest) != 0 {
		return ErrFrameBody
	}
	return nil
}
