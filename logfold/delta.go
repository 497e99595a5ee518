package logfold

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"marjorampitch/config"
)

// deltaDict is the number of the dictionary in a delta; the base document is its content.
const deltaDict = 1

// deltaWindow covers the base document and the new one behind it.
const deltaWindow = 2 * config.MaxFileBytes

// errDelta says that bytes are not a delta on the base document, or too long.
var errDelta = eris.New("logfold: not a delta on the base document")

// PackDelta compresses text with base as a dictionary: what stands in both
// costs next to nothing.
func PackDelta(base, text []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(deltaDict, base),
		zstd.WithWindowSize(windowSize(len(base)+len(text))),
		zstd.WithEncoderConcurrency(1),
	)
	if err != nil {
		return nil, eris.Wrap(err, "logfold: delta")
	}
	defer w.Close()
	return w.EncodeAll(text, nil), nil
}

// windowSize is the least power of two that covers n bytes.
func windowSize(n int) int {
	size := zstd.MinWindowSize
	for size < n {
		size *= 2
	}
	return size
}

// UnpackDelta returns the text that PackDelta was given, of at most config.MaxFileBytes.
func UnpackDelta(base, packed []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(deltaDict, base),
		zstd.WithDecoderMaxWindow(deltaWindow),
		zstd.WithDecoderMaxMemory(config.MaxFileBytes),
		zstd.WithDecoderConcurrency(1),
	)
	if err != nil {
		return nil, eris.Wrap(err, "logfold: delta")
	}
	defer r.Close()
	text, err := r.DecodeAll(packed, nil)
	if err != nil || len(text) > config.MaxFileBytes {
		return nil, errDelta
	}
	return text, nil
}
