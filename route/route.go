// Package route selects the backend server for a request. A Picker is a state
// machine without a clock, socket or lock: its choices depend only on the calls
// made to it and on the random source that it was built with. Each routing
// policy is in a package of its own and registers itself by name.
package route

import (
	"time"

	"marjorampitch/api"

	"github.com/cespare/xxhash/v2"
)

// NoReport is the ReportAge of a candidate that has not reported yet.
const NoReport time.Duration = -1

// Candidate is the state of one backend server as known to a front proxy.
type Candidate struct {
	Name       string
	Hash       uint64 // HashName(Name); set by Table, used by Pickers
	DataCentre string
	Distance   time.Duration // one-way network latency from the front proxy's data centre
	Leaving    bool          // receives no new requests: it is leaving, or its data centre is out of service
	Excluded   bool          // not eligible for this request: already tried, not connected, or serves another model

	// The last report of the sidecar, and its age. ReportAge is NoReport before the first.
	ReportAge  time.Duration
	Cold       bool
	Limit      int     // number of requests that the sidecar admits at once; 0 if unknown
	Running    int     // number of running requests
	Waiting    int     // number of queued requests
	StepMillis float64 // time of the engine's last step
	CacheUsed  float64 // fraction of KV cache memory in use, 0 to 1

	// This front proxy's own requests.
	OwnInFlight    int // in flight
	OwnSinceReport int // sent minus finished since the last report

	// What all front proxies together have at the server, as far as known; see package cost.
	Work        time.Duration // server time that is left of the requests
	MemoryHeld  int           // tokens that the requests hold at their ends
	MemoryTotal int           // tokens that the server can hold; 0 if unknown
	// Slowness is the factor by which work takes longer than usual at the server; 0 if
	// unknown. Others wait for a slow server if their passes are one.
	Slowness float64
}

// Load estimates the number of requests now at the backend server: that of the
// last report, corrected for the front proxy's own requests sent and finished
// since.
func (c *Candidate) Load() int {
	return max(c.Running+c.Waiting+c.OwnSinceReport, c.OwnInFlight)
}

// Slow returns Slowness, or 1 for a server that works as fast as usual or is not known to
// be slow.
func (c *Candidate) Slow() float64 { return max(c.Slowness, 1) }

// Usable reports whether c may be picked.
func (c *Candidate) Usable() bool { return !c.Leaving && !c.Excluded }

// Full reports whether the estimated load has reached the sidecar's limit, so
// that the sidecar would probably refuse another request.
func (c *Candidate) Full() bool { return c.Limit > 0 && c.Load() >= c.Limit }

// memoryReserve is the share of a server's memory that is left to requests that other
// front proxies have sent but not yet reported, and to those that become longer than
// expected. Requests that exceed the rest of the memory by themselves may use it, since
// a server that holds nothing is rare under load.
const memoryReserve = 0.2

// Fits reports whether the request fits into the server's memory beside those that it
// holds, as far as that is known.
func (c *Candidate) Fits(req *Request) bool {
	if c.MemoryTotal <= 0 || c.MemoryHeld == 0 && req.Memory <= c.MemoryTotal {
		return true
	}
	limit := (1 - memoryReserve) * float64(c.MemoryTotal)
	if float64(req.Memory) > limit {
		limit = float64(c.MemoryTotal)
	}
	return float64(c.MemoryHeld+req.Memory) <= limit
}

// Request holds the properties of a request that a Picker may use.
type Request struct {
	Organisation string
	Session      string
	Prefix       uint64 // hash of the session, or of the start of the prompt; 0 for none
	Priority     api.Priority
	Model        string
	Budget       time.Duration // time left until the caller's deadline
	Memory       int           // expected tokens held at the request's end; 0 if unknown
	Work         time.Duration // expected server time; 0 if unknown
}

// Feedback is the outcome of an attempt at a picked candidate.
type Feedback struct {
	Candidate  string
	Session    string
	Code       api.Code
	FirstToken time.Duration // from sending the request to the first chunk; 0 if none arrived
	Total      time.Duration
}

// Picker implements a routing policy. A Picker is not safe for concurrent use.
type Picker interface {
	// Pick returns the index of the chosen candidate; ok is false if none is
	// usable. It must not keep either argument. It may pick a full candidate,
	// since the sidecar decides on admission.
	Pick(req *Request, candidates []Candidate) (index int, ok bool)
	// Done reports the end of an attempt.
	Done(f Feedback)
}

// HashName returns the hash of a server name for Candidate.Hash.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Fingerprint identifies a request by its content, so that one that is sent again
// unchanged has the same fingerprint.
func Fingerprint(method, path, organisation string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, path, organisation} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	d.Write(body)
	return d.Sum64()
}

// Mix combines two hashes into one with well distributed bits.
func Mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// TrialCandidate returns the candidate at which a request with the verdict
// admit.RunAlone runs: the first usable one in the rendezvous order of its
// fingerprint, so that all front proxies choose the same one. ok is false if
// none is usable.
func TrialCandidate(fingerprint uint64, candidates []Candidate) (index int, ok bool) {
	best, bestScore := 0, uint64(0)
	for i := range candidates {
		if !candidates[i].Usable() {
			continue
		}
		score := Mix(fingerprint, candidates[i].Hash)
		if !ok || score > bestScore {
			best, bestScore, ok = i, score, true
		}
	}
	return best, ok
}
