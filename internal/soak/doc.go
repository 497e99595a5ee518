// Package soak runs seeded fault-injection tests against gateways and rebalancers
// running as real processes on loopback, with test doubles for the platform's
// store, model engines and plain servers. A run, in which command soak injects
// faults for 20 s by default, is called a day because of the flag --days.
//
// Faults are injected from outside the processes: connections go through proxies
// that delay, reset, silence or cut them in one direction; processes are stopped,
// paused, killed and restarted; the store refuses or delays calls and drops its
// history; servers leave, crash, turn cold, lose answers and send stray bytes.
// A checker verifies the invariants during the run from what callers and servers
// observe. The seed determines the faults and their times, but not the scheduling
// of the processes, so a seed does not reproduce a run exactly.
package soak
