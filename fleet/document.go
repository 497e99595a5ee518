// Package fleet holds what an instance believes of the deployment: the
// configuration document in force, the backend servers, and the data centres
// taken out of service.
//
// Belief is a state machine over changes read from the platform's store; View
// is the immutable picture that requests are served by. Follower keeps a
// Belief up to date from any Source.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// Kinds of routes.
const (
	NonIdempotent Kind = iota // runs at most once
	Idempotent                // may run more than once
	Stream                    // a stream of events; may run again only where Route.Resume is set
)

// Document is one accepted configuration.
type Document struct {
	Version       int64
	Routes        []Route
	Services      map[string]*Service
	Organisations []Organisation
	Limits        Limits

	byHost map[string][]*Route      // longest prefix first
	byKey  map[string]*Organisation // by API key
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // longest time that a caller is kept waiting
	TargetLatency time.Duration // latency objective: the answer, or the first event of a stream
	TargetGap     time.Duration // longest pause between events for which a stream is on time; 0 for none
	Priority      int           // 0 is the most urgent
	Split         []WeightedService
	MaxAttempts   int  // backend servers that one request may be sent to
	Anonymous     bool // requests need no key
	Resume        bool // a broken stream may go on at another backend server
}

// WeightedService is the part of a route's requests that goes to one service.
type WeightedService struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resume
}

// Service describes the backend servers of one name.
type Service struct {
	Name          string
	HealthPath    string
	MaxConns      int     // connections that one backend server accepts from all callers
	ColdPerSecond float64 // requests a second that a cold backend server bears; 0 where none is ever cold
	Engine        *Engine // nil for a plain service
}

// Engine is the cost model of a service's model engines. Times are those of
// one token step unless stated.
type Engine struct {
	Slots        int           // requests that run at once on one backend server
	Stride       int           // steps of a pass that writes tokens; each event carries that many tokens
	Step         time.Duration // of an empty step
	PerSequence  time.Duration // more for each running request
	PerContext   time.Duration // more for each 1,000 tokens of context of a running request
	PrefillRate  float64       // prompt tokens a second
	PromptTokens float64       // usual prompt, tokens
	AnswerTokens float64       // usual answer, tokens

	Experts *Experts // nil where the model has none
}

// Experts is the shape of a rank group's expert maps.
type Experts struct {
	LayerSets    int // sets of layers, each with a map of its own
	PerSet       int // experts a set
	MaxPerRank   int // experts that one rank holds at most, a set
	SparePerRank int // experts that one rank can take in beside those in use, a set
	StepShare    float64
	CopyTime     time.Duration // time to copy one expert to a rank
	FormTime     time.Duration // time in which a broken group opens again
}

// Organisation is a tenant with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int // goes before the route's; -1 where none is set
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index prepares the lookups. It is called once, before the document is shared.
func (d *Document) Index() {
	d.byHost = make(map[string][]*Route, 4)
	for i := range d.Routes {
		r := &d.Routes[i]
		d.byHost[r.Host] = append(d.byHost[r.Host], r)
	}
	for _, routes := range d.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	d.byKey = make(map[string]*Organisation)
	for i := range d.Organisations {
		for _, key := range d.Organisations[i].Keys {
			d.byKey[key] = &d.Organisations[i]
		}
	}
}

// Match returns the route of the host with the longest prefix that begins
// path, or nil.
func (d *Document) Match(host, path string) *Route {
	for _, r := range d.byHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostname drops the port of a Host header.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		return host[:i]
	}
	return host
}

// Organisation returns who holds the key, or nil.
func (d *Document) Organisation(key string) *Organisation {
	return d.byKey[key]
}

// RequiresKeys reports whether requests need a key.
func (d *Document) RequiresKeys() bool { return len(d.Organisations) > 0 }
