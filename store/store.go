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
	// ErrRestored is returned if the position of a read is of an earlier era than the
	// store's: what lies there now is not the continuation of what was read before it.
	ErrRestored = errors.New("store: it has come back from an older copy; the position is void")
	// ErrOffsetMismatch is returned by a conditional append if the log does not end at
	// the given offset.
	ErrOffsetMismatch = errors.New("store: log does not end at the offset of the append")
	// ErrRefused is returned if the store refused the call, which had no effect.
	ErrRefused = errors.New("store: call refused")
)

// Position is a place in a topic. The store may come back from an older copy: it then
// loses what was written since, gives the offsets out again, and counts one era more.
// Offsets are therefore unique within an era only.
type Position struct {
	Era    int64
	Offset int64
}

// NoPosition is no place in a topic.
var NoPosition = Position{Offset: -1}

// Before reports whether p lies before o.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || p.Era == o.Era && p.Offset < o.Offset
}

// Record is a keyed record.
type Record struct {
	Key   string
	Value []byte // nil if the key was deleted
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	Next    Position // position to read from next
	End     int64    // offset of the next record appended
	// CurrentAt, if not 0, is a time, on the clock that includes suspension, at which the
	// records up to Next were all that the store had acknowledged, provided that Next
	// is at End. Readers that do not set it leave the caller with the start of the call.
	CurrentAt time.Duration
	Relayed   bool // the records come from another process, which has waited for them
}

// Reader reads the keyed topics of the store.
type Reader interface {
	// Read returns the records of a keyed topic from a position on. If there are none,
	// it waits up to wait for one. Errors: ErrTrimmed, ErrRestored, ErrRefused.
	Read(ctx context.Context, topic string, from Position, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a keyed topic. Batch.Next is the
	// end of the topic before the first of them was read. Errors: ErrRestored if the store
	// came back meanwhile, ErrRefused.
	Newest(ctx context.Context, topic string) (Batch, error)
}

// Log is a client of the store. Its methods may be called by any goroutine.
type Log interface {
	Reader
	// Append appends a record to a keyed topic. Error: ErrRefused.
	Append(ctx context.Context, topic string, r Record) error
	// AppendAt appends a record without a key if the topic ends at offset at. end is where
	// the topic ends then, or, with ErrOffsetMismatch, where it ends instead; its era is
	// that in which the store has decided. Errors: ErrOffsetMismatch, ErrRefused.
	AppendAt(ctx context.Context, topic string, at int64, record []byte) (end Position, err error)
}
