package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit that converges to a value that is too high or too low:
// the engine's token gap grows by 4 ms per request, so 16 requests meet the target.
func TestLimiterConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, start := range []int{2, 100} {
			l := NewLimiter(1, 128, start)
			low, high := 128, 0
			for i := range 20_000 {
				n := l.Limit()
				gap := time.Duration(n) * 4 * time.Millisecond
				time.Sleep(gap / time.Duration(n))
				l.Observe(gap, n)
				if i > 10_000 {
					low, high = min(low, n), max(high, n)
				}
			}
			is.True(low >= 13 && high <= 17)
		}
		idle := NewLimiter(1, 128, 8)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			idle.Observe(time.Millisecond, 1)
		}
		is.Equal(idle.Limit(), 8) // an unused limit must not grow
	})
}
