package logfold

//go:generate go tool -modfile=../tools/go.mod msgp -file record.go -o record_gen.go -tests=false

// ConfigChange is a record of the configuration stream: a request by an operator
// to replace the document.
//
// A Restart starts a new history when the current version is lost because every
// process was down for longer than the retention of the log service. It is
// validated without history: it is accepted only at offset At, so a delayed
// append has no effect, and its version is At+1, above every earlier one.
type ConfigChange struct {
	Service  string `msg:"svc"`
	Base     uint64 `msg:"base"` // version that the author edited; 0 before the first
	Format   int    `msg:"fmt"`  // selects the checks that the document must pass
	Document []byte `msg:"doc"`  // compressed by Pack, or by PackDelta against the text of version Base
	Delta    bool   `msg:"delta,omitempty"`
	Author   string `msg:"by"`
	Nonce    string `msg:"nonce"` // unique per publish operation; identifies the record when read back
	Restart  bool   `msg:"restart"`
	At       int64  `msg:"at"` // only offset at which a restart is valid
}

// Checkpoint is a record of the checkpoint stream: the State after applying the
// record at ReadTo. It is usable as long as every record after ReadTo is
// retained.
type Checkpoint struct {
	Service  string `msg:"svc"`
	ReadTo   int64  `msg:"read"`
	Offset   int64  `msg:"off"` // record of the last accepted change
	Version  uint64 `msg:"ver"`
	Document []byte `msg:"doc"` // compressed by Pack
}

// GroupClaim is a record of the group stream: the claim of a group by a
// coordinator. Its offset is the coordinator's fencing number; a later claim
// supersedes it.
type GroupClaim struct {
	Service  string `msg:"svc"`
	Group    string `msg:"grp"`
	Claimant string `msg:"by"` // incarnation of the claiming process
}
