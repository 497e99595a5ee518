package admit

import (
	"math/rand/v2"
	"time"
)

// Settings of the Retry-After of refusals.
const (
	// returnShare is the part of the service rate at which refused callers are asked back.
	returnShare = 0.5
	// minReturn and maxReturn bound a Retry-After.
	minReturn = 500 * time.Millisecond
	maxReturn = 60 * time.Second
	// returnJitter is the spread of a Retry-After about its booked time, as a share of it.
	returnJitter = 0.25
)

// returns spreads the callers that were refused: each books the next free
// place on a timeline that runs at a part of the service rate.
type returns struct {
	source *rand.Rand
	next   time.Duration // first place not yet booked
}

// book returns the Retry-After of one refusal; rate is the number of requests
// a second that are served.
func (r *returns) book(now time.Duration, rate float64) time.Duration {
	step := time.Duration(float64(time.Second) / (returnShare * rate))
	r.next = max(r.next, now+minReturn) + step
	wait := min(r.next-now, maxReturn)
	if wait == maxReturn {
		r.next = now + maxReturn
	}
	jitter := 1 + returnJitter*(2*r.source.Float64()-1)
	return time.Duration(jitter * float64(wait))
}
