package admit

import "sync"

// maxSavedRetries bounds the retries that a budget accumulates. Without a bound,
// an hour without errors would allow a retry storm.
const maxSavedRetries = 10

// Budget is a retry budget: it limits retries to a percentage of the requests.
// Methods are safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	percent int
	// balance is the available budget in hundredths of a retry.
	balance int
}

// NewBudget returns a budget of percent retries per hundred requests. It starts
// with one retry, so that the first failure after a process start is retried.
func NewBudget(percent int) *Budget {
	b := &Budget{percent: percent}
	if percent > 0 {
		b.balance = 100
	}
	return b
}

// Earn credits the budget for a request. It is called once per request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.percent, maxSavedRetries*100)
}

// Spend withdraws one retry. It returns false when the budget is exhausted.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 100 {
		return false
	}
	b.balance -= 100
	return true
}
