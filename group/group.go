// Package group puts expert maps in force, such that all ranks of a group use
// the same map in every step.
//
// It holds two pure state machines. A Coordinator claims the group on the
// log; the offset of its claim is its fencing number, and a later claim
// supersedes it. A Rank, at the side process of each rank, refuses lower
// fencing numbers, also on behalf of engines that do not check them.
//
// A switch goes through rounds of orders, each answered by every rank before
// the next begins: stage the weights, arm the map from step S on, commit. An
// armed rank does not begin step S before the commit. A new coordinator seals
// all ranks with its number and finishes what it finds: it commits a map that
// any rank has committed, and otherwise aborts.
package group

import "marjorampitch/wire"

// OrderKind is the kind of a wire.Order.
type OrderKind uint8

// Kinds of orders. The numbers are part of the protocol.
const (
	Seal    OrderKind = iota + 1 // obey no lower fencing number from now on
	Query                        // report the state
	Fetch                        // report the map Epoch, in force or staged
	Stage                        // copy the weights of map Epoch beside those in use
	Arm                          // begin no step from Step on before map Epoch is committed or released
	Commit                       // use the armed map Epoch from its step on
	Release                      // drop a hold: abort an armed map, or let a joined rank start
	Join                         // drop what is armed, use map Epoch (0: the one in force), hold at Step, the next step
)

var kindNames = [...]string{"none", "seal", "query", "fetch", "stage", "arm", "commit", "release", "join"}

// String returns the name of k for log lines.
func (k OrderKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Numbers that a coordinator derives from its fencing number, so that no two
// coordinators use one number for two things.
const (
	epochBits = 20 // epochs a coordinator can number
	stepBits  = 32 // steps between two restarts of a group
)

// firstEpoch is the first epoch that the coordinator with this fence numbers.
func firstEpoch(fence int64) uint64 { return uint64(fence+1) << epochBits }

// joinStep is the first step of a group that this coordinator restarts. It is
// beyond every step that the group can have begun before.
func joinStep(fence int64) int64 { return (fence + 1) << stepBits }

// EngineState is what an engine tells of its rank.
type EngineState struct {
	Incarnation string // changes whenever the engine process restarts

	Epoch   uint64 // map in force; 0 since a restart of the engine
	Next    int64  // first step not begun
	Staged  uint64 // map staged beside it; 0 for none
	Armed   uint64 // map that the hold is for; 0 for none and after a join
	HoldAt  int64  // first step that the engine does not begin; 0 for no hold
	Pending uint64 // map that comes into force at HoldAt in place of the hold; 0 for none
	Waiting bool   // the engine stands at the barrier before HoldAt
}

// CommandKind is the kind of a command to the engine.
type CommandKind uint8

// Kinds of commands.
const (
	CmdFence     CommandKind = iota + 1 // refuse lower fencing numbers, if the engine checks them
	CmdStage                            // copy weights; refused while a map is armed
	CmdHold                             // hold at Step for map Epoch; refused once Step has begun
	CmdSwitchAt                         // replace the hold for Epoch by a switch at its step
	CmdSwitchNow                        // switch to Epoch while waiting at the hold, and go on
	CmdRelease                          // drop the hold for Epoch (0: the hold of a join)
	CmdJoin                             // use map Epoch, go on with Step and hold before it
)

// Command asks the engine to do something. Its outcome comes back as a Result.
type Command struct {
	Kind  CommandKind
	Fence int64
	Epoch uint64
	Step  int64
	Map   []byte
}

// Outcome says what became of a Command.
type Outcome uint8

// Outcomes of a Command.
const (
	Succeeded Outcome = iota + 1
	Refused           // it had no effect
	Unknown           // the answer was lost; State shows whether it took effect
)

// Result is the outcome of a Command.
type Result struct {
	Kind    CommandKind
	Outcome Outcome
	State   EngineState // as read after the command
}

// Action is what a machine asks its loop to do.
type Action interface{ action() }

// SendAck sends an answer to the coordinator that sent the order.
type SendAck struct{ Ack wire.OrderAck }

// RunCommand passes a command to the engine.
type RunCommand struct{ Command Command }

// ReadFence reads the group's highest claim from the log; SetFence takes it.
type ReadFence struct{}

// AppendClaim appends a claim of the group to the log; Claimed takes its offset.
type AppendClaim struct{}

// SendOrder sends an order to the side process of its rank.
type SendOrder struct{ Order wire.Order }

// Settled says that map Epoch is in force at every rank and nothing is underway.
type Settled struct{ Epoch uint64 }

// Superseded says that a later claim has superseded this coordinator.
type Superseded struct{ Fence int64 }

func (SendAck) action()     {}
func (RunCommand) action()  {}
func (ReadFence) action()   {}
func (AppendClaim) action() {}
func (SendOrder) action()   {}
func (Settled) action()     {}
func (Superseded) action()  {}
