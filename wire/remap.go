package wire

//go:generate go tool -modfile=../tools/go.mod msgp -file remap.go -o remap_gen.go -tests=false

// The messages of this file change the expert map of a running group. They go
// as datagrams between the processes beside its ranks; each says all that its
// sender wants or knows, so that lost, repeated and late ones do no harm.
//
//msgp:limit arrays:16384

//msgp:tuple Replica

// Replica is one copy of an expert beyond the first, which lies where map 0
// puts it.
type Replica struct {
	Set    uint16 `msg:"s"`
	Expert uint16 `msg:"e"`
	Rank   uint16 `msg:"r"`
}

// MapGoal is what the coordinator of a group wants of every rank.
type MapGoal struct {
	Group    string    `msg:"g"`
	Term     int64     `msg:"t"` // of the coordinator; a higher one supersedes it
	Seq      uint64    `msg:"n"` // of the goal, within the term
	Epoch    int64     `msg:"e"` // of the group; the goal is void in any other
	Stage    uint8     `msg:"k"` // a remap.Stage
	Version  int64     `msg:"v"` // of the map
	Replicas []Replica `msg:"m"` // of the map, where ranks are to prepare it
	Step     int64     `msg:"p"` // first pass of the map
	Last     int       `msg:"l"` // rank beside the coordinator; it is armed after all others
	Deputy   int       `msg:"d"` // rank whose process arms Last
	Final    bool      `msg:"f"` // all others are armed: Last is due
	Accepted int64     `msg:"q"` // orders that the engine of Last has accepted, where Final
	Release  []int64   `msg:"h"` // passes whose hold is to be dropped, by rank; -1 for none. Empty for none at all
}

// RankReport is what the process beside a rank knows of it, and which goal it
// knows it under.
type RankReport struct {
	Group    string   `msg:"g"`
	Rank     int      `msg:"r"`
	Term     int64    `msg:"t"`
	Seq      uint64   `msg:"n"`
	Epoch    int64    `msg:"e"`
	Open     bool     `msg:"o"`
	Step     int64    `msg:"p"`  // last pass begun
	Map      int64    `msg:"v"`  // version in force
	Prepared int64    `msg:"c"`  // version whose copy is complete; -1 for none
	Armed    int64    `msg:"a"`  // version armed; -1 for none
	ArmedAt  int64    `msg:"ap"` // pass from which it is armed
	Held     int64    `msg:"h"`  // pass that the rank holds; -1 for none
	Refused  int64    `msg:"x"`  // version whose order the engine refused; -1 for none
	Accepted int64    `msg:"q"`  // orders that the engine has accepted
	Last     int      `msg:"l"`  // MapGoal.Last of the last switch heard of; -1 for none, or once it was cancelled
	Deputy   int      `msg:"u"`  // MapGoal.Deputy of that switch
	Gave     int64    `msg:"y"`  // version for which this process last ordered the engine of MapGoal.Last to be armed; -1 for none
	Running  int      `msg:"w"`  // requests that run at the rank
	Demand   []Demand `msg:"d"`  // by set, of the passes since the last report; empty for none
}

// Demand is how often the requests of a rank chose the experts of one set.
type Demand struct {
	Experts []uint16 `msg:"e"` // the most chosen ones
	Counts  []uint32 `msg:"c"` // of each of them
	Others  uint32   `msg:"o"` // of all others together
}
