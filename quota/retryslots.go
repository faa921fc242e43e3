package quota

import (
	"math"
	"time"
)

const (
	minRetry = 50 * time.Millisecond
	maxRetry = 10 * time.Second
	// goldenRatio spreads successive multiples evenly over an interval.
	goldenRatio = 0.6180339887498949
)

// retrySlots spreads the returns of an account's refused requests.
type retrySlots struct {
	// until is the end of the slots given so far.
	until time.Time
	given uint64
}

// next returns when a refused request may return: after the wait for capacity and the slots
// of the requests refused before. slot is the time in which the rate yields the cost, and
// phase, from 0 to 1, sets gateways apart within a slot. Waits beyond the maximum are spread
// over the upper half of it, since one bound for all would bring the callers back together.
func (s *retrySlots) next(wait, slot, phase float64, now time.Time) time.Duration {
	s.given++
	queued := max(s.until.Sub(now).Seconds(), 0)
	total := wait + queued + phase*slot
	if !(total < maxRetry.Seconds()) {
		return spreadRetry(s.given, phase)
	}
	s.until = now.Add(seconds(queued + slot))
	return max(seconds(total), minRetry)
}

// spreadRetry returns a wait in the upper half of the longest one.
func spreadRetry(given uint64, phase float64) time.Duration {
	_, part := math.Modf(float64(given)*goldenRatio + phase)
	return maxRetry/2 + seconds(part*maxRetry.Seconds()/2)
}

// seconds converts a time in seconds, bounded to the longest wait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetry.Seconds()) * float64(time.Second))
}
