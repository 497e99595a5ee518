package admit

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Settings of ServerRests.
const (
	// maxRestReturnSpread is the longest span after the end of a rest over which the
	// callers refused during it return.
	maxRestReturnSpread = 2 * time.Second
	// A server that turns requests away without asking for rest, or whose rest has ended,
	// is tried at intervals that double from the first to the second.
	minTrialInterval = 500 * time.Millisecond
	maxTrialInterval = 4 * time.Second
	// restTTL is how long a server is remembered after its rest or its last refusal if no
	// answer follows.
	restTTL           = time.Minute
	maxRestingServers = 4096
)

// ServerRests keeps which backend servers turn requests away, and the rests that they ask
// for: times in which a server wants no requests from this gateway. What a server asks
// of one gateway does not concern the others. A ServerRests is not safe for concurrent use.
//
// A rest belongs to one incarnation of a server and stands to its end, whatever the
// server answers or asks for meanwhile, and however the directory changes. From then on,
// or from the refusal on if the server has not asked for rest, it is tried with single
// requests until it has accepted one.
type ServerRests struct {
	source *rand.Rand
	rests  map[ServerIncarnation]serverRest
}

// serverRest is the state of a server whose newest answer turned a request away.
type serverRest struct {
	until    time.Duration
	length   time.Duration // as asked for
	trial    time.Duration // when the next request may try the server
	interval time.Duration // from that trial to the next
}

// NewServerRests returns a ServerRests without rests. source draws the jitter of
// RetryAfter.
func NewServerRests(source *rand.Rand) *ServerRests {
	return &ServerRests{source: source, rests: make(map[ServerIncarnation]serverRest)}
}

// Empty reports whether no server is known to turn requests away.
func (r *ServerRests) Empty() bool { return len(r.rests) == 0 }

// TurnedAway records that a server has turned a request away and wants none for length,
// which may be 0. It reports whether the server rests longer than was known.
func (r *ServerRests) TurnedAway(server ServerIncarnation, length, now time.Duration) (longer bool) {
	rest, known := r.rests[server]
	if !known && len(r.rests) >= maxRestingServers {
		r.dropFirst()
	}
	if !known {
		rest.interval = minTrialInterval
	}
	if longer = length > 0 && now+length > rest.until; longer {
		rest.until, rest.length, rest.trial = now+length, length, 0
	}
	rest.until = max(rest.until, now)
	rest.trial = max(rest.until, rest.trial, now+minTrialInterval)
	r.rests[server] = rest
	return longer
}

// dropFirst drops the server whose rest ends first or has ended longest ago.
func (r *ServerRests) dropFirst() {
	var first ServerIncarnation
	for server, rest := range r.rests {
		if f, ok := r.rests[first]; !ok || cmp.Or(cmp.Compare(rest.until, f.until), cmp.Compare(server.ID, first.ID)) < 0 {
			first = server
		}
	}
	delete(r.rests, first)
}

// Allows reports whether the server may get a request now.
func (r *ServerRests) Allows(server ServerIncarnation, now time.Duration) bool {
	return now >= r.rests[server].until
}

// Prefers reports whether the server should get a request while others can take it. A
// server that has turned one away gets the first attempt of a request now and then, and
// no repeat: it may do so again.
func (r *ServerRests) Prefers(server ServerIncarnation, repeat bool, now time.Duration) bool {
	rest, known := r.rests[server]
	return !known || !repeat && now >= rest.trial
}

// Sent records that a request is being sent to the server.
func (r *ServerRests) Sent(server ServerIncarnation, now time.Duration) {
	if rest, known := r.rests[server]; known {
		rest.trial = now + rest.interval
		rest.interval = min(2*rest.interval, maxTrialInterval)
		r.rests[server] = rest
	}
}

// Accepted records that the server has answered a request that it has not turned away.
// It reports whether that ends the trials of the server.
func (r *ServerRests) Accepted(server ServerIncarnation, now time.Duration) (ended bool) {
	rest, known := r.rests[server]
	if !known || now < rest.until { // the request was sent before the rest
		return false
	}
	delete(r.rests, server)
	return true
}

// Resting returns the number of the servers that rest.
func (r *ServerRests) Resting(servers []ServerIncarnation, now time.Duration) int {
	n := 0
	for _, server := range servers {
		if !r.Allows(server, now) {
			n++
		}
	}
	return n
}

// RetryAfter returns when the caller of a request should return that was refused because
// of rests; 0 if no server rests. Callers return after the first rest has ended, spread
// over a time as long as that rest, so that they do not come all at once.
func (r *ServerRests) RetryAfter(servers []ServerIncarnation, now time.Duration) time.Duration {
	var first serverRest
	for _, server := range servers {
		if rest := r.rests[server]; rest.until > now && (first.until == 0 || rest.until < first.until) {
			first = rest
		}
	}
	if first.until == 0 {
		return 0
	}
	spread := min(first.length, maxRestReturnSpread)
	return first.until - now + time.Duration(r.source.Float64()*float64(spread))
}

// Prune drops the rests that ended long ago. It is called periodically.
func (r *ServerRests) Prune(now time.Duration) {
	for server, rest := range r.rests {
		if now >= rest.until+restTTL {
			delete(r.rests, server)
		}
	}
}
