package admit

import (
	"math"
	"time"
)

const (
	// drainMemory is the time over which a queue's drain rate is averaged.
	drainMemory = 2 * time.Second
	// minDrainSeconds is the busy time from which the rate is known, which an empty history
	// reaches after 0.86 s of waiting. At the start of an overload no request leaves the queue
	// before the endpoints have caught up with what they were sent before.
	minDrainSeconds = 0.7
)

// drainRate is the rate at which requests leave a queue for an endpoint, averaged over the
// time in which requests waited. The zero value knows nothing.
type drainRate struct {
	at time.Time
	// dispatches is the number of dispatches and busy the time in seconds in which requests
	// waited; both decay with drainMemory.
	dispatches, busy float64
}

// advance moves to a time. busy tells whether requests have waited since the last call.
func (d *drainRate) advance(now time.Time, busy bool) {
	elapsed := now.Sub(d.at).Seconds()
	if d.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	d.at = now
	memory := drainMemory.Seconds()
	kept := math.Exp(-elapsed / memory)
	d.dispatches *= kept
	d.busy *= kept
	if busy {
		d.busy += memory * (1 - kept)
	}
}

// timeFor returns the expected time for a number of dispatches, 0 if it isn't known. It counts
// one dispatch more than were seen, so that the time is finite before the first one.
func (d *drainRate) timeFor(n int) time.Duration {
	if d.busy < minDrainSeconds {
		return 0
	}
	return time.Duration(float64(n) * d.busy / (d.dispatches + 1) * float64(time.Second))
}
