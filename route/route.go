// Package route picks the backend server of a request. A Picker is a pure
// state machine: it holds no clock, socket or lock, and its picks depend only
// on its calls and on the random source that it was built with. Policies live
// in one folder each and register themselves by name.
package route

import (
	"time"

	"marjorampitch/api"

	"github.com/cespare/xxhash/v2"
)

// NoReport is the Age of a candidate that has not reported yet.
const NoReport time.Duration = -1

// Candidate is what an entry believes of one backend server.
type Candidate struct {
	Name       string
	Hash       uint64 // HashName(Name); Table sets it, Pickers rely on it
	DataCentre string
	Distance   time.Duration // one way, from the entry's data centre
	Leaving    bool          // takes no new work: leaving, or in a data centre taken out
	Excluded   bool          // not for this request: already tried, not connected, or other model

	// The last report of the side process, and its age. ReportAge is NoReport before the first.
	ReportAge  time.Duration
	Cold       bool
	Limit      int // requests that the side admits at once; 0 when unknown
	Running    int
	Waiting    int
	StepMillis float64
	CacheUsed  float64

	// What this entry did itself.
	OwnInFlight    int // own requests in flight
	OwnSinceReport int // own requests sent minus own finished since the report
}

// Load estimates the requests at the backend server now: the last report
// corrected for what this entry sent and saw finished since.
func (c *Candidate) Load() int {
	return max(c.Running+c.Waiting+c.OwnSinceReport, c.OwnInFlight)
}

// Usable reports whether c may be picked at all.
func (c *Candidate) Usable() bool { return !c.Leaving && !c.Excluded }

// Full reports whether the estimated load has reached the side's limit, so
// that the side would most likely refuse one more request.
func (c *Candidate) Full() bool { return c.Limit > 0 && c.Load() >= c.Limit }

// Request is what a Picker may know of a request.
type Request struct {
	Organisation string
	Session      string
	Prefix       uint64 // hash of the session, or of the prompt's leading part; 0 for none
	Priority     api.Priority
	Model        string
	Budget       time.Duration // time left until the caller's deadline
}

// Feedback tells a Picker how an attempt ended.
type Feedback struct {
	Candidate  string
	Session    string
	Code       api.Code
	FirstToken time.Duration // from sending to the first chunk; 0 when there was none
	Total      time.Duration
}

// Picker chooses among candidates. A Picker is not safe for concurrent use.
type Picker interface {
	// Pick returns the index of the chosen candidate; ok is false when none is
	// usable. It keeps neither argument. A full candidate may be picked, as the
	// side process decides.
	Pick(req *Request, candidates []Candidate) (index int, ok bool)
	// Done reports the end of an attempt.
	Done(f Feedback)
}

// HashName returns the hash that Candidate.Hash holds.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Mix returns a well distributed hash of two hashes.
func Mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// TrialCandidate returns the candidate at which a suspected request runs alone: the
// first usable one in the rendezvous order of its fingerprint, so that all
// entries name the same one.
func TrialCandidate(fingerprint uint64, candidates []Candidate) (index int, ok bool) {
	best, bestRank := 0, uint64(0)
	for i := range candidates {
		if !candidates[i].Usable() {
			continue
		}
		rank := Mix(fingerprint, candidates[i].Hash)
		if !ok || rank > bestRank {
			best, bestRank, ok = i, rank, true
		}
	}
	return best, ok
}
