// Package wire implements the internal protocol between the processes of the
// system: length-prefixed msgpack frames over TCP, and msgpack datagrams.
package wire

//go:generate go tool -modfile=../tools/go.mod msgp -file messages.go -o messages_gen.go -tests=false

// Limits for decoding. []byte fields with bulk data have MaxFrameBytes as the limit
// in their tag instead.
//
//msgp:limit arrays:4096 maps:256

// Range of protocol versions that this build supports.
const (
	MinVersion uint16 = 1
	MaxVersion uint16 = 1
)

// Role is the kind of process at one end of a connection.
type Role uint8

// Values of Role.
const (
	RoleEntry    Role = iota + 1 // front proxy
	RoleSide                     // sidecar
	RoleOperator                 // command-line client
)

// Hello is the first message in both directions.
type Hello struct {
	MinVersion   uint16 `msg:"min"`
	MaxVersion   uint16 `msg:"max"`
	Role         Role   `msg:"role"`
	Service      string `msg:"svc"`
	Instance     string `msg:"inst"`
	DataCentre   string `msg:"dc"`
	Incarnation  string `msg:"inc"` // unique to one run of the process
	ConfigOffset int64  `msg:"cfg"` // offset of the service configuration in force; -1 for none
}

// Heartbeat is sent in both directions every HeartbeatInterval.
//
// Freshness does not depend on synchronised clocks: the receiver knows when it
// sent the heartbeat that Echo names, so the age of the sender's freshness proof
// is at most ProofAgeMillis plus the time since then. The freshness proof is a
// read of the log, by the sender or a peer of it, that found no configuration
// record after ConfigOffset.
type Heartbeat struct {
	Seq            uint64    `msg:"s"`
	Echo           uint64    `msg:"e"`           // highest Seq received from the peer; 0 for none
	ConfigOffset   int64     `msg:"c"`           // offset of the service configuration in force
	ProofAgeMillis int64     `msg:"p"`           // age of the proof that the sender's configuration is current; -1 for none
	LogDown        bool      `msg:"d,omitempty"` // the sender's last read of the log failed, and it has no recent freshness proof
	LogUp          bool      `msg:"a,omitempty"` // the log recently answered the sender's last read
	Leaving        bool      `msg:"l,omitempty"` // the sender accepts no new work
	Suspects       []Suspect `msg:"u,omitempty"` // new evidence about requests in flight at a crash
	Report         *Report   `msg:"r,omitempty"` // sent by sidecars only
}

// Suspect is one piece of evidence that a request may crash backend servers.
// Receivers keep the union of the evidence received.
type Suspect struct {
	Fingerprint uint64 `msg:"fp"`
	Crash       uint64 `msg:"c"`     // identifies one crash of one backend server
	Alone       bool   `msg:"alone"` // the request ran alone, to test whether it crashes servers
	Cleared     bool   `msg:"clr"`   // the request has since completed; the crash no longer counts
}

// ConfigQuery requests the service configuration of a peer whose heartbeat carries
// a higher ConfigOffset. The peer answers with Config if it has read beyond ReadTo.
type ConfigQuery struct {
	ReadTo int64 `msg:"read"` // offset of the last record of the configuration stream that the sender has evaluated; -1 for none
}

// Config answers a ConfigQuery.
type Config struct {
	Offset   int64  `msg:"off"`
	Version  uint64 `msg:"ver"`
	ReadTo   int64  `msg:"read"`              // offset of the last record of the configuration stream that Document takes into account
	Document []byte `msg:"doc,limit=4194304"` // compressed by logfold.Pack
}

// Header is one HTTP header field.
type Header struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// Request asks a sidecar to run one attempt of a caller's request.
//
// A request that must not run twice carries a claim: the log record by which a
// front proxy reserves an idempotency key for one incarnation of one sidecar. The
// first valid claim of a key wins.
type Request struct {
	Stream      uint64 `msg:"s"` // unique within the connection; chosen by the end that dialled
	RequestID   string `msg:"id"`
	Attempt     uint32 `msg:"att"`
	TraceParent string `msg:"tp"` // W3C trace context

	Method       string   `msg:"m"`
	Path         string   `msg:"p"` // including the query
	Headers      []Header `msg:"h"`
	Body         []byte   `msg:"b,limit=4194304"`
	Streaming    bool     `msg:"str"` // the answer is a stream of server-sent events
	Organisation string   `msg:"org"`
	Session      string   `msg:"ses"`
	Priority     uint8    `msg:"pri"`
	Model        string   `msg:"mod"`
	BudgetMillis int64    `msg:"ttl"` // time until the caller's deadline when the request is sent
	Fingerprint  uint64   `msg:"fp"`  // hash of method, path, organisation and body
	ConfigOffset int64    `msg:"cfg"` // offset of the service configuration that the front proxy used for the decision

	Idempotent  bool   `msg:"idem"`
	Key         string `msg:"key"`   // idempotency key of a call that must not run twice
	ClaimOffset int64  `msg:"claim"` // offset of the winning claim; -1 for none
	ClaimStream string `msg:"cstr"`  // stream of the winning claim
	Incarnation string `msg:"inc"`   // sidecar incarnation that the claim names; empty for idempotent requests
	Alone       bool   `msg:"alone"` // suspected of crashing servers: run with no other request in flight

	Resume     bool   `msg:"res,omitempty"`  // continue the attempt of this request that the sidecar is running
	ResumeFrom uint64 `msg:"from,omitempty"` // with Resume: Seq of the first chunk to send
	Window     uint32 `msg:"win"`            // flow control: bytes of the answer that may be sent before a Credit arrives
}

// Head carries the status and headers of an answer.
type Head struct {
	Stream  uint64   `msg:"s"`
	Attempt uint32   `msg:"att"`
	Status  int      `msg:"st"`
	Headers []Header `msg:"h"`
}

// Chunk carries one part of an answer's body.
type Chunk struct {
	Stream  uint64 `msg:"s"`
	Attempt uint32 `msg:"att"`
	Seq     uint64 `msg:"q"` // 0, 1, 2, ... within the answer
	Data    []byte `msg:"d,limit=4194304"`
}

// End completes an answer.
type End struct {
	Stream   uint64 `msg:"s"`
	Attempt  uint32 `msg:"att"`
	Count    uint64 `msg:"n"`   // number of chunks of the complete answer
	Replayed bool   `msg:"rep"` // the answer is that of an earlier run with the same key
	Report   Report `msg:"rpt"`
}

// Refusal ends an attempt without a complete answer. Ran says whether the backend
// server may have run the request.
type Refusal struct {
	Stream           uint64 `msg:"s"`
	Attempt          uint32 `msg:"att"`
	Code             int    `msg:"code"` // api.Code
	Ran              uint8  `msg:"ran"`  // api.Ran
	RetryAfterMillis int64  `msg:"ra"`
	Detail           string `msg:"det"`
	Report           Report `msg:"rpt"`
}

// Cancel aborts an attempt whose caller has disconnected.
type Cancel struct {
	Stream  uint64 `msg:"s"`
	Attempt uint32 `msg:"att"`
}

// Credit allows the sidecar to send Bytes more of an answer.
type Credit struct {
	Stream uint64 `msg:"s"`
	Bytes  uint32 `msg:"n"`
}

// Report is a sidecar's report of its backend server, sent with answers and
// heartbeats.
type Report struct {
	Seq        uint64  `msg:"q"`           // increases with each report of one incarnation of the sidecar; 0 for no report
	Cold       bool    `msg:"c,omitempty"` // in cold start
	Leaving    bool    `msg:"l,omitempty"` // accepts no new work
	Down       bool    `msg:"d,omitempty"` // the backend server crashed and has not answered since
	Limit      int     `msg:"m,omitempty"` // concurrent requests that the sidecar admits
	Running    int     `msg:"r,omitempty"`
	Waiting    int     `msg:"w,omitempty"`
	StepMillis float32 `msg:"t,omitempty"` // duration of the engine's last forward pass
	CacheUsed  float32 `msg:"k,omitempty"` // share of KV cache memory in use, 0 to 1
}

// KeyQuery asks a sidecar for the state of an idempotency key that a claim
// reserves for it (see Request). With Seal set, a key that is unknown to the
// incarnation in the query is sealed, so that no request with it runs.
type KeyQuery struct {
	Stream      uint64 `msg:"s"`
	Key         string `msg:"key"`
	ClaimOffset int64  `msg:"claim"`
	ClaimStream string `msg:"cstr"`
	Incarnation string `msg:"inc"`
	Seal        bool   `msg:"seal"`
}

// KeyState is the state of an idempotency key at a sidecar.
type KeyState uint8

// Values of KeyState.
const (
	KeyUnknown          KeyState = iota // not received, and not sealed by this query
	KeySealed                           // will never run under this claim
	KeyRunning                          // in flight
	KeyFinished                         // ran; KeyAnswer.Answer is set
	KeyOtherIncarnation                 // the sidecar has restarted since the claim
	KeyExpired                          // older than the sidecar's retention: may have run, will not run
)

// KeyAnswer answers a KeyQuery.
type KeyAnswer struct {
	Stream      uint64   `msg:"s"`
	Key         string   `msg:"key"`
	State       KeyState `msg:"st"`
	Incarnation string   `msg:"inc"`
	Answer      Answer   `msg:"ans"`
}

// Answer is the stored complete answer of a call that must not run twice.
type Answer struct {
	Status  int      `msg:"st"`
	Headers []Header `msg:"h"`
	Body    []byte   `msg:"b,limit=4194304"`
}

// Order carries one order for the rank behind a sidecar. A step is one forward
// pass of the rank. A rank changes its expert map as follows:
//
//   - staged: the weights of the map are loaded in addition to those in use
//   - armed: the rank is to use the staged map from ArmedStep on
//   - holding: the rank starts no step from ArmedStep on until the armed map is
//     committed or the hold is released
//   - committed: the armed map takes effect at ArmedStep
//
// A fetch order asks for map Epoch, which is in force or staged.
type Order struct {
	Seq     uint64 `msg:"q"` // increases with each round of orders under one fencing number
	Group   string `msg:"g"`
	Rank    int    `msg:"r"`
	Kind    uint8  `msg:"k"`     // group.OrderKind
	Fence   int64  `msg:"fence"` // fencing number: offset of the coordinator's claim
	Epoch   uint64 `msg:"ep"`    // number of the expert map; not an epoch of the group as in MapGoal
	Step    int64  `msg:"step"`  // first step that uses the map
	MapHash string `msg:"mh"`
	Map     []byte `msg:"map,limit=4194304"` // encoded placement.Map; only in stage orders
}

// OrderAck answers an Order.
type OrderAck struct {
	Seq       uint64 `msg:"q"`
	Group     string `msg:"g"`
	Rank      int    `msg:"r"`
	Kind      uint8  `msg:"k"`
	Code      int    `msg:"code"`              // api.Code
	Fence     int64  `msg:"fence"`             // highest fencing number known to the sidecar
	Epoch     uint64 `msg:"ep"`                // number of the expert map in force at the rank
	Staged    uint64 `msg:"stg"`               // number of the staged map; 0 for none
	Armed     uint64 `msg:"arm"`               // number of the armed map; 0 for none
	ArmedStep int64  `msg:"astep"`             // step at which the armed map takes effect
	Committed bool   `msg:"com"`               // the armed epoch is committed
	Step      int64  `msg:"step"`              // last completed step
	Next      int64  `msg:"next"`              // first step not started
	Holding   bool   `msg:"hold"`              // the engine starts no step from ArmedStep on
	Map       []byte `msg:"map,limit=4194304"` // encoded map; only in answers to fetch orders
	MapHash   string `msg:"mh"`                // hash of the map in force
}

// StatusQuery asks a process for its configuration in force.
type StatusQuery struct {
	Seq uint64 `msg:"q"`
}

// Status answers a StatusQuery.
type Status struct {
	Seq           uint64 `msg:"q"`
	Instance      string `msg:"inst"`
	DataCentre    string `msg:"dc"`
	Role          Role   `msg:"role"`
	ConfigOffset  int64  `msg:"cfg"`
	ConfigVersion uint64 `msg:"ver"`
	Current       bool   `msg:"cur"`
	Leaving       bool   `msg:"leav"`

	Comparison *Comparison `msg:"cmp,omitempty"` // set by a front proxy whose service configuration names a candidate policy
}

// Comparison holds a front proxy's counts of a candidate routing policy compared
// with the active one. In fields with two values, the first is the active policy's.
type Comparison struct {
	Active         string   `msg:"act"`
	Candidate      string   `msg:"cand"`
	Mode           string   `msg:"mode"` // shadow or share
	Picks          int64    `msg:"n"`    // picks during the comparison
	Compared       int64    `msg:"cmp"`  // in shadow mode, picks that both policies decided
	Same           int64    `msg:"same"` // compared picks for which both chose the same backend server
	Load           [2]int64 `msg:"load"` // sum over compared picks of the cached loads of the chosen backend servers
	Served         [2]int64 `msg:"srv"`  // attempts that completed
	Failed         [2]int64 `msg:"fail"` // attempts that failed for a reason that the pick may have caused
	FirstP95Micros [2]int64 `msg:"p95"`  // 95th percentile of the time to the first token
	Invalid        int64    `msg:"inv"`  // candidate's picks that are not a usable backend server
	Late           int64    `msg:"late"` // candidate's picks that exceeded the time limit
	Panics         int64    `msg:"pan"`
	Skipped        int64    `msg:"skip"` // calls not passed to the candidate because it was busy
	Tripped        string   `msg:"trip"` // limit on the candidate, "errors" or "slower", whose violation ended the share mode; empty if none has
}
