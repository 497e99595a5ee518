package logfold

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"

	"marjorampitch/config"
)

// errNotPacked reports data that was not compressed by Pack, or whose text is
// too long.
var errNotPacked = eris.New("logfold: not a packed document, or the text is too long")

// Pack compresses the text of a document.
func Pack(text []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestCompression)
	if err != nil {
		return nil, eris.Wrap(err, "logfold: create compressor")
	}
	if _, err := w.Write(text); err != nil {
		return nil, eris.Wrap(err, "logfold: compress document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "logfold: finish compressed document")
	}
	return buf.Bytes(), nil
}

// Unpack returns the text compressed by Pack. The text may have at most
// config.MaxFileBytes.
func Unpack(packed []byte) ([]byte, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), config.MaxFileBytes+1)
	text, err := io.ReadAll(r)
	if err != nil || len(text) > config.MaxFileBytes {
		return nil, errNotPacked
	}
	return text, nil
}
