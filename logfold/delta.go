package logfold

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"marjorampitch/config"
)

// deltaDictID is the ID of the zstd dictionary of a delta; its content is the base document.
const deltaDictID = 1

// deltaWindow is the maximum zstd window: it covers the base document followed by the new one.
const deltaWindow = 2 * config.MaxFileBytes

// errNotDelta reports data that is not a delta on the base document, or whose
// text is too long.
var errNotDelta = eris.New("logfold: not a delta on the base document, or the text is too long")

// PackDelta compresses text with base as a dictionary, so that parts common to
// both take almost no space.
func PackDelta(base, text []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(deltaDictID, base),
		zstd.WithWindowSize(windowSize(len(base)+len(text))),
		zstd.WithEncoderConcurrency(1),
	)
	if err != nil {
		return nil, eris.Wrap(err, "logfold: create delta encoder")
	}
	defer w.Close()
	return w.EncodeAll(text, nil), nil
}

// windowSize returns the smallest valid zstd window size that covers n bytes, a
// power of two.
func windowSize(n int) int {
	size := zstd.MinWindowSize
	for size < n {
		size *= 2
	}
	return size
}

// UnpackDelta returns the text compressed by PackDelta with the same base. The
// text may have at most config.MaxFileBytes.
func UnpackDelta(base, packed []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(deltaDictID, base),
		zstd.WithDecoderMaxWindow(deltaWindow),
		zstd.WithDecoderMaxMemory(config.MaxFileBytes),
		zstd.WithDecoderConcurrency(1),
	)
	if err != nil {
		return nil, eris.Wrap(err, "logfold: create delta decoder")
	}
	defer r.Close()
	text, err := r.DecodeAll(packed, nil)
	if err != nil || len(text) > config.MaxFileBytes {
		return nil, errNotDelta
	}
	return text, nil
}
