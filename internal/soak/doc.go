// Package soak runs seeded fault-injection tests against the real programs of
// the users' platform: gateways and rebalancers run as separate processes on
// loopback, with test doubles for the platform's store, model engines and plain
// servers. One such run is called a day on the command line.
//
// Faults are injected from outside the processes: connections go through proxies
// that delay, reset, silence or cut them in one direction; processes are stopped,
// paused, killed and restarted; the store refuses or delays calls and drops its
// history; servers leave, crash, turn cold, lose answers and send stray bytes.
// A checker verifies the invariants during the run from what callers and servers
// observe. The seed determines the faults and their times, but not the scheduling
// of the processes, so a seed does not reproduce a run exactly.
package soak
