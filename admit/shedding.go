package admit

import (
	"sync"
	"time"
)

// LoadShedder decides which requests are admitted at peak load, when more
// requests arrive than the endpoints can start in time. A request that would miss
// its target latency by too much is refused immediately, so that later requests
// can meet theirs. The most urgent requests are refused last.
type LoadShedder struct {
	// Usual applies while there is no standing queue, Overload while there is one.
	Usual, Overload Limits
}

// Limits are the longest expected waits at which requests are admitted.
type Limits struct {
	// Urgent applies to priority 0, Other to all other priorities. Both are fractions
	// of the request's target latency.
	Urgent, Other float64
	// MaxOther bounds the wait that Other allows, whatever the target: a prompt that
	// waits at an engine occupies memory in which prefixes would be cached. 0 means
	// unbounded.
	MaxOther time.Duration
}

// wait returns the longest wait of a request with the given priority and target.
func (l Limits) wait(priority int, target time.Duration) time.Duration {
	if priority == 0 {
		return time.Duration(l.Urgent * float64(target))
	}
	limit := time.Duration(l.Other * float64(target))
	if l.MaxOther > 0 {
		limit = min(limit, l.MaxOther)
	}
	return limit
}

// Admit reports whether a request with the given priority (0 is the most urgent),
// expected wait and target latency is admitted. A target of 0 or less means that
// the request has none and is always admitted. standing is true while the
// endpoints have a standing queue.
func (c LoadShedder) Admit(priority int, wait, target time.Duration, standing bool) bool {
	limits := c.Usual
	if standing {
		limits = c.Overload
	}
	return target <= 0 || wait <= limits.wait(priority, target)
}

// maxWaitAfterQueue is the longest expected wait at an endpoint for which requests of other
// priorities than 0, and those that can't be on time, leave a queue. Urgent requests that can
// be, which pass the others, find short waits at the endpoints; the time between two turns in
// the queue is shorter still.
const maxWaitAfterQueue = 50 * time.Millisecond

// Timing is how long a request takes until its first event at an endpoint.
type Timing struct {
	// Elapsed is the time since the request's arrival.
	Elapsed time.Duration
	// Wait is the expected time until the endpoint starts the request.
	Wait time.Duration
	// FirstEvent is the expected time from then to the first event.
	FirstEvent time.Duration
}

// Late reports whether the request would exceed its target latency even without a wait.
func (t Timing) Late(target time.Duration) bool { return t.Elapsed+t.FirstEvent > target }

// Timely reports whether a request that can wait in a WaitQueue may be sent: one that would
// exceed its target latency after its wait makes those behind it late, too. late is what
// Waiting.Late returns. A late request is sent where there is hardly a wait.
func (t Timing) Timely(target time.Duration, late bool) bool {
	if target <= 0 {
		return true
	}
	if late || t.Late(target) {
		return t.Wait <= maxWaitAfterQueue
	}
	return t.Elapsed+t.Wait+t.FirstEvent <= target
}

// AdmitWaiting reports whether a request that waits in a WaitQueue is admitted; late is what
// Waiting.Late returns. The queue is a standing queue.
func (c LoadShedder) AdmitWaiting(priority int, t Timing, target time.Duration, late bool) bool {
	if priority != 0 && t.Wait > maxWaitAfterQueue {
		return false
	}
	return t.Timely(target, late) && c.Admit(priority, t.Wait, target, true)
}

const (
	// standingWindow is the length of an observation window. A queue is standing
	// when every request in a window observed a median wait above standingWait. A
	// burst that the endpoints can absorb leaves gaps with a shorter wait.
	standingWindow = 200 * time.Millisecond
	standingWait   = 50 * time.Millisecond
	// standingSamples is the minimum number of requests in a conclusive window.
	standingSamples = 2
)

// StandingQueueDetector detects which services have a standing queue: one that
// does not drain between bursts, because requests arrive faster than the
// endpoints can serve them. It is safe for concurrent use; the zero value is
// ready to use.
type StandingQueueDetector struct {
	mu     sync.Mutex
	queues map[string]*queueWindow
}

// queueWindow holds the waits observed in a service's current window.
type queueWindow struct {
	start   time.Time
	minWait time.Duration
	samples int
	// persistent is true when every request of the last complete window observed
	// a queue.
	persistent bool
	// reported is the last result of Observe.
	reported bool
}

// Observe records the median wait at a service's endpoints at the arrival of a
// request. It reports whether there is a standing queue, and whether that differs
// from the previous call for the service.
func (s *StandingQueueDetector) Observe(service string, wait time.Duration, now time.Time) (present, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queues == nil {
		s.queues = map[string]*queueWindow{}
	}
	q := s.queues[service]
	if q == nil {
		q = &queueWindow{}
		s.queues[service] = q
	}
	present = q.observe(wait, now)
	changed = present != q.reported
	q.reported = present
	return present, changed
}

func (q *queueWindow) observe(wait time.Duration, now time.Time) bool {
	if q.samples > 0 && now.Sub(q.start) > standingWindow {
		q.persistent = q.samples >= standingSamples && q.minWait > standingWait
		q.samples = 0
	}
	if q.samples == 0 {
		q.start, q.minWait = now, wait
	}
	q.samples++
	q.minWait = min(q.minWait, wait)
	return q.persistent && q.minWait > standingWait
}
