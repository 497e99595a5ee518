package peerread

import (
	"slices"
	"time"

	"marjorampitch/store"
	"marjorampitch/wire"
)

// Sizes in bytes.
const (
	recordOverhead  = 16        // of a record in an answer
	maxHistoryBytes = 256 << 10 // records that a history keeps
)

// Filter decides which records have an effect on a process that has applied all earlier
// ones of the topic. It may be stateful.
type Filter interface {
	// Effective reports whether the next record of the topic has an effect.
	Effective(r store.Record) bool
	// Reset forgets the earlier records.
	Reset()
}

// history holds the newest records of a topic that have an effect, up to
// maxHistoryBytes.
type history struct {
	filter  Filter // may be nil
	records []wire.LogRecord
	offsets []int64 // of records
	bytes   int
	first   int64          // offset, in the era of next, from which on no record that has an effect is missing
	next    store.Position // of the next read; store.NoPosition for an empty history
	proof   time.Duration
	proven  bool // proof is set: the records up to next include all that were acknowledged then
}

// add appends the result of a read of the store from a position that began at start.
func (h *history) add(from store.Position, b *store.Batch, start time.Duration) {
	if from != h.next {
		h.clear()
		h.first = from.Offset
		if h.filter != nil {
			h.filter.Reset()
		}
	}
	for i, r := range b.Records {
		if h.filter == nil || h.filter.Effective(r) {
			h.push(from.Offset+int64(i), r)
		}
	}
	h.next = b.Next
	if b.Next.Offset >= b.End {
		h.proof, h.proven = start, true
	}
}

// push appends one record and drops the oldest ones beyond maxHistoryBytes.
func (h *history) push(offset int64, r store.Record) {
	size := recordSize(r.Key, r.Value)
	if size > maxHistoryBytes {
		h.records, h.offsets, h.bytes, h.first = nil, nil, 0, offset+1
		return
	}
	h.records = append(h.records, wire.LogRecord{Key: r.Key, Value: r.Value})
	h.offsets = append(h.offsets, offset)
	h.bytes += size
	drop := 0
	for ; h.bytes > maxHistoryBytes; drop++ {
		h.bytes -= recordSize(h.records[drop].Key, h.records[drop].Value)
		h.first = h.offsets[drop] + 1
	}
	h.records, h.offsets = h.records[drop:], h.offsets[drop:]
}

// clear drops everything.
func (h *history) clear() { *h = history{filter: h.filter, next: store.NoPosition} }

// since returns the records from a position on and their size; ok is false if some are
// missing, as all are if the position is of another era.
func (h *history) since(from store.Position) (list []wire.LogRecord, size int, ok bool) {
	if from.Era != h.next.Era || from.Offset < h.first || from.Offset > h.next.Offset {
		return nil, 0, false
	}
	i, _ := slices.BinarySearch(h.offsets, from.Offset)
	list = h.records[i:]
	for _, r := range list {
		size += recordSize(r.Key, r.Value)
	}
	return list, size, true
}

// recordSize returns the size of a record in an answer.
func recordSize(key string, value []byte) int { return len(key) + len(value) + recordOverhead }
