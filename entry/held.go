package entry

// Buffers is memory that is shared by all that a process holds for its callers. It must be
// safe for concurrent use.
type Buffers interface {
	// Reserve reports whether there was room for n bytes, and takes them if so.
	Reserve(n int64) bool
	Release(n int64)
}

// held is what one request holds of answers, as its part of Buffers. A nil *held and nil
// Buffers have no limit. It is not safe for concurrent use.
type held struct {
	buffers Buffers
	bytes   int64
}

// reserve takes room for n more bytes and reports whether there was any.
func (h *held) reserve(n int) bool {
	if h == nil || h.buffers == nil {
		return true
	}
	if !h.buffers.Reserve(int64(n)) {
		return false
	}
	h.bytes += int64(n)
	return true
}

// release gives back what has been reserved.
func (h *held) release() {
	if h.buffers != nil {
		h.buffers.Release(h.bytes)
		h.bytes = 0
	}
}

// bufferCopies is how often a slice that grows holds its bytes while it is copied.
const bufferCopies = 2
