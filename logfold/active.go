package logfold

import "marjorampitch/config"

// ActiveDocument is an accepted document that a process uses. It is immutable.
type ActiveDocument struct {
	Offset  int64  // offset of the accepted record in the stream
	Version uint64 // number of documents accepted up to and including this one
	Raw     []byte // text of the document as published
	Doc     *config.Document
}
