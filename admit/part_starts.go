package admit

import "time"

// maxRecentStarts is the number of parts in each of the two tables of recentStarts.
const maxRecentStarts = 8192

// recentStarts holds the time of the last start of an answer by part. Once newer is
// full, it replaces older, so that the least recently started parts are dropped.
type recentStarts struct {
	newer, older map[uint64]time.Duration
}

func newRecentStarts() recentStarts {
	return recentStarts{newer: map[uint64]time.Duration{}, older: map[uint64]time.Duration{}}
}

func (r *recentStarts) record(part uint64, now time.Duration) {
	if _, known := r.newer[part]; !known && len(r.newer) >= maxRecentStarts {
		clear(r.older)
		r.newer, r.older = r.older, r.newer
	}
	r.newer[part] = now
}

func (r *recentStarts) last(part uint64) (at time.Duration, ok bool) {
	if at, ok = r.newer[part]; !ok {
		at, ok = r.older[part]
	}
	return at, ok
}
