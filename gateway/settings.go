// Package gateway is the front that forwards callers' requests straight to
// backend servers. It is stateless: what it believes comes from the platform's
// store and from what it sees itself.
//
// Decisions are in packages of their own: fleet (what is believed), pace (how
// much runs and who waits), route (which server) and admit (retries). This
// package is the loop around them.
package gateway

import "time"

// Settings are what one process learns from its settings file.
type Settings struct {
	Instance    string
	DataCentre  string
	Address     string // of the instance, without a port
	Listen      string // where callers connect
	ReadyAddr   string // where the platform asks whether the instance is ready
	PeerPort    int    // UDP port between instances
	MemoryLimit int64  // bytes that the process may use; 0 for no limit
	Bounds      Bounds
}

// Bounds are the promises of a deployment, with its figures.
type Bounds struct {
	DrainBound       time.Duration // a leaving server gets no work later than this after it said so
	GracePeriod      time.Duration // from SIGTERM to SIGKILL
	RevocationBound  time.Duration // a withdrawn key is refused after this
	StrictRevocation bool          // Revoke binds also instances that are cut off
	RetryRatio       float64       // retries for each request, of all instances
	RetryBurst       float64       // retries beyond that, of all instances, over some seconds
}

// HeaderNames are the headers by which callers, backend servers and this system
// tell each other of a request. The adapter supplies them.
type HeaderNames struct {
	RequestID    string
	Deadline     string   // milliseconds that the caller, or the sender, will wait
	Key          string   // the caller's API key
	Organisation string   // set towards servers
	ExpectServer string   // id of the server that is meant; others refuse
	NotExecuted  string   // in an answer: the server did not run the request
	AtServer     string   // in a refusal: the server at fault
	Seal         string   // in an answer: proof that it is the server's
	LastEvent    string   // id after which a stream goes on
	Reserved     []string // further headers that callers may not set
}
