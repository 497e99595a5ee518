package logfold

//go:generate go tool -modfile=../tools/go.mod msgp -file record.go -o record_gen.go -tests=false

// ConfigChange is a record of the configuration stream: one operator's wish
// to replace the document.
//
// A Restart begins the history anew when nobody can know the current version
// any more, since every process was down for longer than the log service
// keeps records. Its judgement needs no history: it is accepted if it stands
// at the offset At, so that one which lands late is void, and its version is
// At+1, above every earlier one.
type ConfigChange struct {
	Service  string `msg:"svc"`
	Base     uint64 `msg:"base"` // version that the author changed; 0 before the first
	Format   int    `msg:"fmt"`  // set of checks that the document is judged by
	Document []byte `msg:"doc"`  // compressed by Pack, or by PackDelta against the text of version Base
	Delta    bool   `msg:"delta,omitempty"`
	Author   string `msg:"by"`
	Nonce    string `msg:"nonce"` // unique to one publishing; finds the record again
	Restart  bool   `msg:"restart"`
	At       int64  `msg:"at"` // for a restart: the only offset at which it is valid
}

// Checkpoint is a record of the checkpoint stream: the state of the fold
// after it has judged the record at ReadTo. It is usable as long as every
// record after ReadTo can still be read.
type Checkpoint struct {
	Service  string `msg:"svc"`
	ReadTo   int64  `msg:"read"`
	Offset   int64  `msg:"off"` // offset of the accepted record
	Version  uint64 `msg:"ver"`
	Document []byte `msg:"doc"` // compressed by Pack
}

// GroupClaim is a record of the group stream: a coordinator takes a group
// over. Its offset is the coordinator's fencing number; a later one supersedes it.
type GroupClaim struct {
	Service  string `msg:"svc"`
	Group    string `msg:"grp"`
	Claimant string `msg:"by"` // incarnation of the claiming process
}
