package wire

//go:generate go tool -modfile=../tools/go.mod msgp -file remap.go -o remap_gen.go -tests=false

// The messages of this file change the expert map of a running group (see package
// remap). They are datagrams between the rebalancers of its ranks. Each carries the
// complete goal or state of its sender, so that lost, repeated and late datagrams
// are harmless.
//
// The coordinator is the rebalancer of one rank; its term is the offset of its
// claim of the group in the log. A switch to a new map version has these steps:
//
//  1. Every rank prepares the version: it copies the experts that the map adds.
//  2. Every rank confirms that its rebalancer is there.
//  3. One rank holds a forward pass, which holds the pass of the whole group.
//  4. Every rank but the coordinator's is armed: it will change maps at that pass.
//  5. The coordinator's own rank, Last, is armed by the rebalancer of another rank,
//     the delegate. If Last becomes unreachable together with the coordinator, the
//     next coordinator learns from the delegate whether Last may be armed; if not,
//     it can cancel the switch without Last.
//  6. When all ranks are known to be armed, the hold is released.
//
// A layer set is a set of layers with an expert map of its own. A step is the
// number of a forward pass.
//
//msgp:limit arrays:16384

//msgp:ignore Replica Replicas

// Replica is an additional copy of an expert, besides the one that the initial map
// places. If Rank is the number of ranks of the group, it states that the rank of that one
// has given the expert up; other ranks then hold replicas of it.
type Replica struct {
	Set    uint16 `msg:"s"`
	Expert uint16 `msg:"e"`
	Rank   uint16 `msg:"r"`
}

// MapShape gives the dimensions of the maps of a group, for a rank whose rebalancer has no
// document yet. All are 0 where they are not stated.
type MapShape struct {
	Sets    int `msg:"s"` // layer sets
	Experts int `msg:"e"` // per set
	Slots   int `msg:"p"` // expert slots per rank and set
}

// MapGoal is the goal that the coordinator of a group sends to every rank.
type MapGoal struct {
	Group    string   `msg:"g"`
	Term     int64    `msg:"t"` // of the coordinator; a higher term supersedes it
	Seq      uint64   `msg:"n"` // number of the goal within the term
	Epoch    int64    `msg:"e"` // of the group, which increases whenever it is formed anew; the goal is invalid in any other
	Stage    uint8    `msg:"k"` // a remap.Stage
	Version  int64    `msg:"v"` // map version; -1 for none
	Replicas Replicas `msg:"m"` // of the map, in goals to prepare it
	Shape    MapShape `msg:"z"` // of the map, in goals to prepare it
	Step     int64    `msg:"p"` // first forward pass that uses the map; -1 for none
	Last     int      `msg:"l"` // the coordinator's own rank, which is armed after all others
	Delegate int      `msg:"d"` // rank whose rebalancer arms the engine of Last
	Final    bool     `msg:"f"` // all other ranks are armed, so that Last is to be armed
	Accepted int64    `msg:"q"` // number of orders that the engine of Last has accepted; only with Final
	Release  []int64  `msg:"h"` // held passes that the engines may start now, by rank; -1 for none. Empty if no rank has one
}

// RankReport is the report of a rank's rebalancer on the state of its engine and
// on the goal that it follows.
type RankReport struct {
	Group           string   `msg:"g"`
	Rank            int      `msg:"r"`
	Term            int64    `msg:"t"`
	Seq             uint64   `msg:"n"`
	Epoch           int64    `msg:"e"` // of the group; increases whenever it is formed anew
	Open            bool     `msg:"o"`
	Step            int64    `msg:"p"`  // last pass started
	Map             int64    `msg:"v"`  // map version in force
	Prepared        int64    `msg:"c"`  // map version that is copied completely; -1 for none
	Armed           int64    `msg:"a"`  // map version armed; -1 for none
	ArmedAt         int64    `msg:"ap"` // first pass of the armed version
	Held            int64    `msg:"h"`  // forward pass that the engine is ordered not to start; -1 for none
	Refused         int64    `msg:"x"`  // map version whose order the engine refused; -1 for none
	Accepted        int64    `msg:"q"`  // number of orders that the engine has accepted
	Last            int      `msg:"l"`  // MapGoal.Last of the last switch received; -1 for none, or after its cancellation
	Delegate        int      `msg:"u"`  // MapGoal.Delegate of that switch
	DelegateVersion int64    `msg:"y"`  // map version of the last order that this rebalancer, as delegate, sent to arm the engine of MapGoal.Last; -1 for none
	Running         int      `msg:"w"`  // requests running at the rank
	Slowness        float32  `msg:"s"`  // factor by which work takes longer than usual at the rank; 1 if it does not, 0 if not known
	Demand          []Demand `msg:"d"`  // by layer set, of the passes since the last report; empty for none
}

// Demand counts how often the requests of a rank selected the experts of one layer
// set.
type Demand struct {
	Experts []uint16 `msg:"e"` // the most frequently selected experts
	Counts  []uint32 `msg:"c"` // selections of each of Experts
	Others  uint32   `msg:"o"` // selections of all other experts
}
