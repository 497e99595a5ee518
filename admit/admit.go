// Package admit decides which requests run: the cold-start limit of a backend
// server, weighted fair shares of organisations, the retry budget, and the
// quarantine of requests that crash backend servers.
//
// All types are pure state machines: they hold no clock, socket or goroutine.
// Times are offsets on a monotonic clock of the caller's.
package admit
