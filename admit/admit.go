// Package admit implements admission control: the cold-start limit of a
// backend server, the request rates that backend servers state, weighted fair
// queueing of organisations, the retry budget, and the quarantine of requests that
// crash backend servers.
//
// All types are state machines without a clock, socket or goroutine. Times are
// offsets on a monotonic clock that the caller provides.
package admit
