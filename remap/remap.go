// Package remap switches a running group of ranks to a new expert map such that
// no pass begins while two ranks have different maps.
//
// It relies on engines that switch on their own at a given pass, and that hold
// back a pass of the whole group when any one rank is ordered to hold it. A
// Coordinator, in the process beside one rank, performs a switch in steps:
//
//  1. Every rank prepares the map while passes continue.
//  2. Every rank confirms that the process beside it is there.
//  3. The holder, a rank other than the coordinator's, holds a pass S.
//  4. Every rank but the coordinator's is armed for S.
//  5. The coordinator's rank is armed by the delegate, the process beside a third
//     rank (beside the holder in a group of two).
//  6. When all ranks are known to be armed, the hold is released.
//
// S is far enough ahead that the hold is usually released before the group
// reaches S.
//
// The invariant: while an arm for S may take effect at some ranks and not at
// others, S is held. An order without an answer may be carried out seconds
// later. Before the hold of a cancelled switch is released, every rank has
// therefore prepared a later version, after which its engine refuses the old
// arm.
//
// If a coordinator dies or freezes, another one takes over and ends the switch
// in progress. The old coordinator's engine may be unreachable together with its
// instance. Because only the delegate arms the old coordinator's rank, the delegate
// knows whether that rank may be armed; if it cannot be, the switch can be
// cancelled without that rank.
//
// A coordinator is identified by its term, which the platform's log gives out. A term
// must be unique and higher than all earlier ones, because the versions of maps are made
// from it. A RankDriver follows only the highest term it has received. Its
// caller must call SetGoal and Report only when none of the driver's orders awaits
// its result, so that a report under a new term includes the results of all earlier
// orders.
//
// Both types are pure state machines: reports, messages and time in, orders and
// messages out. Neither is safe for concurrent use.
package remap

import (
	"time"

	"marjorampitch/wire"
)

// None is the value of an absent map version or pass number.
const None int64 = -1

// Stage is the action that a goal requires of the ranks.
type Stage uint8

// Stages.
const (
	NoAction Stage = iota
	Prepare        // copy the experts that the map adds
	Arm            // switch to the map as pass Step begins
	Cancel         // refuse every switch to an earlier version; the goal carries the map in force
	Confirm        // answer: all ranks have copied the experts, and the hold is about to begin
)

// EngineState is the state of a rank as reported by its engine. Prepared, Armed
// and Held are None where there is none.
type EngineState struct {
	Group    string
	Epoch    int64 // increases whenever the group is formed anew
	Rank     int
	Size     int   // number of ranks of the group
	Open     bool  // the group makes passes
	Step     int64 // number of the last pass begun
	Map      int64 // version in force
	Prepared int64 // version whose copy is complete
	Armed    int64 // version armed
	ArmedAt  int64 // first pass of the armed version
	Held     int64 // pass that the engine is ordered not to start
	Accepted int64 // number of orders accepted; always 0 if the engine does not count them
	Busy     bool  // an order is being carried out
	Running  int   // requests
	Memory   int   // tokens that the engine can hold; 0 if unknown
	// Slowness is the factor by which work takes longer than usual at the engine; 1 if it
	// does not.
	Slowness float64
}

// OrderKind is the action that an Order requires of the engine.
type OrderKind uint8

// Kinds of orders to an engine.
const (
	OrderPrepare OrderKind = iota + 1 // copy the experts that a map adds
	OrderArm                          // switch to a prepared map as pass Step begins
	OrderDisarm                       // cancel an armed switch
	OrderHold                         // do not start pass Step until it is released
	OrderRelease                      // release the held pass Step
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
	Rank     int // rank whose engine receives the order
	Epoch    int64
	Version  int64
	Step     int64          // pass number, for OrderArm, OrderHold and OrderRelease
	Expect   int64          // number of orders accepted before; an engine that counts its orders refuses a late one once it has accepted a newer one
	Replicas []wire.Replica // of the map, for OrderPrepare
}

// Result is the outcome of an Order.
type Result uint8

// Outcomes of an Order.
const (
	Accepted Result = iota + 1
	Refused
	Unanswered // may still be carried out later
)

var resultNames = [...]string{"none", "accepted", "refused", "unanswered"}

// String returns the name of r for log lines and metrics.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// Parameters of the state machines.
const (
	// prepareRetryInterval is the time after which a prepare order without effect
	// is sent again.
	prepareRetryInterval = 3 * time.Second
	// prepareTimeout is the time after which a switch is abandoned if not every
	// rank has copied the experts that the map adds.
	prepareTimeout = 4 * time.Second
	// holdTimeout is the time for which one rank is ordered to hold a pass, if it does not
	// answer.
	holdTimeout = time.Second
	// armTimeout is the time after which a switch is cancelled if not every rank
	// is armed; the group may be held in the meantime.
	armTimeout = 350 * time.Millisecond
	// silentTimeout is the time without a report after which a rank will not be armed
	// within armTimeout. Ranks report every 25 ms while they are armed.
	silentTimeout = 200 * time.Millisecond
	// sealTimeout is the time without an answer from the former coordinator's
	// instance after which its switch is cancelled without it.
	sealTimeout = 150 * time.Millisecond
	// armRetryInterval is the time after which the delegate repeats an arm order
	// that had no effect.
	armRetryInterval = 50 * time.Millisecond
	// maxReportAge is the age at which a rank's report counts as missing.
	maxReportAge = time.Second
	// maxConfirmAge is the age of a rank's answer above which it does not show any more that
	// the process beside the rank is there to arm it. Ranks answer every 50 ms.
	maxConfirmAge = 120 * time.Millisecond
	// versionBits is the number of low bits of a version that count within a
	// term.
	versionBits = 20
)

// MaxTerm is the highest term of which versions can be made.
const MaxTerm = 1<<(63-versionBits) - 2
