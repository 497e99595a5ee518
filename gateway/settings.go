// Package gateway implements the front proxy that forwards callers' requests
// directly to backend servers. It keeps no durable state: its view of the
// deployment comes from the platform's store and from its own requests.
//
// Decisions are made in other packages: fleet (state of the deployment), pace
// (admission and queueing of streams), route (choice of a server) and admit (retry
// budget, limits and rests that servers state, requests that crash servers). This
// package connects them.
package gateway

import "time"

// Settings are the values of a process's settings file.
type Settings struct {
	Instance    string
	DataCentre  string
	Address     string // host of the instance, without a port
	Listen      string // listen address for callers
	ReadyAddr   string // listen address of the platform's readiness check
	PeerPort    int    // UDP port for load reports between instances; 0 for none
	MemoryLimit int64  // bytes; 0 for no limit
	Sockets     int    // sockets that the process may have open; 0 for no limit
	// EntryInterval is the time between two entries that a backend server writes to
	// the store; 0 for defaultEntryInterval.
	EntryInterval time.Duration
	Bounds        Bounds
}

// Sockets other than those of callers, which take half.
const (
	// otherSockets are those for listeners, the store, other instances and the runtime.
	otherSockets = 24
	// serverSocketShare is the part of the process's sockets for connections to servers,
	// without otherSockets.
	serverSocketShare = 0.5
)

// maxServerConns returns the number of connections to servers for a process with this
// number of sockets; 0 for no limit.
func maxServerConns(sockets int) int {
	if sockets <= 0 {
		return 0
	}
	return max(1, int(serverSocketShare*float64(sockets))-otherSockets)
}

// Bounds are the guarantees of a deployment.
type Bounds struct {
	DrainBound       time.Duration // a draining server gets no new work after this time
	ApplyBound       time.Duration // an accepted document is in force everywhere after this time
	GracePeriod      time.Duration // from SIGTERM to SIGKILL
	RevocationBound  time.Duration // a revoked key is refused after this time
	StrictRevocation bool          // RevocationBound also applies to partitioned instances
	RetryRatio       float64       // retries per request, over all instances
	RetryBurst       float64       // further retries within a few seconds, over all instances
}

// HeaderNames are the names of the headers exchanged with callers and backend
// servers. Package platform supplies them.
type HeaderNames struct {
	RequestID    string
	Deadline     string   // milliseconds that the sender of the request waits
	Key          string   // the caller's API key
	Organisation string   // of the caller; set on requests to servers
	ExpectServer string   // id of the intended server; other servers refuse the request
	NotExecuted  string   // in a response: the server did not execute the request
	AtServer     string   // in a refusal: id of the server at fault
	Limit        string   // in a response: requests per second that the server takes from all gateways together
	Seal         string   // in a response: proof that the backend server produced it
	LastEvent    string   // id of the event after which a stream resumes
	Priority     string   // of a request at the server, 0 to 9; 0 is the highest. Empty if servers know none
	Reserved     []string // further headers that are removed from callers' requests
}
