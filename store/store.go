// Package store names what the product needs of the platform's store: logs
// with offsets, and keyed logs of which the newest record of each key is kept.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Log. Any other error means that the call may have taken effect.
var (
	// ErrTrimmed says that records after the offset asked for are no longer kept.
	ErrTrimmed = errors.New("store: records no longer kept")
	// ErrOffsetMismatch says that the log did not end at the offset of a conditional append.
	ErrOffsetMismatch = errors.New("store: the log has moved on")
	// ErrRefused says that nothing was done.
	ErrRefused = errors.New("store: refused")
)

// Record is one keyed record.
type Record struct {
	Key   string
	Value []byte // nil: the key was dropped
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	Next    int64 // offset to read from next
	End     int64 // offset that the next appended record gets
}

// Log is the store, as far as the product uses it.
type Log interface {
	// Read returns the records of a keyed topic from an offset on. With none
	// there it waits up to wait for one. Errors: ErrTrimmed, ErrRefused.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key. Next is the end before any
	// of them was read.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Append adds a keyed record. Error: ErrRefused.
	Append(ctx context.Context, topic string, r Record) error
	// AppendAt adds a plain record if the topic ends at an offset. On ErrOffsetMismatch
	// end is where it does. Errors: ErrOffsetMismatch, ErrRefused.
	AppendAt(ctx context.Context, topic string, at int64, record []byte) (end int64, err error)
}
