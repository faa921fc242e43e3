package gateway

import (
	"time"

	"github.com/citrontiller/citrontiller/admit"
)

// waitEnd is how the wait of a request has ended: one of the values below or, for a request that
// did not enter the queue, its admit.NotQueued.
type waitEnd string

const (
	waitSent       waitEnd = "sent"
	waitExpired    waitEnd = "expired"
	waitEvicted    waitEnd = "evicted"
	waitClosing    waitEnd = "closing"
	waitCallerLeft waitEnd = "caller_left"
	waitNoEndpoint waitEnd = "no_endpoint"
)

// overload reports whether the request was refused because of the queue.
func (e waitEnd) overload() bool {
	switch e {
	case waitExpired, waitEvicted, waitEnd(admit.TooLate), waitEnd(admit.LongQueue), waitEnd(admit.QueueFull):
		return true
	}
	return false
}

// waiter is a waiting request.
type waiter struct {
	admit.Waiting
	// wake receives a value when the request has its turn or its wait has ended.
	wake chan struct{}
	// target is the request's target latency.
	target time.Duration
	// The following fields are guarded by serviceQueue.mu.

	// round is the last round in which the request had its turn.
	round uint64
	// heldUntil is the time before which the request has no turn since its account's quota is
	// not expected to have room.
	heldUntil time.Time
	// end is empty while the request waits.
	end waitEnd
	// drainedIn is the expected time until the queue has drained, at the end of the wait.
	drainedIn time.Duration
}

// shedClass has the properties of a request by which the load shedder decides. If it refuses a
// request in a round, others of the class have no turn in that round.
type shedClass struct {
	priority int
	target   time.Duration
	late     bool
}

func (w *waiter) class() shedClass { return shedClass{w.Priority, w.target, w.Late()} }

// notify wakes the request.
func (w *waiter) notify() {
	select {
	case w.wake <- struct{}{}:
	default: // it has not yet seen an earlier value
	}
}
