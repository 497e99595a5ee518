package admit

import "math"

// RetryBudget limits the retries of a front proxy to a ratio of its first
// attempts, so that failures cannot multiply the load. It is not safe for
// concurrent use.
type RetryBudget struct {
	deposit    int // thousandths of a retry added by one first attempt
	maxBalance int // in thousandths of a retry
	balance    int // in thousandths of a retry
}

// retryCost is the cost of one retry in thousandths.
const retryCost = 1000

// NewRetryBudget returns a full budget. ratio is Limits.RetryBudget, the
// retries allowed per first attempt; burst is the number of retries that a full
// budget allows at once.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	maxBalance := burst * retryCost
	return &RetryBudget{deposit: int(math.Round(ratio * retryCost)), maxBalance: maxBalance, balance: maxBalance}
}

// Deposit credits the budget for one first attempt.
func (b *RetryBudget) Deposit() {
	b.balance = min(b.maxBalance, b.balance+b.deposit)
}

// TryWithdraw takes one retry from the budget and reports whether one was
// available. If not, the request must not be retried and its caller gets the
// error of the last attempt.
func (b *RetryBudget) TryWithdraw() bool {
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}

// Balance returns the number of retries available now.
func (b *RetryBudget) Balance() int { return b.balance / retryCost }

// RetryBudgets keeps a separate RetryBudget per organisation, so that the
// failures of one organisation do not use up the retries of another. It is not
// safe for concurrent use.
type RetryBudgets struct {
	ratio         float64
	burst         int
	organisations map[string]*RetryBudget
}

// NewRetryBudgets returns an empty set of budgets; ratio and burst apply to each
// and are those of NewRetryBudget. Budgets are never removed, so the caller must
// only ask for a bounded set of names, such as the organisations of the service
// configuration.
func NewRetryBudgets(ratio float64, burst int) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, burst: burst, organisations: map[string]*RetryBudget{}}
}

// Get returns the organisation's budget and creates it if needed.
func (b *RetryBudgets) Get(organisation string) *RetryBudget {
	budget, ok := b.organisations[organisation]
	if !ok {
		budget = NewRetryBudget(b.ratio, b.burst)
		b.organisations[organisation] = budget
	}
	return budget
}
