package logfold

import "marjorampitch/config"

// ActiveDocument is an accepted document. It is never changed once published.
type ActiveDocument struct {
	Offset  int64  // offset of the accepted record in the stream
	Version uint64 // number of documents accepted up to and including this one
	Raw     []byte // the document as published
	Doc     *config.Document
}
