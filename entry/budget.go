package entry

import "sync"

// budget is a token bucket that limits extra attempts to a percentage of the
// requests. It starts full and holds at most burst tokens, so that an entry with
// little traffic can still retry a request.
type budget struct {
	mu     sync.Mutex
	tokens float64
	burst  float64
}

func newBudget(burst float64) *budget { return &budget{tokens: burst, burst: burst} }

// earn credits one request at the given percentage. A percentage of 0 empties
// the bucket.
func (b *budget) earn(percent int) {
	b.mu.Lock()
	if percent == 0 {
		b.tokens = 0
	}
	b.tokens = min(b.burst, b.tokens+float64(percent)/100)
	b.mu.Unlock()
}

// spend consumes the token of one extra attempt. It returns false if there is
// none.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of an extra attempt that is not charged after all.
func (b *budget) refund() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+1)
	b.mu.Unlock()
}

// budgetBurst is the number of extra attempts allowed at once. An agent with 5
// engines of 16 requests each leaves 80 requests to retry when it fails or is
// paused.
const budgetBurst = 96

// budgets holds the budgets and latency estimates of one service.
type budgets struct {
	// retry limits attempts after a failure; hedge limits hedged attempts and
	// moves of silent streams.
	retry, hedge          *budget
	streamed, nonStreamed *tailEstimator
	// longestGap estimates the longest of gapBlockSize gaps between the tokens of
	// a stream.
	longestGap *tailEstimator
}

// budgetsOf returns the budgets of a service and creates them on first use.
func (s *Server) budgetsOf(service string) *budgets {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		b = &budgets{retry: newBudget(budgetBurst), hedge: newBudget(budgetBurst), streamed: newTailEstimator(tailDefault, tailMin), nonStreamed: newTailEstimator(tailDefault, tailMin),
			longestGap: newTailEstimator(defaultLongestGap, 0)}
		s.budgets[service] = b
	}
	return b
}
