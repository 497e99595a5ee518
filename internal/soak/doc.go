// Package soak plays seeded days of faults against the real programs of the
// users' platform: gateways and rebalancers as separate processes on loopback,
// before stand-ins of the platform's store, model engines and plain servers.
//
// Faults come from outside: connections pass proxies that delay, reset, cut one
// way or silence them; processes are stopped, paused, killed and started again
// by signals; the store refuses, delays and forgets; servers leave, crash, turn
// cold, lose answers and add bytes. What must hold is judged by what callers
// and servers see, while the day goes on. A day is named by its seed: faults and
// their times follow from it, the processes' own timing does not.
package soak
