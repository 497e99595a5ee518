// Package logfold derives the configuration in force from the log service's
// stream of changes. Two processes that have read to the same offset hold the
// same document.
package logfold

import "marjorampitch/config"

// InForce is an accepted document. It is never changed once published.
type InForce struct {
	Offset  int64  // offset of the accepted record in the stream
	Version uint64 // number of documents accepted up to and including this one
	Raw     []byte // the document as published
	Doc     *config.Document
}
