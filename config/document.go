// Package config reads and checks the two kinds of INI files: the document of
// a service, which operators publish, and the settings of one process.
//
// A Document is a value: once parsed it is never changed, so that any number
// of goroutines may read it without a lock.
package config

import (
	"sync"
	"time"
)

// Document is the one configuration document of a service, parsed and checked.
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

// Service is section [service].
type Service struct {
	Name   string
	Format int // number of the set of checks that the document is judged by
}

// DataCentre is section [data-centre NAME].
type DataCentre struct {
	Name   string
	Region string
	Out    bool // state = out: takes no new work
}

// Kind says what a backend server runs.
type Kind string

// Kinds of backend servers.
const (
	KindEngine Kind = "engine" // a model engine
	KindPlain  Kind = "plain"  // a plain service
)

// Backend is section [backend-server NAME]. NAME is also the name of the
// instance on which its side process runs.
type Backend struct {
	Name          string
	DataCentre    string
	Kind          Kind
	Pool          string   // routes send requests to pools
	Models        []string // models served, for engines
	Leaving       bool     // state = leaving: takes no new work
	ChecksFencing bool     // fencing = checked: refuses orders with an old fencing number itself
	MaxRunning    int      // requests at once when warm
	Group         string   // rank group, for ranks
	Rank          int
}

// Organisation is section [organisation NAME].
type Organisation struct {
	Name   string
	Weight int // share under overload, relative to the others
}

// Route is section [route NAME].
type Route struct {
	Name       string
	Path       string // exact path, or a prefix when it ends in "/"
	Pool       string
	Idempotent bool          // may be repeated and hedged
	Streaming  bool          // chat completions: may answer as server-sent events
	Timeout    time.Duration // longest time for the whole answer
	LookupPath string        // path that settles "may have run" by key, with {key}; empty for none
}

// Group is section [group NAME]: ranks that run in lock-step.
type Group struct {
	Name       string
	Model      string
	Ranks      int
	Experts    int // experts a layer
	Layers     int
	Slots      int // expert slots a rank and layer
	WeightRate int // bytes a second that the group may take from the weight store
}

// Mode says how a candidate policy takes part.
type Mode string

// Modes of a candidate policy.
const (
	ModeOff    Mode = "off"
	ModeShadow Mode = "shadow" // decides on live traffic, has no effect
	ModeShare  Mode = "share"  // serves a share of the sessions
)

// Routing is section [routing].
type Routing struct {
	Policy       string // registered name of the active picker
	Candidate    string // registered name of the candidate picker; empty for none
	Mode         Mode
	Share        float64 // share of sessions for the candidate, 0 to 1
	MaxErrorRate float64 // guard: error share of the candidate beyond which its sessions go to the active policy
	MaxP95Ratio  float64 // guard: ratio of the candidate's p95 latency to the active one's
	SubsetSize   int     // backend servers that one entry connects to at most; 0 for all
}

// Placement is section [placement].
type Placement struct {
	Policy  string
	Horizon time.Duration // gain is counted over this time
	Margin  float64       // gain must exceed cost by this factor
}

// Limits is section [limits].
type Limits struct {
	ColdStartLimit int           // requests at once that a cold backend server bears
	RetryBudget    float64       // retries allowed per first attempt, 0 to 1
	KeyMaxAge      time.Duration // idempotency keys older than this are refused
	FreshFor       time.Duration // a process without proof of being current for this long takes no new work
	CrashLimit     int           // crashes after which a request is quarantined
}
