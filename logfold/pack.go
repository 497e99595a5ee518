package logfold

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"

	"marjorampitch/config"
)

// errPacked says that bytes are not what Pack returns, or too long.
var errPacked = eris.New("logfold: not a packed document")

// Pack compresses the text of a document.
func Pack(text []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestCompression)
	if err != nil {
		return nil, eris.Wrap(err, "logfold: pack")
	}
	if _, err := w.Write(text); err != nil {
		return nil, eris.Wrap(err, "logfold: pack")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "logfold: pack")
	}
	return buf.Bytes(), nil
}

// Unpack returns the text that was packed, of at most config.MaxFileBytes.
func Unpack(packed []byte) ([]byte, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), config.MaxFileBytes+1)
	text, err := io.ReadAll(r)
	if err != nil || len(text) > config.MaxFileBytes {
		return nil, errPacked
	}
	return text, nil
}
