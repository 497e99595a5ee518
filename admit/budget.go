package admit

import "math"

// RetryBudget bounds the retries and hedges of an entry to a share of its
// first attempts, so that failures cannot multiply the load. It is not safe
// for concurrent use.
type RetryBudget struct {
	ratio  int // thousandths of a retry earned by one first attempt
	burst  int // most thousandths that can be saved up
	tokens int
}

// oneRetry is the price of a retry in thousandths.
const oneRetry = 1000

// NewRetryBudget returns a full budget. ratio is Limits.RetryBudget; burst is
// the number of retries that may be made at once.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	tokens := burst * oneRetry
	return &RetryBudget{ratio: int(math.Round(ratio * oneRetry)), burst: tokens, tokens: tokens}
}

// First counts a first attempt.
func (b *RetryBudget) First() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Retry takes one retry from the budget; false means that none is left, and
// the request gets its final answer (api.RetryBudget) now.
func (b *RetryBudget) Retry() bool {
	if b.tokens < oneRetry {
		return false
	}
	b.tokens -= oneRetry
	return true
}

// Left returns the retries that could be made now.
func (b *RetryBudget) Left() int { return b.tokens / oneRetry }
