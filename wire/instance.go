package wire

//go:generate go tool -modfile=../tools/go.mod msgp -file instance.go -o instance_gen.go -tests=false

// Instance is the entry of one process in the directory, by which processes
// find each other.
type Instance struct {
	Role    string `msg:"role"`
	Address string `msg:"addr"` // host and port for datagrams
	Group   string `msg:"g"`    // rank group of the engine on the instance; empty for none
	Rank    int    `msg:"r"`
	Engine  string `msg:"e"` // host and port of that engine
}

// Roles of an Instance.
const (
	RoleGateway    = "gateway"
	RoleRebalancer = "rebalancer"
)

// GatewayLoad is what a gateway tells the others of its streams, as a datagram.
type GatewayLoad struct {
	Instance string      `msg:"i"`
	Groups   []GroupLoad `msg:"g"`
}

// GroupLoad is a gateway's load on one rank group of a service.
type GroupLoad struct {
	Service string  `msg:"s"`
	Group   string  `msg:"g"`
	Running int     `msg:"n"` // streams
	Rate    float64 `msg:"r"` // requests a second that arrive for the service
}

// GroupState is what the process beside a rank tells gateways of its group.
type GroupState struct {
	Group string `msg:"g"`
	Epoch int64  `msg:"e"`
	Open  bool   `msg:"o"` // the group makes passes
}

// Kinds of datagrams: their first byte.
const (
	KindMapGoal     byte = 1
	KindRankReport  byte = 2
	KindGatewayLoad byte = 3
	KindGroupState  byte = 4
)
