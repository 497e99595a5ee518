package wire

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

//go:generate go tool -modfile=../tools/go.mod msgp -file instance.go -o instance_gen.go -tests=false

//msgp:limit arrays:4096

// Instance is the record of one process in the directory, through which processes
// discover each other.
type Instance struct {
	Role    string `msg:"role"`
	Address string `msg:"addr"` // host and port that receive datagrams
	Group   string `msg:"g"`    // group of the engine on the instance; empty for none
	Rank    int    `msg:"r"`
	Engine  string `msg:"e"`           // host and port of the engine
	Memory  int    `msg:"m,omitempty"` // tokens that the engine can hold; 0 if unknown
	// DataCentre of a gateway. Rebalancers and older processes leave it empty.
	DataCentre string `msg:"d,omitempty"`
}

// UDPAddr returns the address that receives datagrams. Error: it is not an IP address and a
// port. Names are not looked up, which could take seconds.
func (i *Instance) UDPAddr() (*net.UDPAddr, error) {
	at, err := netip.ParseAddrPort(i.Address)
	if err != nil {
		return nil, eris.Wrap(err, "address of an instance")
	}
	return net.UDPAddrFromAddrPort(at), nil
}

// Values of Instance.Role.
const (
	RoleGateway    = "gateway"
	RoleRebalancer = "rebalancer"
)

// GatewayLoad is the datagram in which a gateway reports its load to the other
// gateways.
type GatewayLoad struct {
	Instance string      `msg:"i"`
	Serving  bool        `msg:"v"` // accepts new requests, with a current document
	Groups   []GroupLoad `msg:"g"`
	// Servers are the loads on backend servers, for the services whose requests have an
	// estimated cost.
	Servers []ServerLoads `msg:"w,omitempty"`
}

//msgp:tuple ServerLoads

// ServerLoads are a gateway's loads on the servers of a service.
type ServerLoads struct {
	Service string `msg:"s"`
	Loads   []byte `msg:"l,limit=8192"` // see cost.EncodeLoads
}

// GroupLoad is a gateway's load on one rank group of a service.
type GroupLoad struct {
	Service string  `msg:"s"`
	Group   string  `msg:"g"`
	Running int     `msg:"n"` // streams in progress
	Rate    float64 `msg:"r"` // arrival rate of requests for the service, per second
	Gap     int64   `msg:"p"` // recent mean gap between events of these streams, microseconds; 0 if not known
}

// GroupState is the datagram in which the rebalancer of a rank reports the state
// of its group to gateways.
type GroupState struct {
	Group string `msg:"g"`
	Epoch int64  `msg:"e"` // of the group; increases whenever it is formed anew
	Open  bool   `msg:"o"` // the group runs forward passes
	// Engine is the address of the rank's engine, host and port; empty if not known.
	Engine   string  `msg:"a"`
	Slowness float32 `msg:"s"` // factor by which work takes longer than usual at the engine; 1 if it does not, 0 if not known
}

// PartReport is the datagram in which a gateway sends evidence against parts of
// prompts to the other gateways; see admit.PartQuarantine.
type PartReport struct {
	Instance    string         `msg:"i"`
	Incarnation int64          `msg:"b"` // of the sender; differs after a restart
	SentAt      int64          `msg:"t"` // in ms, on the clock of this incarnation
	Evidence    []PartEvidence `msg:"v"`
}

//msgp:tuple PartEvidence

// PartEvidence states that a backend server crashed under a request with a part of
// a prompt. Times are given as ages when the datagram is sent, since instances do
// not share a clock.
type PartEvidence struct {
	Part     uint64 `msg:"p"`
	Crash    uint64 `msg:"c"` // hash of the server's id and incarnation
	SentAge  int64  `msg:"s"` // in ms, since the request was sent to the server
	BrokeAge int64  `msg:"b"` // in ms, since the request was broken off
	InUse    bool   `msg:"u"` // the part had been in use shortly before: a server had begun an answer on it
	Cleared  bool   `msg:"x"` // the part did not cause the crash
}

// LimitReport is the datagram in which a gateway tells the other gateways which rates
// backend servers have stated, and what it has sent them; see admit.ServerLimits.
type LimitReport struct {
	Instance    string        `msg:"i"`
	Incarnation int64         `msg:"b"` // of the sender; differs after a restart
	SentAt      int64         `msg:"t"` // in ms, on the clock of this incarnation
	Limits      []ServerLimit `msg:"l"`
}

//msgp:tuple ServerLimit

// ServerLimit is the rate of requests that one incarnation of a backend server takes
// from all gateways together, as it has stated in an answer.
type ServerLimit struct {
	Server  uint64  `msg:"s"` // hash of the server's id and incarnation
	Rate    float64 `msg:"r"` // requests per second
	Limited bool    `msg:"l"` // false if the server's newest answer states no limit
	Age     int64   `msg:"a"` // in ms, of the answer that says so
	Sent    uint64  `msg:"n"` // requests that the sender has sent since it knows of the limit
}

// LogRequest is the datagram in which a gateway asks another one for the records of a
// topic of the store; see package peerread.
type LogRequest struct {
	Nonce      uint64 `msg:"n"` // repeated in the answer
	Topic      string `msg:"t"`
	Era        int64  `msg:"e,omitempty"` // of From; see store.Position
	From       int64  `msg:"f"`           // offset of the first record wanted
	WaitMillis int64  `msg:"w"`           // longest time to wait for a record at or after From
}

// LogStatus says whether a LogAnswer holds the records that were asked for.
type LogStatus uint8

// Values of LogStatus.
const (
	LogRefused LogStatus = iota // the sender does not follow the topic, is not current, or is stopping
	LogGap                      // the sender does not hold all records from the position on, or they do not fit into a datagram
	LogOK
)

// LogAnswer answers a LogRequest. It omits records that have no effect on a process
// that has applied all earlier ones.
type LogAnswer struct {
	Nonce  uint64    `msg:"n"`
	Status LogStatus `msg:"s"`
	Era    int64     `msg:"e,omitempty"` // of Next
	Next   int64     `msg:"x"`           // offset of the next read
	// Proof is when the records up to Next were known to be all that the store had
	// acknowledged, in ns after the arrival of the request, by the sender's clock.
	// Usually it is negative.
	Proof   int64       `msg:"p"`
	Records []LogRecord `msg:"r"`
	Packed  []byte      `msg:"z,omitempty,limit=8192"` // in place of Records: a LogRecords compressed with DEFLATE
}

// LogRecords is the content of LogAnswer.Packed.
type LogRecords struct {
	Records []LogRecord `msg:"r"`
}

//msgp:tuple LogRecord

// LogRecord is a record of a keyed topic.
type LogRecord struct {
	Key   string `msg:"k"`
	Value []byte `msg:"v,limit=1048576"` // empty if the key was deleted
}

// Kinds of datagrams, encoded as the first byte.
const (
	KindMapGoal      byte = 1
	KindRankReport   byte = 2
	KindGatewayLoad  byte = 3
	KindGroupState   byte = 4
	KindPartEvidence byte = 5
	// KindRequestEvidence is a PartReport on whole requests, identified by route.Fingerprint.
	KindRequestEvidence byte = 6
	KindLimitReport     byte = 7
	KindLogRequest      byte = 9
	KindLogAnswer       byte = 10
)
