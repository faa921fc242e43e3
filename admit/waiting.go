package admit

import (
	"cmp"
	"time"
)

// Waiting is a request in a WaitQueue. Its exported fields are not changed after Add.
type Waiting struct {
	// Priority is that of the request's route; 0 is the most urgent.
	Priority int
	// Account is the name of the client account, empty for requests without one.
	Account string
	// LatestStart is the latest time at which the request can be sent and be answered before
	// its deadline.
	LatestStart time.Time
	// OnTimeUntil is the latest time at which the request can be sent and be answered within
	// its target latency. It is zero for requests without a target latency.
	OnTimeUntil time.Time
	// Until is when the wait ends, at LatestStart at the latest.
	Until time.Time

	account *waitingAccount
	// late is true for requests that can't be answered within their target latency any more,
	// or not by the expected wait at their arrival.
	late bool
	// seq is the order of arrival; it is 0 unless the request is in the queue.
	seq uint64
}

// Late reports whether the request waits behind those that can be answered within their target
// latency, because it can't be.
func (w *Waiting) Late() bool { return w.late }

// canBeOnTime reports whether a request that is sent now is within its target latency.
func (w *Waiting) canBeOnTime(now time.Time) bool {
	return w.OnTimeUntil.IsZero() || !now.After(w.OnTimeUntil)
}

// startBefore is the time by which the request must be sent to keep what it can: its target
// latency, or its deadline if it is late or has no target latency.
func (w *Waiting) startBefore() time.Time {
	if w.late || w.OnTimeUntil.IsZero() {
		return w.LatestStart
	}
	return w.OnTimeUntil
}

// NotQueued is the reason why a request doesn't enter a queue; empty if it does.
type NotQueued string

// Reasons why a request doesn't enter a queue.
const (
	// TooLate means that the request's longest wait is over, or that it would miss its deadline
	// even if it is sent now.
	TooLate NotQueued = "too_late"
	// LongQueue means that the expected wait exceeds the longest wait of the request, or did
	// so shortly before for a request that is no less urgent and can wait as long.
	LongQueue NotQueued = "long_queue"
	// QueueFull means that MaxWaiting requests wait, all of them ahead of this one.
	QueueFull NotQueued = "queue_full"
)

// Entry is the decision on a request that asks to wait.
type Entry struct {
	// Refused is the reason if the request doesn't wait.
	Refused NotQueued
	// Place is the number of requests ahead. Expected is the expected time until they are
	// sent or, if the request doesn't wait, until it would.
	Place    int
	Expected time.Duration
	// Evicted is the request that has lost its place to this one, nil if none has.
	Evicted *Waiting
}

// compare orders by priority, then requests that can be on time before those that are late,
// then by the account's used share, then by the time by which they must be sent.
func compare(a, b *Waiting) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), compareLate(a.late, b.late), cmp.Compare(a.account.step, b.account.step),
		a.startBefore().Compare(b.startBefore()), cmp.Compare(a.seq, b.seq))
}

// compareLate orders requests that can be on time before those that are late.
func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
