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

// recentRefusal is the refusal of a request whose expected wait exceeded its longest wait, or
// the decision that a request isn't expected to be on time.
type recentRefusal struct {
	priority, step int
	// late is true if the request was refused as a late one.
	late bool
	// longest is the longest wait with which it would have been queued, as late or on time.
	longest time.Duration
	// until is when it is forgotten.
	until time.Time
}

// covers reports whether a request is no more urgent than the refused one and can wait no
// longer. Requests that can be on time and late ones don't cover each other.
func (r *recentRefusal) covers(o *recentRefusal) bool {
	return o.late == r.late && o.priority >= r.priority && o.step >= r.step && float64(o.longest) <= refusalTolerance*float64(r.longest)
}

// refusalOf returns the refusal of a request that can wait for longest.
func refusalOf(w *Waiting, longest time.Duration) recentRefusal {
	return recentRefusal{priority: w.Priority, step: w.account.step, late: w.late, longest: longest}
}

// recentRefusals are the latest refusals, oldest first.
type recentRefusals []recentRefusal

// record remembers the refusal of a request that can wait for longest, in place of those
// that it covers.
func (r *recentRefusals) record(w *Waiting, longest time.Duration, now time.Time) {
	n := refusalOf(w, longest)
	n.until = now.Add(longest / refusalDivisor)
	*r = slices.DeleteFunc(*r, func(o recentRefusal) bool { return !now.Before(o.until) || n.covers(&o) })
	if len(*r) >= maxRecentRefusals {
		*r = slices.Delete(*r, 0, 1)
	}
	*r = append(*r, n)
}

// remaining returns for how long requests such as this one are still refused, 0 if they
// aren't.
func (r recentRefusals) remaining(w *Waiting, longest time.Duration, now time.Time) time.Duration {
	var remaining time.Duration
	asked := refusalOf(w, longest)
	for i := range r {
		if r[i].covers(&asked) {
			remaining = max(remaining, r[i].until.Sub(now))
		}
	}
	return remaining
}
