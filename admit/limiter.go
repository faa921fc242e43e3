package admit

import (
	"sync"
	"time"
)

// TokenGapTarget is the default target for the 95th percentile of the time
// between tokens. It is the value that the design specifies.
const TokenGapTarget = 64 * time.Millisecond

const (
	// maxLateShare is the share of gaps above the target beyond which the limit is
	// decreased.
	maxLateShare = 0.05
	// minGapSamples is the number of gaps needed to distinguish a share of 5% from
	// noise.
	minGapSamples = 60
	// adjustInterval is the minimum time between two changes of the limit, so that
	// the samples reflect the effect of the previous change.
	adjustInterval = 500 * time.Millisecond
	// decreaseFactor is the factor of a multiplicative decrease.
	decreaseFactor = 0.85
)

// Limiter is an additive-increase, multiplicative-decrease concurrency limit. It
// increases by one while tokens are on time and the limit is reached, and
// decreases by 15% when more than 5% of the tokens are late. Methods are safe for
// concurrent use.
type Limiter struct {
	mu        sync.Mutex
	min, max  int
	target    time.Duration
	limit     float64
	samples   int
	late      int
	saturated bool
	changed   time.Time
}

// NewLimiter returns a limiter with the initial limit start and the bounds min and
// max, inclusive.
func NewLimiter(min, max, start int) *Limiter {
	return &Limiter{min: min, max: max, target: TokenGapTarget, limit: float64(start), changed: time.Now()}
}

// Limit returns the number of requests that may run concurrently.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Configure sets the bounds of the limit and the target for the 95th percentile
// of the time between tokens. It clamps the limit to the bounds and returns it.
func (l *Limiter) Configure(low, high int, target time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.min, l.max, l.target = low, high, target
	l.limit = max(float64(low), min(float64(high), l.limit))
	l.samples, l.late = 0, 0
	return int(l.limit)
}

// Observe records the time between two tokens of a response and the number of
// requests that were running. It returns the limit and whether it changed.
func (l *Limiter) Observe(gap time.Duration, running int) (limit int, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples++
	if gap > l.target {
		l.late++
	}
	before := int(l.limit)
	l.saturated = l.saturated || running >= before
	if l.samples >= minGapSamples && time.Since(l.changed) >= adjustInterval {
		l.adjust()
	}
	return int(l.limit), int(l.limit) != before
}

func (l *Limiter) adjust() {
	switch {
	case float64(l.late) > maxLateShare*float64(l.samples):
		l.limit = max(float64(l.min), l.limit*decreaseFactor)
	case l.saturated:
		l.limit = min(float64(l.max), l.limit+1)
	}
	l.samples, l.late, l.saturated = 0, 0, false
	l.changed = time.Now()
}
