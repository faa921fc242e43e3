package admit

import (
	"slices"
	"time"
)

const (
	// refusalDivisor divides the longest wait of a refused request to give the time for which
	// similar requests are refused too. The queue drains meanwhile. Without it, each place
	// that becomes free goes to the caller that asks most often.
	refusalDivisor = 6
	// refusalTolerance is the factor by which the longest wait of a similar request may exceed
	// that of the refused one.
	refusalTolerance = 1.1
	// maxRecentRefusals bounds the refusals that are remembered.
	maxRecentRefusals = 16
)

// recentRefusal is the refusal of a request whose expected wait exceeded its longest wait.
type recentRefusal struct {
	priority, step int
	longest        time.Duration
	// until is when it is forgotten.
	until time.Time
}

// covers reports whether a request is no more urgent than the refused one and can wait no
// longer.
func (r *recentRefusal) covers(priority, step int, longest time.Duration) bool {
	return priority >= r.priority && step >= r.step && float64(longest) <= refusalTolerance*float64(r.longest)
}

// recentRefusals are the latest refusals, oldest first.
type recentRefusals []recentRefusal

// record remembers the refusal of a request that can wait for longest, in place of those
// that it covers.
func (r *recentRefusals) record(w *Waiting, longest time.Duration, now time.Time) {
	n := recentRefusal{priority: w.Priority, step: w.account.step, longest: longest, until: now.Add(longest / refusalDivisor)}
	*r = slices.DeleteFunc(*r, func(o recentRefusal) bool { return !now.Before(o.until) || n.covers(o.priority, o.step, o.longest) })
	if len(*r) >= maxRecentRefusals {
		*r = slices.Delete(*r, 0, 1)
	}
	*r = append(*r, n)
}

// remaining returns for how long requests such as this one are still refused, 0 if they
// aren't.
func (r recentRefusals) remaining(w *Waiting, longest time.Duration, now time.Time) time.Duration {
	var remaining time.Duration
	for i := range r {
		if r[i].covers(w.Priority, w.account.step, longest) {
			remaining = max(remaining, r[i].until.Sub(now))
		}
	}
	return remaining
}
