// Package group switches the ranks of a group between expert maps such that
// all ranks use the same map in every step. A map is identified by its epoch.
//
// It contains two state machines without I/O. A Coordinator claims the group
// on the log; the offset of its claim is its fencing number, and a later claim
// supersedes it. A Rank runs in the sidecar of each rank and refuses lower
// fencing numbers, also on behalf of engines that do not check them.
//
// A switch is a sequence of rounds of orders. Every rank acknowledges a round
// before the next begins: stage the weights, arm the map for step S, commit.
// An armed rank does not begin step S before the commit. A new coordinator
// seals all ranks with its fencing number and completes an unfinished switch:
// it commits a map that any rank has committed, and otherwise aborts.
package group

import "marjorampitch/wire"

// OrderKind is the kind of a wire.Order.
type OrderKind uint8

// Kinds of orders. The numbers are part of the protocol.
const (
	Seal    OrderKind = iota + 1 // refuse lower fencing numbers from now on
	Query                        // report the state
	Fetch                        // report the map Epoch, active or staged
	Stage                        // copy the weights of map Epoch alongside those in use
	Arm                          // do not begin Step before map Epoch is committed or released
	Commit                       // use the armed map Epoch from its step on
	Release                      // drop a hold: abort an armed map, or start a joined rank
	Join                         // drop an armed map, use map Epoch (0: the active one), continue at Step and hold there
)

var kindNames = [...]string{"none", "seal", "query", "fetch", "stage", "arm", "commit", "release", "join"}

// String returns the name of k for log lines.
func (k OrderKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Bits below the fencing number in epochs and in steps of a restarted group.
// Deriving both from the fencing number keeps those of different coordinators
// distinct.
const (
	epochBits = 20 // log2 of the epochs that one coordinator can allocate
	stepBits  = 32 // log2 of the steps between two restarts of a group
)

// firstEpoch returns the base of the epochs allocated by the coordinator with
// this fencing number.
func firstEpoch(fence int64) uint64 { return uint64(fence+1) << epochBits }

// joinStep returns the first step of a group restarted by the coordinator with
// this fencing number. It is higher than any step begun before the restart.
func joinStep(fence int64) int64 { return (fence + 1) << stepBits }

// EngineState is the state of a rank as reported by its engine.
type EngineState struct {
	Incarnation string // changes whenever the engine process restarts

	Epoch   uint64 // active map; 0 after a restart of the engine
	Next    int64  // first step not begun
	Staged  uint64 // staged map; 0 for none
	Armed   uint64 // map armed at HoldAt; 0 for none and after a join
	HoldAt  int64  // step that the engine must not begin; 0 for no hold
	Pending uint64 // map that becomes active at HoldAt in place of the hold; 0 for none
	Waiting bool   // the engine is waiting at the barrier before HoldAt
}

// CommandKind is the kind of a command to the engine.
type CommandKind uint8

// Kinds of commands.
const (
	CmdFence     CommandKind = iota + 1 // refuse lower fencing numbers, if the engine checks them
	CmdStage                            // copy weights of map Epoch; refused while a map is armed
	CmdHold                             // arm map Epoch and hold at Step; refused once Step has begun
	CmdSwitchAt                         // replace the hold for Epoch with a switch at its step
	CmdSwitchNow                        // switch to Epoch while waiting at the hold, and continue
	CmdRelease                          // drop the hold for Epoch (0: the hold of a join)
	CmdJoin                             // use map Epoch, continue at Step and hold before it
)

// Command is a command to the engine. Its outcome is returned as a Result.
type Command struct {
	Kind  CommandKind
	Fence int64
	Epoch uint64
	Step  int64
	Map   []byte
}

// Outcome states whether a Command took effect.
type Outcome uint8

// Outcomes of a Command.
const (
	Succeeded Outcome = iota + 1
	Refused           // the command had no effect
	Unknown           // the answer was lost; EngineState shows whether the command took effect
)

// Result is the answer to a Command: its Outcome and the state of the engine.
type Result struct {
	Kind    CommandKind
	Outcome Outcome
	State   EngineState // read after the command
}

// Action is an operation that the caller of a state machine performs for it.
type Action interface{ action() }

// SendAck sends an acknowledgement to the coordinator that sent the order.
type SendAck struct{ Ack wire.OrderAck }

// RunCommand passes a command to the engine.
type RunCommand struct{ Command Command }

// ReadFence reads the offset of the group's latest claim from the log and passes
// it to Rank.SetFence.
type ReadFence struct{}

// AppendClaim appends a claim of the group to the log and passes its offset to
// Coordinator.Claimed.
type AppendClaim struct{}

// SendOrder sends an order to the sidecar of its rank.
type SendOrder struct{ Order wire.Order }

// Settled reports that map Epoch is active at every rank and no operation is in
// progress.
type Settled struct{ Epoch uint64 }

// Superseded reports that the claim with number Fence has superseded this coordinator.
type Superseded struct{ Fence int64 }

func (SendAck) action()     {}
func (RunCommand) action()  {}
func (ReadFence) action()   {}
func (AppendClaim) action() {}
func (SendOrder) action()   {}
func (Settled) action()     {}
func (Superseded) action()  {}
