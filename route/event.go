package route

import (
	"time"

	"github.com/citrontiller/citrontiller/prefix"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// Dispatched means that a request was sent to an endpoint.
	Dispatched EventKind = iota
	// Started means that the request's first token has arrived.
	Started
	// Ended means that the request is complete, has failed or was abandoned.
	Ended
)

// Event reports a step of a dispatched request to other processes.
type Event struct {
	Kind     EventKind
	Endpoint string
	// Seq is the sequence number of the dispatch in its process.
	Seq uint64
	// Levels are the shareable prefix levels of the prompt. Set for Dispatched.
	Levels []prefix.Level
	// PromptTokens is the length of the prompt. Set for Dispatched.
	PromptTokens int64
	// Rank is the request's priority at the endpoint; 0 goes first. Set for
	// Dispatched.
	Rank int
	// TransitTime is the time until the request reaches the endpoint. Set for
	// Dispatched.
	TransitTime time.Duration
	// UncachedTokens is the number of prompt tokens that the endpoint is expected to
	// compute. Set for Dispatched.
	UncachedTokens float64
	// Slowdown is the ratio of the endpoint's current time per token to the usual
	// one, 0 when unknown. Set for Started.
	Slowdown float64
}

// OnEvent sets the callback that receives each event of this process. f must not
// block or call the tracker.
func (t *Tracker) OnEvent(f func(e Event)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onEvent = f
}

// emit passes an event to the callback. The caller must hold mu.
func (t *Tracker) emit(e Event) {
	if t.onEvent != nil {
		t.onEvent(e)
	}
}

// ForgetSender removes the requests that another process has reported. It is called
// when the process is lost, because the end of its requests may not be reported.
func (t *Tracker) ForgetSender(sender string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.endpoints {
		s.backlog.dropSender(sender)
		s.pace.dropSender(sender)
		s.kv.releaseSender(sender, now)
	}
}

// ApplyRemoteEvent applies an event of another process. Events of endpoints that
// this process doesn't track are ignored.
func (t *Tracker) ApplyRemoteEvent(sender string, e Event, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[e.Endpoint]
	if s == nil {
		return
	}
	key := dispatchKey{sender, e.Seq}
	switch e.Kind {
	case Dispatched:
		s.rateLimiter.take(now)
		if e.PromptTokens == 0 {
			return
		}
		t.paceRemotePrefill(s, key, e, now) // predicts by the backlog without this request
		s.backlog.add(pendingPrefill{key: key, rank: e.Rank, arrival: now.Add(e.TransitTime), tokens: e.UncachedTokens}, now)
		s.kv.add(key, e.Levels, float64(e.PromptTokens), now)
		t.collectHoldings(e.Levels, s, now)
		t.placement.add(e.Levels, s, now)
	case Started:
		if e.Slowdown > 0 {
			s.load.Slowdown = e.Slowdown
			s.backlog.setSlowdown(e.Slowdown, now)
		}
		t.observeServed(s, s.backlog.started(key, now))
		t.paceRemoteStarted(s, key, now)
	case Ended:
		s.backlog.drop(key)
		t.paceRemoteEnded(s, key)
		s.kv.release(key, now)
	}
}
