package route

import (
	"time"

	"github.com/citrontiller/citrontiller/prefix"
)

// EventKind says what an event reports.
type EventKind uint8

// Kinds of events.
const (
	// Dispatched means that a request was sent to an endpoint.
	Dispatched EventKind = iota
	// Started means that its first token has come.
	Started
	// Ended means that its answer is complete, or that it has failed.
	Ended
)

// Event is a step in the course of a dispatched request, for other processes.
type Event struct {
	Kind     EventKind
	Endpoint string
	// Seq numbers the dispatches of a process.
	Seq uint64
	// Levels are the prompt's shared prefixes, of a dispatch.
	Levels []prefix.Level
	// Prompt is the length of the prompt in tokens, of a dispatch.
	PromptTokens int64
	// Rank is the request's priority at the endpoint, of a dispatch.
	Rank int
	// Travel is the time until the request reaches the endpoint, of a dispatch.
	TransitTime time.Duration
	// Tokens are the prompt's tokens that the endpoint is expected to compute, of a
	// dispatch.
	UncachedTokens float64
	// Slowdown is how much longer work takes than usual, of a start; 0 when unknown.
	Slowdown float64
}

// Notify makes the tracker tell f of each event of this process. f must not block
// or call the tracker.
func (t *Tracker) OnEvent(f func(e Event)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notify = f
}

// tell passes an event on; the caller holds mu.
func (t *Tracker) tell(e Event) {
	if t.notify != nil {
		t.notify(e)
	}
}

// Forget drops what another process has told of its requests: word of their end
// may not come any more.
func (t *Tracker) ForgetSender(sender string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.endpoints {
		s.backlog.forget(sender)
		s.memory.forget(sender, now)
	}
}

// Elsewhere takes an event of another process. Events of endpoints that aren't
// known here are ignored.
func (t *Tracker) ApplyRemoteEvent(sender string, e Event, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[e.Endpoint]
	if s == nil {
		return
	}
	key := workKey{sender, e.Seq}
	switch e.Kind {
	case Dispatched:
		s.backlog.add(work{key: key, rank: e.Rank, at: now.Add(e.TransitTime), tokens: e.UncachedTokens}, now)
		s.memory.take(key, e.Levels, float64(e.PromptTokens), now)
		t.placement.add(e.Levels, s, now)
	case Started:
		if e.Slowdown > 0 {
			s.load.Slowdown = e.Slowdown
			s.backlog.slow(e.Slowdown, now)
		}
		t.learn(s, s.backlog.started(key, now))
	case Ended:
		s.backlog.drop(key)
		s.memory.release(key, now)
	}
}
