package admit

import (
	"sync"
	"time"
)

// TokenGapTarget is the longest time between tokens that 95 of 100 should
// have; source: the design size.
const TokenGapTarget = 64 * time.Millisecond

const (
	// slowShare is the share of gaps over the target that makes the limit fall.
	slowShare = 0.05
	// minSamples are needed for the share to tell 5% from noise.
	minSamples = 60
	// adjustInterval is the shortest time between two changes of the limit; it
	// lets the effect of the previous change reach the samples.
	adjustInterval = 500 * time.Millisecond
	// decrease is the factor of a fall.
	decrease = 0.85
)

// Limiter is a concurrency limit that rises by one while tokens are on time
// and the limit is in use, and falls by 15% when more than 5% of them are
// late. Methods are safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	min, max int
	target   time.Duration
	limit    float64
	samples  int
	slow     int
	busy     bool
	changed  time.Time
}

// NewLimiter returns a limiter that starts at start and stays within min and max.
func NewLimiter(min, max, start int) *Limiter {
	return &Limiter{min: min, max: max, target: TokenGapTarget, limit: float64(start), changed: time.Now()}
}

// Limit returns the number of requests to run at once.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Configure sets the bounds and the longest time between tokens that 95 of 100
// should have. It returns the limit, which is moved into the bounds.
func (l *Limiter) Configure(low, high int, target time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.min, l.max, l.target = low, high, target
	l.limit = max(float64(low), min(float64(high), l.limit))
	l.samples, l.slow = 0, 0
	return int(l.limit)
}

// Observe records the time between two tokens while running requests were
// running. It returns the limit and whether it changed.
func (l *Limiter) Observe(gap time.Duration, running int) (limit int, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples++
	if gap > l.target {
		l.slow++
	}
	before := int(l.limit)
	l.busy = l.busy || running >= before
	if l.samples >= minSamples && time.Since(l.changed) >= adjustInterval {
		l.adjust()
	}
	return int(l.limit), int(l.limit) != before
}

func (l *Limiter) adjust() {
	switch {
	case float64(l.slow) > slowShare*float64(l.samples):
		l.limit = max(float64(l.min), l.limit*decrease)
	case l.busy:
		l.limit = min(float64(l.max), l.limit+1)
	}
	l.samples, l.slow, l.busy = 0, 0, false
	l.changed = time.Now()
}
