package admit

import "time"

const (
	// minSilence, silentTargets and silentGaps give the time after which callers abandon a
	// stream that shows no event: the longest of a minimum, this many target latencies, and
	// this many times the longest pause between events that the route aims at.
	minSilence    = 2 * time.Second
	silentTargets = 4
	silentGaps    = 8
	// callerWaitDivisor divides the time for which a caller waits to give the longest wait in
	// a queue: a caller that is refused then has time to be served elsewhere.
	callerWaitDivisor = 2
	// urgentDivisor divides the target latency of requests with priority 0 to give their
	// longest wait in a queue. With that of other requests, fewer are on time in a crest of
	// urgent requests (see docs/design/overload-queue.md).
	urgentDivisor = 2
)

// WaitLimit gives the longest wait of a request in a queue by what its caller tolerates.
type WaitLimit struct {
	// Priority is that of the request's route; 0 is the most urgent.
	Priority int
	// Target is the target latency. GapAim is the longest pause between two events that
	// the route aims at, 0 if there is none.
	Target, GapAim time.Duration
	// Stream is true if the response is a stream of events.
	Stream bool
}

// Longest returns the longest wait in a queue of a request that times out after left.
func (l WaitLimit) Longest(left time.Duration) time.Duration {
	if l.Stream {
		left = min(left, max(minSilence, silentTargets*l.Target, silentGaps*l.GapAim))
	}
	longest := left / callerWaitDivisor
	if l.Priority == 0 {
		longest = min(longest, l.Target/urgentDivisor)
	}
	return max(0, longest)
}
