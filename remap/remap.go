// Package remap puts a new expert map in force in a running group of ranks,
// such that no pass begins while two ranks have different maps.
//
// It serves engines that switch by themselves at a given pass, and that hold a
// pass back on demand of any one rank. A Coordinator, in the process beside one
// rank, proceeds in steps: every rank prepares the map while passes go on;
// another rank than its own, the holder, holds a pass S; every rank but its own
// is armed for S, and its own after them, by the process beside a third rank,
// the deputy; when all are known to be armed the hold is dropped. S lies far
// enough ahead that the hold is usually dropped before the group comes to it.
//
// The invariant: while an arm may take effect at S at some ranks and not at
// others, a hold of S stands. An order that was not answered may be carried out
// seconds later, so before a hold of a cancelled switch is dropped, every rank
// has prepared a later version, after which the engine refuses the old arm.
//
// A coordinator that dies or freezes is followed by another one, which ends
// what was underway. The instance of the old one may be out of reach with its
// engine: as only the deputy arms that rank, the deputy knows whether it may be
// armed, and if it is not the switch can be cancelled without it.
//
// A coordinator is known by its term, the offset of its claim in the platform's
// log. A Rank obeys only the highest term it has heard of, and answers a new
// term only when none of its own orders is underway.
//
// Both are pure state machines: reports, messages and time in, orders and
// messages out. Neither is safe for concurrent use.
package remap

import (
	"time"

	"marjorampitch/wire"
)

// None stands for no version and no pass.
const None int64 = -1

// Stage is what a coordinator wants of the ranks.
type Stage uint8

// Stages.
const (
	NoAction Stage = iota // nothing
	Prepare               // copy what the map needs
	Arm                   // switch to the map as pass Step begins
	Cancel                // no switch to any earlier version; the map is the one in force
)

// EngineState is what an engine reports of its rank.
type EngineState struct {
	Group    string
	Epoch    int64 // rises whenever the group is formed anew
	Rank     int
	Size     int // ranks of the group
	Open     bool
	Step     int64 // last pass begun
	Map      int64
	Prepared int64
	Armed    int64
	ArmedAt  int64
	Held     int64
	Accepted int64 // orders accepted
	Busy     bool  // an order is being carried out
	Running  int
}

// OrderKind is the kind of an Order.
type OrderKind uint8

// Kinds of orders to an engine.
const (
	OrderPrepare OrderKind = iota + 1
	OrderArm
	OrderDisarm
	OrderHold
	OrderGo
)

var kindNames = [...]string{"none", "prepare", "arm", "disarm", "hold", "go"}

// String returns the name of k for log lines.
func (k OrderKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Order is one order to the engine of a rank.
type Order struct {
	Kind     OrderKind
	Rank     int // whose engine is meant
	Epoch    int64
	Version  int64
	Step     int64
	Expect   int64          // orders accepted before: a late order is refused once a newer one was accepted
	Replicas []wire.Replica // of the map, for OrderPrepare
}

// Result is what became of an Order.
type Result uint8

// Results.
const (
	Accepted Result = iota + 1
	Refused
	Unanswered // it may be carried out later
)

var resultNames = [...]string{"none", "accepted", "refused", "unanswered"}

// String returns the name of r for log lines and metrics.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// Timing of the machines.
const (
	// prepareAgain is the time after which a prepare that shows no effect is
	// ordered again.
	prepareAgain = 3 * time.Second
	// prepareLimit is the time after which a switch is given up whose copies
	// are not complete everywhere.
	prepareLimit = 4 * time.Second
	// armLimit is the time after which a switch is cancelled that is not armed
	// everywhere; the group may stand still meanwhile.
	armLimit = 350 * time.Millisecond
	// silentLimit is the time without an answer of the former coordinator's
	// instance after which its switch is cancelled without it.
	silentLimit = 150 * time.Millisecond
	// armAgain is the time after which the deputy orders once more what was not
	// answered.
	armAgain = 50 * time.Millisecond
	// reportLimit is the age at which a rank's report counts as missing.
	reportLimit = time.Second
	// lead is the number of passes between the last one begun and the one that
	// is held: time for the orders and for news of them.
	lead = 2
	// versionBits is the number of bits of a version that count within a term.
	versionBits = 20
)
