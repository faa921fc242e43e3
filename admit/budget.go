package admit

import "sync"

// budgetBurst is the number of repeats a budget saves up at most. Without a
// bound, an hour without errors would allow a storm of retries.
const budgetBurst = 10

// Budget allows repeated work up to a percentage of the traffic. Methods are
// safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	percent int
	// saved is in hundredths of a repeat.
	saved int
}

// NewBudget returns a budget of percent repeats per hundred requests. It
// starts with one repeat, so that the first failure after a start is retried.
func NewBudget(percent int) *Budget {
	b := &Budget{percent: percent}
	if percent > 0 {
		b.saved = 100
	}
	return b
}

// Earn records a first attempt of a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.percent, budgetBurst*100)
}

// Spend takes one repeat out of the budget. It returns false when none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 100 {
		return false
	}
	b.saved -= 100
	return true
}
