package admit

import (
	"sync"
	"time"
)

// Crest decides which requests are taken at the crest of a swing, when more
// arrives than the endpoints can start in time. A request whose answer would
// come too late to be of use is refused at once, so that those behind it are in
// time; the most urgent ones are refused last.
type LoadShedder struct {
	// Usual and Overload are the limits without and with a standing queue.
	Usual, Overload Limits
}

// Limits are expected waits from which requests are refused, in shares of their
// target latency: of the most urgent priority, and of all others.
type Limits struct{ Urgent, Other float64 }

// Takes reports whether a request with a priority (0 is the most urgent) is
// taken when it has to wait for a time. standing is true while the endpoints
// have a standing queue.
func (c LoadShedder) Admit(priority int, wait, target time.Duration, standing bool) bool {
	limits := c.Usual
	if standing {
		limits = c.Overload
	}
	share := limits.Other
	if priority == 0 {
		share = limits.Urgent
	}
	return target <= 0 || float64(wait) <= share*float64(target)
}

const (
	// standingWindow is the time in which not a single request found a usual wait
	// of less than standingWait when there is a standing queue. A burst that the
	// endpoints can absorb leaves gaps.
	standingWindow = 200 * time.Millisecond
	standingWait   = 50 * time.Millisecond
	// standingSamples is the least number of requests that tell.
	standingSamples = 2
)

// Standing finds out which services have a standing queue: one that does not
// drain between bursts, because more arrives than the endpoints can do. It is
// safe for concurrent use; the zero value is ready.
type StandingQueueDetector struct {
	mu     sync.Mutex
	queues map[string]*queueWindow
}

// queueWindow is what requests to a service have found lately.
type queueWindow struct {
	begun   time.Time
	least   time.Duration
	samples int
	// filled is true when the last whole window found a queue throughout.
	filled bool
	// present is what was last reported.
	present bool
}

// Observe takes the usual wait at a service's endpoints when a request came. It
// reports whether there is a standing queue, and whether that has changed.
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
	changed = present != q.present
	q.present = present
	return present, changed
}

func (q *queueWindow) observe(wait time.Duration, now time.Time) bool {
	if q.samples > 0 && now.Sub(q.begun) > standingWindow {
		q.filled = q.samples >= standingSamples && q.least > standingWait
		q.samples = 0
	}
	if q.samples == 0 {
		q.begun, q.least = now, wait
	}
	q.samples++
	q.least = min(q.least, wait)
	return q.filled && q.least > standingWait
}
