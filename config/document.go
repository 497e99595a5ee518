// Package config parses and validates the two kinds of INI files: the service
// configuration (Document), which operators publish, and the settings of one
// process (Settings).
//
// A Document is immutable after parsing, so any number of goroutines may read it
// without a lock.
package config

import (
	"sync"
	"time"
)

// Document is the parsed and validated configuration of a service.
type Document struct {
	Service       Service
	DataCentres   []DataCentre
	Backends      []Backend
	Organisations []Organisation
	Routes        []Route
	Groups        []Group
	Routing       Routing
	Placement     Placement
	Limits        Limits

	once  sync.Once
	index *index
}

// Service holds the keys of section [service].
type Service struct {
	Name   string
	Format int // format number; selects the checks that apply to the document
}

// DataCentre holds the keys of a section [data-centre NAME].
type DataCentre struct {
	Name   string
	Region string
	Out    bool // state = out: receives no new work
}

// Kind distinguishes model engines, which report their load, from plain services.
type Kind string

// Kinds of backend servers.
const (
	KindEngine Kind = "engine" // a model engine
	KindPlain  Kind = "plain"  // a plain service
)

// Backend holds the keys of a section [backend-server NAME]. NAME is also the
// name of the instance on which its sidecar runs.
type Backend struct {
	Name          string
	DataCentre    string
	Kind          Kind
	Pool          string   // pool that routes refer to
	Models        []string // models served; engines only
	Leaving       bool     // state = leaving: receives no new work
	ChecksFencing bool     // fencing = checked: the server itself refuses orders with an old fencing number
	MaxRunning    int      // maximum number of concurrent requests when warm
	Group         string   // rank group that the server belongs to; empty for none
	Rank          int      // rank in Group, from 0
}

// Organisation holds the keys of a section [organisation NAME].
type Organisation struct {
	Name   string
	Weight int // share of capacity under overload, relative to other organisations
}

// Route holds the keys of a section [route NAME].
type Route struct {
	Name       string
	Path       string // exact path, or a prefix if it ends in "/"
	Pool       string
	Idempotent bool          // requests may be repeated
	Streaming  bool          // chat completions, which may be answered as server-sent events
	Timeout    time.Duration // maximum time for the whole answer
	LookupPath string        // path, containing {key}, at which the backend server returns the response of an earlier call with that key; empty for none
}

// Group holds the keys of a section [group NAME]: ranks that run in lock-step.
type Group struct {
	Name       string
	Model      string
	Ranks      int
	Experts    int // experts per layer
	Layers     int
	Slots      int // expert slots per rank and layer
	WeightRate int // maximum rate of reading from the weight store, in bytes per second
}

// Mode is the mode in which a candidate policy runs.
type Mode string

// Modes of a candidate policy.
const (
	ModeOff    Mode = "off"    // not used
	ModeShadow Mode = "shadow" // evaluated on live traffic without effect
	ModeShare  Mode = "share"  // routes a share of the sessions
)

// Routing holds the keys of section [routing].
type Routing struct {
	Policy       string // registered name of the active routing policy
	Candidate    string // registered name of the candidate policy; empty for none
	Mode         Mode
	Share        float64 // fraction of sessions routed by the candidate in ModeShare, 0 to 1
	MaxErrorRate float64 // error rate of the candidate, 0 to 1, beyond which its sessions return to the active policy
	MaxP95Ratio  float64 // ratio of the candidate's p95 time to first token to that of the active policy; same effect as MaxErrorRate
	SubsetSize   int     // minimum number of backend servers of a pool that one front proxy connects to, if the pool has as many; see route.Subset; 0 for all
}

// Placement holds the keys of section [placement].
type Placement struct {
	Policy  string        // registered name of the placement policy
	Horizon time.Duration // period over which the gain of a new map is estimated
	Margin  float64       // factor by which the gain must exceed the cost
}

// Limits holds the keys of section [limits].
type Limits struct {
	ColdStartLimit int           // maximum number of concurrent requests on a cold backend server
	RetryBudget    float64       // retries allowed per first attempt, 0 to 1
	KeyMaxAge      time.Duration // maximum age of an idempotency key; older keys are refused; values above claim.MaxKeyAge count as claim.MaxKeyAge
	FreshFor       time.Duration // maximum age of the freshness proof; without a newer one a process accepts no new work
	CrashLimit     int           // number of crashes after which a request may only run alone; if the server crashes during that run, the request is refused from then on
}
