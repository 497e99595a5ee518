// Package api holds what callers see: request headers, limits on their sizes,
// result codes and the record of whether a request ran.
package api

import "time"

// Request headers that a caller may set.
const (
	// HeaderOrganisation names the organisation on whose behalf the call is made.
	HeaderOrganisation = "X-Organisation"
	// HeaderPriority is "live", "normal" or "batch"; absent means "normal".
	HeaderPriority = "X-Priority"
	// HeaderTimeout is the time the caller will wait for the whole answer, as a Go duration ("1500ms", "20s").
	HeaderTimeout = "X-Timeout"
	// HeaderSession names a conversation; requests of one session share prompt prefixes.
	HeaderSession = "X-Session"
	// HeaderIdempotencyKey is a UUIDv7 that identifies a call which must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID identifies one HTTP request in logs and traces; made by the entry when absent.
	HeaderRequestID = "X-Request-Id"
)

// Response headers and trailers that an entry sets.
const (
	// HeaderResultCode is the numeric result Code.
	HeaderResultCode = "X-Result-Code"
	// HeaderRan is the text form of Ran.
	HeaderRan = "X-Ran"
	// HeaderServedBy names the backend server that produced the answer.
	HeaderServedBy = "X-Served-By"
	// HeaderAttempts is the number of attempts made for the request.
	HeaderAttempts = "X-Attempts"
	// HeaderReplayed is "true" when the answer of an earlier run was returned.
	HeaderReplayed = "X-Replayed"
)

// Limits on the sizes of a caller's request.
const (
	MaxHeaderBytes  = 32 << 10
	MaxBodyBytes    = 1 << 20
	MaxNameBytes    = 128
	DefaultTimeout  = 30 * time.Second
	MaxTimeout      = 10 * time.Minute
	MaxRequestIDLen = 64
)

// Priority orders requests under overload; a lower value is served first.
type Priority uint8

// Priorities, from the first served to the last.
const (
	PriorityLive Priority = iota
	PriorityNormal
	PriorityBatch
	NumPriorities
)

var priorityNames = [NumPriorities]string{"live", "normal", "batch"}

// String returns the header form of p.
func (p Priority) String() string {
	if p >= NumPriorities {
		return "unknown"
	}
	return priorityNames[p]
}

// ParsePriority reads the header form; an empty string is PriorityNormal.
func ParsePriority(s string) (Priority, bool) {
	if s == "" {
		return PriorityNormal, true
	}
	for i, name := range priorityNames {
		if s == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Ran says whether the request behind an answer was executed.
type Ran uint8

// The three answers to "did it run?".
const (
	// NotRun promises that the request did not and will not run.
	NotRun Ran = iota
	// MayHaveRun is the honest answer where neither can be proved.
	MayHaveRun
	// DidRun says that the request ran, whether or not it succeeded.
	DidRun
)

// String returns the header form of r.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case DidRun:
		return "ran"
	}
	return "unknown"
}
