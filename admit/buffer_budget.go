package admit

import (
	"cmp"
	"slices"
	"time"
)

// BufferStall is the time without progress after which what a holder of a BufferBudget
// holds may be given up in favour of other holders.
const BufferStall = 2 * time.Second

// BufferBudget shares a number of bytes between the buffers of a process. Holders are
// connections whose peers read slowly: a holder makes progress when its peer takes bytes.
// Plain reservations, such as the bodies of requests, are never given up. It is not
// safe for concurrent use.
type BufferBudget struct {
	limit     int64 // bytes in total
	perHolder int64 // bytes of one holder
	maxHeld   int64 // bytes of all holders
	used      int64 // bytes
	held      int64 // bytes of all holders, a part of used
	holders   map[uint64]*bufferHolder
}

// bufferHolder is one holder of a BufferBudget.
type bufferHolder struct {
	bytes      int64
	progressAt time.Duration // of its first reservation, or of its last progress
}

// NewBufferBudget returns a budget of limit bytes, of which one holder may have perHolder.
func NewBufferBudget(limit, perHolder int64) *BufferBudget {
	return &BufferBudget{limit: limit, perHolder: perHolder, maxHeld: limit, holders: make(map[uint64]*bufferHolder)}
}

// LimitHolders sets the bytes that all holders together may have. The rest of the budget
// is left to plain reservations, however many peers read slowly.
func (b *BufferBudget) LimitHolders(bytes int64) { b.maxHeld = bytes }

// Reserve takes n bytes without a holder and reports whether it did. Those of evicted
// have been removed for it; their buffers must be dropped.
func (b *BufferBudget) Reserve(n int64, now time.Duration) (ok bool, evicted []uint64) {
	if ok, evicted = b.makeRoom(b.used+n-b.limit, now); ok {
		b.used += n
	}
	return ok, evicted
}

// Release returns n bytes taken by Reserve.
func (b *BufferBudget) Release(n int64) { b.used -= n }

// Hold takes n bytes for a holder and reports whether it did. Those of evicted, which
// may include the holder itself, have been removed for it; their buffers must be dropped.
func (b *BufferBudget) Hold(id uint64, n int64, now time.Duration) (ok bool, evicted []uint64) {
	h := b.holders[id]
	if h != nil && h.bytes+n > b.perHolder || n > b.perHolder {
		return false, nil
	}
	ok, evicted = b.makeRoom(max(b.used+n-b.limit, b.held+n-b.maxHeld), now)
	if !ok || slices.Contains(evicted, id) {
		return false, evicted
	}
	if h == nil {
		h = &bufferHolder{progressAt: now}
		b.holders[id] = h
	}
	h.bytes += n
	b.used += n
	b.held += n
	return true, evicted
}

// Progress records that the peer of a holder has taken bytes, and returns n bytes of the
// holder to the budget. A holder without bytes is removed.
func (b *BufferBudget) Progress(id uint64, n int64, now time.Duration) {
	h := b.holders[id]
	if h == nil {
		return
	}
	h.progressAt = now
	n = min(n, h.bytes) // a holder that was evicted and holds again may return bytes of before
	h.bytes -= n
	b.used -= n
	b.held -= n
	if h.bytes <= 0 {
		delete(b.holders, id)
	}
}

// Drop removes a holder and returns its bytes to the budget.
func (b *BufferBudget) Drop(id uint64) {
	if h := b.holders[id]; h != nil {
		b.used -= h.bytes
		b.held -= h.bytes
		delete(b.holders, id)
	}
}

// Used returns the bytes in use and the number of holders.
func (b *BufferBudget) Used() (bytes int64, holders int) { return b.used, len(b.holders) }

// Holding returns the bytes of a holder and when it last made progress.
func (b *BufferBudget) Holding(id uint64) (bytes int64, progressAt time.Duration) {
	if h := b.holders[id]; h != nil {
		return h.bytes, h.progressAt
	}
	return 0, 0
}

// makeRoom reports whether missing bytes can be had. If they can only without stalled
// holders, it removes those, the longest stalled first; if not even then, it removes none.
func (b *BufferBudget) makeRoom(missing int64, now time.Duration) (ok bool, evicted []uint64) {
	if missing <= 0 {
		return true, nil
	}
	var stalled []uint64
	for id, h := range b.holders {
		if now-h.progressAt >= BufferStall {
			stalled = append(stalled, id)
		}
	}
	slices.SortFunc(stalled, func(x, y uint64) int {
		return cmp.Or(cmp.Compare(b.holders[x].progressAt, b.holders[y].progressAt), cmp.Compare(x, y))
	})
	for i, id := range stalled {
		if missing -= b.holders[id].bytes; missing <= 0 {
			for _, id := range stalled[:i+1] {
				b.Drop(id)
			}
			return true, stalled[:i+1]
		}
	}
	return false, nil
}
