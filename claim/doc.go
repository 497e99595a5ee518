// Package claim gives non-idempotent calls at-most-once execution. A "not run"
// result guarantees that this attempt did not run. An earlier attempt with the same
// key may have run if the code is LogUnavailable, KeyTooOld, KeyConflict or
// KeyFromFuture, or if Client.Do returns Overloaded or Leaving without starting the
// call.
//
// Every such call carries an idempotency key. A front proxy (role entry) appends
// a claim for the key to a partitioned stream of the log service. The first valid
// claim in log order holds the key. Only the process that appended it sends the
// call, once, to the sidecar (role side) that the claim names. The sidecar records
// the calls that it ran in a KeyTable, so that any front proxy can later query
// the state of a claim.
//
// Table, KeyTable and Call are state machines without I/O, clock or goroutines.
// Client drives them with a backing.Log and a Transport.
package claim
