package entry

import "sync"

// budget allows extra attempts up to a percentage of the requests seen. It
// starts with, and saves up to, burst extra attempts, so that an entry with
// little traffic can still move a request.
type budget struct {
	mu     sync.Mutex
	tokens float64
	burst  float64
}

func newBudget(burst float64) *budget { return &budget{tokens: burst, burst: burst} }

// earn credits one request at the given percentage. A percentage of 0 allows
// nothing, not even what was saved up.
func (b *budget) earn(percent int) {
	b.mu.Lock()
	if percent == 0 {
		b.tokens = 0
	}
	b.tokens = min(b.burst, b.tokens+float64(percent)/100)
	b.mu.Unlock()
}

// spend takes one extra attempt and returns false when none is left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns an extra attempt that turned out not to count.
func (b *budget) refund() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+1)
	b.mu.Unlock()
}

// budgetBurst is the number of extra attempts that may come at once: an agent
// with 5 engines of 16 requests each leaves 80 when it dies or is paused.
const budgetBurst = 96

// budgets are the extra attempts of one service.
type budgets struct {
	retry, hedge    *budget
	streamed, whole *tail
	// gaps predicts the longest of gapBlock gaps between the tokens of a stream.
	gaps *tail
}

// budgetsOf returns the budgets of a service.
func (s *Server) budgetsOf(service string) *budgets {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		b = &budgets{retry: newBudget(budgetBurst), hedge: newBudget(budgetBurst), streamed: newTail(tailDefault, tailMin), whole: newTail(tailDefault, tailMin),
			gaps: newTail(gapDefault, 0)}
		s.budgets[service] = b
	}
	return b
}
