package admit

import (
	"math/rand/v2"
	"time"
)

// Settings of the Retry-After of refusals.
const (
	// returnShare is the part of the service rate at which refused callers are asked back.
	returnShare = 0.3
	// minReturn and maxReturn bound a Retry-After.
	minReturn = 500 * time.Millisecond
	maxReturn = 60 * time.Second
	// returnJitter is the spread of a Retry-After about its booked time, as a share of it.
	returnJitter = 0.25
	// maxTimelines is the number of timelines beyond which idle ones are forgotten.
	maxTimelines = 1024
)

// returns spreads the callers that were refused: each books the next free
// place on its organisation's timeline, which runs at a part of the rate at
// which the organisation is served under overload.
type returns struct {
	source *rand.Rand
	next   map[string]time.Duration // first place not yet booked, by organisation
}

func newReturns(source *rand.Rand) returns {
	return returns{source: source, next: map[string]time.Duration{}}
}

// book returns the Retry-After of one refusal; rate is the number of the
// organisation's requests that are served in a second.
func (r *returns) book(now time.Duration, organisation string, rate float64) time.Duration {
	if len(r.next) >= maxTimelines {
		r.purge(now)
	}
	step := time.Duration(float64(time.Second) / (returnShare * rate))
	next := max(r.next[organisation], now+minReturn) + step
	next = min(next, now+maxReturn)
	r.next[organisation] = next
	jitter := 1 + returnJitter*(2*r.source.Float64()-1)
	return time.Duration(jitter * float64(next-now))
}

// purge forgets the timelines with nothing booked.
func (r *returns) purge(now time.Duration) {
	for organisation, next := range r.next {
		if next <= now+minReturn {
			delete(r.next, organisation)
		}
	}
}
