package peerread

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"

	"marjorampitch/wire"
)

// Sizes of answers in bytes.
const (
	packedFrom = 1 << 10 // records that are larger together are compressed
	// maxPackedBytes bounds compressed records, so that an answer fits into the
	// datagrams that gateways receive.
	maxPackedBytes = 7 << 10
	// maxUnpackedBytes bounds the memory that an answer takes. Encoded records are
	// not larger than recordSize says.
	maxUnpackedBytes = maxHistoryBytes + 1<<10
)

// packer compresses records, and keeps the last result, since most gateways ask for the
// same records.
type packer struct {
	writer     *flate.Writer
	from, next int64
	data       []byte
	valid      bool // the others are set
}

// pack compresses the records between two offsets; ok is false if they do not fit into
// an answer.
func (p *packer) pack(from, next int64, records []wire.LogRecord) (data []byte, ok bool) {
	if !p.valid || p.from != from || p.next != next {
		raw, err := (&wire.LogRecords{Records: records}).MarshalMsg(nil)
		if err != nil {
			return nil, false
		}
		*p = packer{writer: p.writer, from: from, next: next, data: p.compress(raw), valid: true}
	}
	return p.data, len(p.data) <= maxPackedBytes
}

// compress compresses data.
func (p *packer) compress(data []byte) []byte {
	var out bytes.Buffer
	if p.writer == nil {
		p.writer, _ = flate.NewWriter(&out, flate.BestSpeed) // fails for an unknown level only
	} else {
		p.writer.Reset(&out)
	}
	p.writer.Write(data) //nolint:errcheck // a bytes.Buffer accepts all
	p.writer.Close()     //nolint:errcheck // see above
	return out.Bytes()
}

// unpack returns the records of an answer. Error: they cannot be decompressed or
// decoded, or are too large.
func unpack(a *wire.LogAnswer) ([]wire.LogRecord, error) {
	if len(a.Packed) == 0 {
		return a.Records, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(a.Packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress records")
	}
	if len(raw) > maxUnpackedBytes {
		return nil, eris.Errorf("records are larger than %d bytes", maxUnpackedBytes)
	}
	var list wire.LogRecords
	if _, err := list.UnmarshalMsg(raw); err != nil {
		return nil, eris.Wrap(err, "decode records")
	}
	return list.Records, nil
}
