package wire

//go:generate go tool -modfile=../tools/go.mod msgp -file instance.go -o instance_gen.go -tests=false

// Instance is the entry of one process in the directory, by which processes
// find each other.
type Instance struct {
	Role    string `msg:"role"`
	Address string `msg:"addr"` // host and port for datagrams
	Group   string `msg:"g"`    // rank group of the engine on the instance; empty for none
	Rank    int    `msg:"r"`
}
