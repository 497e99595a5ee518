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

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// TryWithdraw takes one retry from the budget; false means that none is left, and
// the request gets its final answer (api.RetryBudget) now.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < oneRetry {
		return false
	}
	b.tokens -= oneRetry
	return true
}

// Balance returns the retries that could be made now.
func (b *RetryBudget) Balance() int { return b.tokens / oneRetry }

// RetryBudgets keeps one RetryBudget for each organisation, so that the
// failures of one do not spend the retries of another. It is not safe for
// concurrent use.
type RetryBudgets struct {
	ratio         float64
	burst         int
	organisations map[string]*RetryBudget
}

// NewRetryBudgets returns budgets that are each set as by NewRetryBudget. The
// number of names that it is asked for must be bounded, as that of the
// document's organisations is.
func NewRetryBudgets(ratio float64, burst int) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, burst: burst, organisations: map[string]*RetryBudget{}}
}

// Get returns the organisation's budget.
func (b *RetryBudgets) Get(organisation string) *RetryBudget {
	budget, ok := b.organisations[organisation]
	if !ok {
		budget = NewRetryBudget(b.ratio, b.burst)
		b.organisations[organisation] = budget
	}
	return budget
}
