// Package api defines the interface to callers: request and response headers,
// size limits, and result codes with the information whether a request ran.
package api

import "time"

// Request headers that a caller may set.
const (
	// HeaderOrganisation is the name of the organisation that the call is made for.
	HeaderOrganisation = "X-Organisation"
	// HeaderPriority is "live", "normal" or "batch"; the default is "normal".
	HeaderPriority = "X-Priority"
	// HeaderTimeout is the time that the caller waits for the complete response, as a Go duration ("1500ms", "20s").
	HeaderTimeout = "X-Timeout"
	// HeaderSession identifies a conversation; requests of one session share prompt prefixes.
	HeaderSession = "X-Session"
	// HeaderIdempotencyKey is a UUIDv7 that identifies a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID identifies one HTTP request in logs and traces. The front proxy appends a unique suffix to the
	// caller's value, or generates the whole ID if that value is absent, too long or not printable.
	HeaderRequestID = "X-Request-Id"
)

// Response headers that a front proxy sets.
const (
	// HeaderResultCode is the result Code as a decimal number.
	HeaderResultCode = "X-Result-Code"
	// HeaderRan is the Ran value of the response, in the form of Ran.String.
	HeaderRan = "X-Ran"
	// HeaderServedBy is the name of the backend server that produced the response.
	HeaderServedBy = "X-Served-By"
	// HeaderAttempts is the number of attempts that were made for the request.
	HeaderAttempts = "X-Attempts"
	// HeaderReplayed is "true" if the response of an earlier run with the same key was returned.
	HeaderReplayed = "X-Replayed"
)

// Size limits and timeouts of a caller's request.
const (
	MaxHeaderBytes  = 32 << 10
	MaxBodyBytes    = 1 << 20
	MaxNameBytes    = 128
	DefaultTimeout  = 30 * time.Second
	MaxTimeout      = 10 * time.Minute
	MaxRequestIDLen = 64
)

// Priority orders requests under overload. Lower values are served first.
type Priority uint8

// Priorities in the order in which they are served.
const (
	PriorityLive Priority = iota
	PriorityNormal
	PriorityBatch
	NumPriorities
)

var priorityNames = [NumPriorities]string{"live", "normal", "batch"}

// String returns p as in HeaderPriority.
func (p Priority) String() string {
	if p >= NumPriorities {
		return "unknown"
	}
	return priorityNames[p]
}

// ParsePriority parses the value of HeaderPriority; an empty string is
// PriorityNormal. The second result is false if s is not a priority.
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

// Ran states whether a request was executed by a backend server.
type Ran uint8

// Values of Ran.
const (
	// NotRun guarantees that the request did not run and will not run. An earlier
	// request with the same idempotency key may have run; see package claim.
	NotRun Ran = iota
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun
	// DidRun means that the request ran, whether or not it succeeded.
	DidRun
)

// String returns r as in HeaderRan.
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
