package admit

import (
	"math/rand/v2"
	"time"
)

// Settings of the Retry-After of refusals.
const (
	// retryRateRatio is the rate at which refused callers are told to retry,
	// relative to the service rate.
	retryRateRatio = 0.3
	// minRetryAfter and maxRetryAfter bound a Retry-After before jitter.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// retryJitter is the largest random change of a Retry-After, relative to it.
	retryJitter = 0.25
	// maxRetrySchedules is the number of organisations beyond which idle schedules are removed.
	maxRetrySchedules = 1024
)

// retrySchedule spreads the retries of refused callers over time. Each refusal
// reserves the next free slot of its organisation. Slots follow each other at a
// fraction of the rate at which the organisation is served under overload.
type retrySchedule struct {
	source   *rand.Rand
	lastSlot map[string]time.Duration // by organisation
}

func newRetrySchedule(source *rand.Rand) retrySchedule {
	return retrySchedule{source: source, lastSlot: map[string]time.Duration{}}
}

// reserve returns the Retry-After of one refusal. rate is the number of the
// organisation's requests served per second.
func (r *retrySchedule) reserve(now time.Duration, organisation string, rate float64) time.Duration {
	if len(r.lastSlot) >= maxRetrySchedules {
		r.purge(now)
	}
	step := time.Duration(float64(time.Second) / (retryRateRatio * rate))
	next := max(r.lastSlot[organisation], now+minRetryAfter) + step
	next = min(next, now+maxRetryAfter)
	r.lastSlot[organisation] = next
	jitter := 1 + retryJitter*(2*r.source.Float64()-1)
	return time.Duration(jitter * float64(next-now))
}

// purge removes schedules that no longer delay a caller beyond the minimum Retry-After.
func (r *retrySchedule) purge(now time.Duration) {
	for organisation, next := range r.lastSlot {
		if next <= now+minRetryAfter {
			delete(r.lastSlot, organisation)
		}
	}
}
