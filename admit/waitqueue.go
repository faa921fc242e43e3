package admit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxWaiting bounds the requests in a WaitQueue.
	MaxWaiting = 256
	// usedSteps is the number of steps in which the used shares of accounts are compared.
	// Accounts whose shares differ by a single request don't displace each other.
	usedSteps = 16
)

// waitingAccount is an account with requests in the queue.
type waitingAccount struct {
	// step is the used share of the account's quota in usedSteps.
	step     int
	requests int
}

// WaitQueue orders the requests that wait for an endpoint of a service in an overload. It
// makes decisions only; times passed to it don't decrease. The zero value is ready for use.
// It isn't safe for concurrent use.
type WaitQueue struct {
	// waiting is sorted by compare.
	waiting []*Waiting
	// nextLate is a time before which no waiting request becomes late, zero if none will.
	nextLate time.Time
	accounts map[string]*waitingAccount
	lastSeq  uint64
	drain    drainRate
	refusals recentRefusals
}

// Len returns the number of requests that wait.
func (q *WaitQueue) Len() int { return len(q.waiting) }

// MustWait reports whether a request that arrives must wait behind others: one of a more
// urgent priority, or one of the same priority whose account has not used more of its quota,
// unless the arriving request can be on time and the waiting one is late. used is the used
// share of the arriving request's account, from 0 to 1.
func (q *WaitQueue) MustWait(w *Waiting, used float64, now time.Time) bool {
	if len(q.waiting) == 0 {
		return false
	}
	q.advance(now)
	q.setUsed(w.Account, used)
	first := q.waiting[0]
	return cmp.Or(cmp.Compare(first.Priority, w.Priority), compareLate(first.late, !w.canBeOnTime(now)),
		cmp.Compare(first.account.step, usedStep(used))) <= 0
}

// Add decides whether a request waits. used is the used share of its account's quota, from
// 0 to 1. If the queue is full, the last request in order loses its place.
func (q *WaitQueue) Add(w *Waiting, used float64, now time.Time) Entry {
	q.advance(now)
	if w.LatestStart.Before(w.Until) {
		w.Until = w.LatestStart
	}
	if !now.Before(w.Until) {
		return Entry{Refused: TooLate}
	}
	q.setUsed(w.Account, used)
	w.account = q.accounts[w.Account]
	if w.account == nil {
		w.account = &waitingAccount{step: usedStep(used)}
	}
	w.seq = q.lastSeq + 1
	w.late = false // expectedOnTime takes the request's place among those that can be on time
	w.late = !w.canBeOnTime(now) || !q.expectedOnTime(w, now)
	place := q.Place(w)
	e := q.decide(w, place, now)
	if e.Refused != "" {
		w.seq = 0
		return e
	}
	if len(q.waiting) >= MaxWaiting {
		e.Evicted = q.waiting[len(q.waiting)-1]
		q.Remove(e.Evicted, now)
	}
	q.insert(w, place)
	return e
}

// expectedOnTime reports whether a request that isn't late yet is expected to be sent on time.
// If one isn't, similar ones aren't for some time either, as after a refusal.
func (q *WaitQueue) expectedOnTime(w *Waiting, now time.Time) bool {
	if w.OnTimeUntil.IsZero() {
		return true
	}
	longest := min(w.OnTimeUntil.Sub(now), w.Until.Sub(now))
	if q.refusals.remaining(w, longest, now) > 0 {
		return false
	}
	if q.drain.timeFor(q.Place(w)) <= longest {
		return true
	}
	q.refusals.record(w, longest, now)
	return false
}

// decide decides on a request that would have a place in the queue.
func (q *WaitQueue) decide(w *Waiting, place int, now time.Time) Entry {
	e := Entry{Place: place, Expected: q.drain.timeFor(place)}
	if !w.late && !w.OnTimeUntil.IsZero() && place < MaxWaiting {
		return e // expectedOnTime has found the expected wait short enough
	}
	longest := w.Until.Sub(now)
	remaining := q.refusals.remaining(w, longest, now)
	switch {
	case remaining > 0:
		e.Refused, e.Expected = LongQueue, max(e.Expected, remaining)
		return e
	case e.Expected > longest:
		e.Refused = LongQueue
	case place >= MaxWaiting:
		e.Refused = QueueFull
	default:
		return e
	}
	q.refusals.record(w, longest, now)
	return e
}

// insert adds a request at a place.
func (q *WaitQueue) insert(w *Waiting, place int) {
	if q.accounts == nil {
		q.accounts = map[string]*waitingAccount{}
	}
	q.lastSeq = w.seq
	if a := q.accounts[w.Account]; a != nil {
		w.account = a
	}
	q.accounts[w.Account] = w.account
	w.account.requests++
	q.waiting = slices.Insert(q.waiting, place, w)
	q.expectLate(w)
}

// Next returns the first requests in order, at most n. The result is valid until the queue
// changes.
func (q *WaitQueue) Next(n int) []*Waiting { return q.waiting[:min(n, len(q.waiting))] }

// Place returns the number of requests ahead of one, -1 if it isn't in the queue.
func (q *WaitQueue) Place(w *Waiting) int {
	if w.seq == 0 {
		return -1
	}
	place, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	return place
}

// ExpectedWait returns the expected time until a number of requests have been sent from the
// queue, by the dispatches of the last seconds.
func (q *WaitQueue) ExpectedWait(requests int, now time.Time) time.Duration {
	q.advance(now)
	return q.drain.timeFor(requests)
}

// Remove removes a request that isn't sent. It returns false if the request isn't in the
// queue.
func (q *WaitQueue) Remove(w *Waiting, now time.Time) bool {
	q.advance(now)
	place := q.Place(w)
	if place < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, place, place+1)
	q.forget(w)
	return true
}

// Dispatched removes a request that is sent and learns the drain rate from it.
func (q *WaitQueue) Dispatched(w *Waiting, now time.Time) {
	q.Remove(w, now)
	q.drain.dispatches++
}

// SetLate marks a waiting request as late before OnTimeUntil, for one whose own prompt takes
// longer than was assumed.
func (q *WaitQueue) SetLate(w *Waiting) {
	if w.seq == 0 || w.late {
		return
	}
	w.late = true
	slices.SortFunc(q.waiting, compare)
}

// Expired removes and returns the requests whose wait has ended.
func (q *WaitQueue) Expired(now time.Time) []*Waiting {
	return q.removeIf(now, func(w *Waiting) bool { return !now.Before(w.Until) })
}

// Clear removes and returns all requests.
func (q *WaitQueue) Clear(now time.Time) []*Waiting {
	return q.removeIf(now, func(*Waiting) bool { return true })
}

// removeIf removes and returns the requests for which remove returns true.
func (q *WaitQueue) removeIf(now time.Time, remove func(*Waiting) bool) []*Waiting {
	q.advance(now)
	var removed []*Waiting
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiting) bool {
		if !remove(w) {
			return false
		}
		removed = append(removed, w)
		q.forget(w)
		return true
	})
	return removed
}

// forget updates the account of a request that was removed.
func (q *WaitQueue) forget(w *Waiting) {
	w.seq = 0
	w.account.requests--
	if w.account.requests == 0 {
		delete(q.accounts, w.Account)
	}
}

// SetUsed updates the used shares of all accounts in the queue; used returns that of an
// account, from 0 to 1.
func (q *WaitQueue) SetUsed(used func(account string) float64) {
	changed := false
	for name, a := range q.accounts {
		step := usedStep(used(name))
		changed = changed || step != a.step
		a.step = step
	}
	if changed {
		slices.SortFunc(q.waiting, compare)
	}
}

// setUsed updates the used share of an account if it has requests in the queue.
func (q *WaitQueue) setUsed(account string, used float64) {
	a := q.accounts[account]
	if a == nil || a.step == usedStep(used) {
		return
	}
	a.step = usedStep(used)
	slices.SortFunc(q.waiting, compare)
}

// usedStep returns a used share from 0 to 1 in steps.
func usedStep(used float64) int { return int(usedSteps * max(0, min(1, used))) }

// advance moves to a time, at which some requests may have become late.
func (q *WaitQueue) advance(now time.Time) {
	q.drain.advance(now, len(q.waiting) > 0)
	if q.nextLate.IsZero() || !now.After(q.nextLate) {
		return
	}
	q.nextLate = time.Time{}
	changed := false
	for _, w := range q.waiting {
		if !w.late && !w.canBeOnTime(now) {
			w.late, changed = true, true
		}
		q.expectLate(w)
	}
	if changed {
		slices.SortFunc(q.waiting, compare)
	}
}

// expectLate notes when a waiting request will become late.
func (q *WaitQueue) expectLate(w *Waiting) {
	if w.late || w.OnTimeUntil.IsZero() {
		return
	}
	if q.nextLate.IsZero() || w.OnTimeUntil.Before(q.nextLate) {
		q.nextLate = w.OnTimeUntil
	}
}
