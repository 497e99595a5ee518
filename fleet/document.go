// Package fleet holds a process's cached state of the deployment: the
// configuration document in force, the backend servers, and the data centres
// taken out of service.
//
// Cache is a state machine over the changes read from the platform's store; View
// is the immutable snapshot that requests are served by. Follower keeps a Cache
// up to date from a Source.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind determines whether requests of a route may be retried.
type Kind uint8

// Kinds of routes.
const (
	NonIdempotent Kind = iota // executed at most once
	Idempotent                // may be executed more than once
	Stream                    // a stream of events; may be executed again only if Route.Resume is set
)

// Document is one accepted version of the configuration. It is immutable after Index.
type Document struct {
	Version       int64
	Routes        []Route
	Services      map[string]*Service
	Organisations []Organisation
	Limits        Limits

	byHost map[string][]*Route      // longest prefix first
	byKey  map[string]*Organisation // by API key

	streamPriorities map[string][]streamPriority // by service, highest first
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // time limit of a request
	TargetLatency time.Duration // latency objective for the response, or the first event of a stream
	TargetGap     time.Duration // objective for the pause between two events of a stream; 0 for none
	Priority      int           // 0 is the highest
	Split         []WeightedService
	MaxAttempts   int  // backend servers that one request may be sent to
	Anonymous     bool // requests need no API key
	Resume        bool // a broken stream may be resumed at another backend server
}

// WeightedService is one service of a traffic split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request of the route may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resume
}

// Service describes the backend servers that share a service name.
type Service struct {
	Name          string
	HealthPath    string
	MaxConns      int     // connections that one backend server accepts from all callers
	ColdPerSecond float64 // requests per second that a cold backend server can take; 0 if servers have no cold start
	Engine        *Engine // nil for a plain service
}

// Engine is the cost model of a service's model engines. Durations are per token
// step unless stated otherwise.
type Engine struct {
	Slots        int           // concurrent requests of one backend server
	Stride       int           // token steps of a decoding forward pass; each event carries as many tokens
	Step         time.Duration // duration of a token step without requests
	PerSequence  time.Duration // added for each running request
	PerContext   time.Duration // added for each 1,000 tokens of context of a running request
	PrefillRate  float64       // prompt tokens per second
	PromptTokens float64       // typical prompt length, tokens
	AnswerTokens float64       // typical answer length, tokens

	Experts *Experts // nil for a model without experts
}

// Experts describes the expert maps of a rank group.
type Experts struct {
	LayerSets    int           // sets of layers; each set has its own expert map
	PerSet       int           // experts per layer set
	MaxPerRank   int           // most experts held by one rank, per layer set
	SparePerRank int           // experts that one rank can load besides those in use, per layer set
	StepShare    float64       // share of a request's step time that is spent in experts
	CopyTime     time.Duration // time to copy one expert to a rank
	FormTime     time.Duration // time that a broken group takes to form again
}

// Organisation is a tenant with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int // overrides the route's priority; -1 for none
}

// Limits are the limits on callers' connections and requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index builds the lookup tables. It must be called once, before the document is
// shared.
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
	d.streamPriorities = d.findStreamPriorities()
}

// Match returns the route of the host with the longest matching prefix of path,
// or nil.
func (d *Document) Match(host, path string) *Route {
	for _, r := range d.byHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MatchesHost reports whether requests with this Host header may match the route.
func (r *Route) MatchesHost(host string) bool { return r.Host == hostname(host) }

// hostname strips the port from a Host header.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		return host[:i]
	}
	return host
}

// Organisation returns the organisation with this API key, or nil.
func (d *Document) Organisation(key string) *Organisation {
	return d.byKey[key]
}

// RequiresKeys reports whether requests need an API key.
func (d *Document) RequiresKeys() bool { return len(d.Organisations) > 0 }
