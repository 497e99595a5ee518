package gateway

import (
	"sync"
	"time"

	"marjorampitch/api"
)

// Retry-After values of an instance that cannot serve itself: it has just started,
// has lost the store or is leaving.
const (
	// peerRetryAfter applies while a peer is known to serve: the platform sends a
	// caller that returns to another instance.
	peerRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter applies otherwise. It is longer, because callers return only
	// a few times.
	notReadyRetryAfter = 600 * time.Millisecond
)

// retryElsewhere returns the error of an instance that cannot serve the request
// itself.
func (g *Gateway) retryElsewhere(code api.Code, detail string) *api.Error {
	e := api.NewError(code, detail)
	e.RetryAfter = notReadyRetryAfter
	if g.peers.serving.any(g.now()) {
		e.RetryAfter = peerRetryAfter
	}
	return e
}

// servingReportTTL is how long a peer counts as serving after it has said so. A peer
// with streams reports several times a second.
const servingReportTTL = time.Second

// servingPeers records which peers have reported that they accept new requests. It
// is safe for concurrent use.
type servingPeers struct {
	mu sync.Mutex               // guards at
	at map[string]time.Duration // time of the last such report, by instance
}

// record records a peer's report.
func (s *servingPeers) record(instance string, serving bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !serving {
		delete(s.at, instance)
		return
	}
	s.at[instance] = now
}

// any reports whether some peer accepts new requests.
func (s *servingPeers) any(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.at {
		if now-at <= servingReportTTL {
			return true
		}
	}
	return false
}
