package gateway

import (
	"math"
	"slices"
	"time"
)

// idleLimit is the time for which callers' connections may be idle. A document that
// lowers it takes effect after grace: callers reuse their connections by the former
// limit until they learn of the new one. It is not safe for concurrent use.
type idleLimit struct {
	grace  time.Duration
	recent []seenLimit // in descending order of limit; the last is the document's
}

// callerLimits are the times that callers may take, from the document.
type callerLimits struct {
	idle   idleLimit
	header idleLimit
}

// headerTimeout records the document's time for the head of a request, 0 for none, and
// returns the one to apply now.
func (l *callerLimits) headerTimeout(limit, now time.Duration) time.Duration {
	if limit <= 0 {
		limit = defaultHeaderTimeout
	}
	return l.header.update(limit, now) + sweepInterval
}

// seenLimit is a limit and the last time at which it was the document's.
type seenLimit struct {
	limit  time.Duration
	seenAt time.Duration
}

// noIdleLimit is the limit of a document that sets none.
const noIdleLimit = time.Duration(math.MaxInt64 / 2)

// update records the document's limit, 0 for none, and returns the one to apply now.
func (l *idleLimit) update(limit, now time.Duration) time.Duration {
	if limit <= 0 {
		limit = noIdleLimit
	}
	l.recent = slices.DeleteFunc(l.recent, func(s seenLimit) bool {
		return s.limit <= limit || now-s.seenAt > l.grace
	})
	l.recent = append(l.recent, seenLimit{limit, now})
	return l.recent[0].limit
}
