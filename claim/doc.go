// Package claim makes calls that must not repeat run at most once, and makes
// an answer of "not run" true.
//
// Every such call carries an idempotency key. Entries record a claim for the
// key in a partitioned stream of the log service; the first valid claim in log
// order holds the key, and only the process that made it sends the call, once,
// to the one side process that the claim names. The side keeps a KeyTable of
// what it ran, so that any entry can later ask what became of a claim.
//
// Table, KeyTable and Call are state machines without I/O, clock or
// goroutines. Client is the loop that drives them against a backing.Log and
// a Transport.
package claim
