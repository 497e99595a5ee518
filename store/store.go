// Package store defines the interface to the platform's store: topics that are logs
// with offsets, and keyed topics, which retain the newest record of each key.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Log. After any other error, the call may have taken effect.
var (
	// ErrTrimmed is returned if records from the requested offset on are no longer
	// retained.
	ErrTrimmed = errors.New("store: records at the requested offset are no longer retained")
	// ErrOffsetMismatch is returned by a conditional append if the log does not end at
	// the given offset.
	ErrOffsetMismatch = errors.New("store: log does not end at the offset of the append")
	// ErrRefused is returned if the store refused the call, which had no effect.
	ErrRefused = errors.New("store: call refused")
)

// Record is a keyed record.
type Record struct {
	Key   string
	Value []byte // nil if the key was deleted
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	Next    int64 // offset to read from next
	End     int64 // offset of the next record appended
	// CurrentAt, if not 0, is a time, on the clock that includes suspension, at which the
	// records up to Next were all that the store had acknowledged, provided that Next
	// is End. Readers that do not set it leave the caller with the start of the call.
	CurrentAt time.Duration
	Relayed   bool // the records come from another process, which has waited for them
}

// Reader reads the keyed topics of the store.
type Reader interface {
	// Read returns the records of a keyed topic from an offset on. If there are none,
	// it waits up to wait for one. Errors: ErrTrimmed, ErrRefused.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a keyed topic. Batch.Next is the
	// end of the topic before the first of them was read.
	Newest(ctx context.Context, topic string) (Batch, error)
}

// Log is a client of the store. Its methods may be called by any goroutine.
type Log interface {
	Reader
	// Append appends a record to a keyed topic. Error: ErrRefused.
	Append(ctx context.Context, topic string, r Record) error
	// AppendAt appends a record without a key if the topic ends at offset at. With
	// ErrOffsetMismatch, end is the offset at which the topic ends. Errors:
	// ErrOffsetMismatch, ErrRefused.
	AppendAt(ctx context.Context, topic string, at int64, record []byte) (end int64, err error)
}
