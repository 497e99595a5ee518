// Package wire is the inner protocol between the system's own processes:
// length-framed msgpack over TCP. This file holds the message types.
package wire

//go:generate go tool -modfile=../tools/go.mod msgp -file messages.go -o messages_gen.go -tests=false

// The limit of a []byte field is MaxFrameBytes; other fields are bounded here.
//
//msgp:limit arrays:4096 maps:256

// Versions of the protocol that this build speaks.
const (
	MinVersion uint16 = 1
	MaxVersion uint16 = 1
)

// Role says what kind of process is at one end.
type Role uint8

// Roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleSide
	RoleOperator
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
	ConfigOffset int64  `msg:"cfg"` // offset of the document in force; -1 for none
}

// Heartbeat goes in both directions at HeartbeatInterval.
//
// Freshness without clocks: the receiver knows when it sent Echo, so the
// sender's proof is no older than ProofAgeMillis plus the time since then.
type Heartbeat struct {
	Seq            uint64    `msg:"s"`
	Echo           uint64    `msg:"e"`           // highest Seq received from the peer; 0 for none
	ConfigOffset   int64     `msg:"c"`           // offset of the document in force
	ProofAgeMillis int64     `msg:"p"`           // age of the sender's proof that it is current; -1 for none
	LogDown        bool      `msg:"d,omitempty"` // the sender tried and cannot read the log now
	LogUp          bool      `msg:"a,omitempty"` // the log answered the sender's last read just now
	Leaving        bool      `msg:"l,omitempty"` // the sender takes no new work
	Suspects       []Suspect `msg:"u,omitempty"` // news about requests seen in flight at a crash
	Report         *Report   `msg:"r,omitempty"` // of a side
}

// Suspect is one piece of evidence about a request that may crash backend
// servers. Receivers keep the union of all they hear.
type Suspect struct {
	Fingerprint uint64 `msg:"fp"`
	Crash       uint64 `msg:"c"`     // identifies one crash of one backend server
	Alone       bool   `msg:"alone"` // the request was alone in flight in a trial
	Cleared     bool   `msg:"clr"`   // the request has since run whole; the crash no longer counts
}

// ConfigQuery asks a peer, whose heartbeat names a higher ConfigOffset, for
// its document. Config is the answer when the peer has read further than ReadTo.
type ConfigQuery struct {
	ReadTo int64 `msg:"read"` // last record of the configuration stream that the sender has judged; -1 for none
}

// Config answers a ConfigQuery.
type Config struct {
	Offset   int64  `msg:"off"`
	Version  uint64 `msg:"ver"`
	ReadTo   int64  `msg:"read"`              // last record of the configuration stream that led to this document
	Document []byte `msg:"doc,limit=4194304"` // compressed by logfold.Pack
}

// Header is one HTTP header field.
type Header struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// Request asks a side process to run one attempt of a caller's request.
type Request struct {
	Stream      uint64 `msg:"s"` // unique within the connection, chosen by the dialling end
	RequestID   string `msg:"id"`
	Attempt     uint32 `msg:"att"`
	TraceParent string `msg:"tp"` // W3C trace context

	Method       string   `msg:"m"`
	Path         string   `msg:"p"` // with query
	Headers      []Header `msg:"h"`
	Body         []byte   `msg:"b,limit=4194304"`
	Streaming    bool     `msg:"str"` // the answer is a stream of server-sent events
	Organisation string   `msg:"org"`
	Session      string   `msg:"ses"`
	Priority     uint8    `msg:"pri"`
	Model        string   `msg:"mod"`
	BudgetMillis int64    `msg:"ttl"` // time left until the caller's deadline, at the time of sending
	Fingerprint  uint64   `msg:"fp"`  // hash of method, path, organisation and body
	ConfigOffset int64    `msg:"cfg"` // document the entry decided by

	Idempotent  bool   `msg:"idem"`
	Key         string `msg:"key"`   // idempotency key, for calls that may not repeat
	ClaimOffset int64  `msg:"claim"` // offset of the winning claim; -1 for none
	ClaimStream string `msg:"cstr"`  // stream of the winning claim
	Incarnation string `msg:"inc"`   // side incarnation that the claim names; empty for idempotent requests
	Alone       bool   `msg:"alone"` // suspected of crashing servers: run with nothing else in flight

	Resume     bool   `msg:"res,omitempty"`  // go on with the attempt of this request that the side is at
	ResumeFrom uint64 `msg:"from,omitempty"` // with Resume: first chunk wanted
	Window     uint32 `msg:"win"`            // bytes of answer that may be sent before a Credit arrives
}

// Head is the start of an answer: status and headers.
type Head struct {
	Stream  uint64   `msg:"s"`
	Attempt uint32   `msg:"att"`
	Status  int      `msg:"st"`
	Headers []Header `msg:"h"`
}

// Chunk is one part of an answer's body.
type Chunk struct {
	Stream  uint64 `msg:"s"`
	Attempt uint32 `msg:"att"`
	Seq     uint64 `msg:"q"` // 0, 1, 2, ...
	Data    []byte `msg:"d,limit=4194304"`
}

// End closes an answer that is whole.
type End struct {
	Stream   uint64 `msg:"s"`
	Attempt  uint32 `msg:"att"`
	Count    uint64 `msg:"n"`   // number of chunks of the whole answer
	Replayed bool   `msg:"rep"` // the answer of an earlier run with the same key
	Report   Report `msg:"rpt"`
}

// Refusal closes an attempt without a whole answer.
type Refusal struct {
	Stream           uint64 `msg:"s"`
	Attempt          uint32 `msg:"att"`
	Code             int    `msg:"code"` // api.Code
	Ran              uint8  `msg:"ran"`  // api.Ran
	RetryAfterMillis int64  `msg:"ra"`
	Detail           string `msg:"det"`
	Report           Report `msg:"rpt"`
}

// Cancel asks for an attempt to be given up: the caller went away.
type Cancel struct {
	Stream  uint64 `msg:"s"`
	Attempt uint32 `msg:"att"`
}

// Credit allows the side to send more bytes of an answer.
type Credit struct {
	Stream uint64 `msg:"s"`
	Bytes  uint32 `msg:"n"`
}

// Report is a side's view of its backend server; it rides on answers and heartbeats.
type Report struct {
	Seq        uint64  `msg:"q"`           // rises with each report of one incarnation of the side; 0 for no report
	Cold       bool    `msg:"c,omitempty"` // in cold start
	Leaving    bool    `msg:"l,omitempty"` // takes no new work
	Down       bool    `msg:"d,omitempty"` // the backend server crashed and has not answered since
	Limit      int     `msg:"m,omitempty"` // requests that the side admits at once
	Running    int     `msg:"r,omitempty"`
	Waiting    int     `msg:"w,omitempty"`
	StepMillis float32 `msg:"t,omitempty"` // time of the engine's last step
	CacheUsed  float32 `msg:"k,omitempty"` // share of KV cache memory in use, 0 to 1
}

// KeyQuery asks a side what became of a claimed call. With Seal set, a key
// that is unknown to the named incarnation is marked never to run.
type KeyQuery struct {
	Stream      uint64 `msg:"s"`
	Key         string `msg:"key"`
	ClaimOffset int64  `msg:"claim"`
	ClaimStream string `msg:"cstr"`
	Incarnation string `msg:"inc"`
	Seal        bool   `msg:"seal"`
}

// KeyState is a side's knowledge of a key.
type KeyState uint8

// States of a key at a side.
const (
	KeyUnknown          KeyState = iota // not seen, and not sealed by this query
	KeySealed                           // will never run under this claim
	KeyRunning                          // in flight
	KeyFinished                         // ran; the answer follows
	KeyOtherIncarnation                 // the side was restarted since the claim
	KeyExpired                          // older than what the side keeps: may have run, will not run
)

// KeyAnswer answers a KeyQuery.
type KeyAnswer struct {
	Stream      uint64   `msg:"s"`
	Key         string   `msg:"key"`
	State       KeyState `msg:"st"`
	Incarnation string   `msg:"inc"`
	Answer      Answer   `msg:"ans"`
}

// Answer is a stored whole answer of a call that may not repeat.
type Answer struct {
	Status  int      `msg:"st"`
	Headers []Header `msg:"h"`
	Body    []byte   `msg:"b,limit=4194304"`
}

// Order carries one order for the rank of a group behind a side.
type Order struct {
	Seq     uint64 `msg:"q"` // rises with each round of orders under one fencing number
	Group   string `msg:"g"`
	Rank    int    `msg:"r"`
	Kind    uint8  `msg:"k"`     // group.OrderKind
	Fence   int64  `msg:"fence"` // fencing number: offset of the coordinator's claim
	Epoch   uint64 `msg:"ep"`    // number of the expert map
	Step    int64  `msg:"step"`  // first step that uses the map
	MapHash string `msg:"mh"`
	Map     []byte `msg:"map,limit=4194304"` // encoded placement.Map, with stage orders
}

// OrderAck answers an Order.
type OrderAck struct {
	Seq       uint64 `msg:"q"`
	Group     string `msg:"g"`
	Rank      int    `msg:"r"`
	Kind      uint8  `msg:"k"`
	Code      int    `msg:"code"`  // api.Code
	Fence     int64  `msg:"fence"` // highest fencing number known to the side
	Epoch     uint64 `msg:"ep"`    // map in force at the rank
	Staged    uint64 `msg:"stg"`   // epoch staged; 0 for none
	Armed     uint64 `msg:"arm"`   // epoch armed; 0 for none
	ArmedStep int64  `msg:"astep"` // step at which the armed map takes effect
	Committed bool   `msg:"com"`   // the armed epoch is committed
	Step      int64  `msg:"step"`  // last completed step
	Next      int64  `msg:"next"`  // first step not begun
	Holding   bool   `msg:"hold"`  // the engine begins no step from ArmedStep on
	Map       []byte `msg:"map"`   // encoded map, answering fetch orders
	MapHash   string `msg:"mh"`    // hash of the map in force
}

// StatusQuery asks any process for the configuration it has in force.
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

	Comparison *Comparison `msg:"cmp,omitempty"` // of an entry whose document names a candidate policy
}

// Comparison is what an entry counted of a candidate routing policy beside
// the active one. Of fields with two values, the first is the active policy's.
type Comparison struct {
	Active         string   `msg:"act"`
	Candidate      string   `msg:"cand"`
	Mode           string   `msg:"mode"` // shadow or share
	Picks          int64    `msg:"n"`    // picks while the comparison ran
	Compared       int64    `msg:"cmp"`  // picks that both decided, in shadow
	Same           int64    `msg:"same"` // compared picks in which both chose the same
	Load           [2]int64 `msg:"load"` // sum over compared picks of the chosen backend servers' believed loads
	Served         [2]int64 `msg:"srv"`  // attempts finished
	Failed         [2]int64 `msg:"fail"` // attempts that failed for a reason that the pick may have caused
	FirstP95Micros [2]int64 `msg:"p95"`  // 95th percentile of the time to the first token
	Invalid        int64    `msg:"inv"`  // candidate's picks of no usable backend server
	Late           int64    `msg:"late"` // candidate's picks not made in time
	Panics         int64    `msg:"pan"`
	Skipped        int64    `msg:"skip"` // calls not given to the candidate because it was at work
	Tripped        string   `msg:"trip"` // guard that ended the share; empty while none has
}
