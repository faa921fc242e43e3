package route

import (
	"cmp"
	"time"

	"github.com/citrontiller/citrontiller/prefix"
)

// remoteTravel is the time in which a request reaches an endpoint of another
// region: the way there, three times when a connection has to be made, and twice
// on the average.
const remoteTravel = 40 * time.Millisecond

// Attempt is one dispatched request, whose course the caller reports.
type Attempt struct {
	tracker   *Tracker
	state     *endpointState
	request   *Request
	start     time.Time
	accepted  time.Time
	predicted float64
	// costMs is the expected time to compute the prompt now.
	costMs float64
	// seq numbers the dispatch.
	seq    uint64
	held   []float64
	remote bool
	first  bool
	done   bool
}

// Dispatch records that a request goes to an endpoint of its snapshot. The
// levels count as held from now on, so that concurrent requests join it.
func (t *Tracker) Dispatch(r *Request, e *Endpoint, d Decision, now time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.ID)
	a := &Attempt{tracker: t, state: s, request: r, start: now, predicted: e.PredictedMs,
		remote: e.Region != r.Region}
	missing := max(0, float64(r.Tokens)-e.CachedTokens)
	a.costMs = e.PrefillMs(missing)
	a.held = t.placement.ages(r.Levels, s, now)
	s.inFlight++
	s.pending = append(s.pending, a)
	if s.ejection > 0 {
		s.probeAt = now.Add(s.ejection)
	}
	if a.remote {
		t.crossed += r.Bytes
	}
	t.placement.add(r.Levels, s, now)
	t.seq++
	a.seq = t.seq
	s.memory.take(a.key(), r.shared(), float64(r.Tokens), now)
	travel := time.Duration(0)
	if a.remote {
		travel = remoteTravel
	}
	s.backlog.add(work{key: a.key(), rank: r.Rank, at: now.Add(travel), tokens: missing}, now)
	t.tell(Event{Kind: Dispatched, Endpoint: s.id, Seq: a.seq, Levels: r.shared(), PromptTokens: r.Tokens, Rank: r.Rank, TransitTime: travel, UncachedTokens: missing})
	return a
}

// key names the attempt's work.
func (a *Attempt) key() workKey { return workKey{seq: a.seq} }

// ages returns the age of each level at the endpoint in nanoseconds, -1 when
// it isn't known to be there.
func (p placement) ages(levels []prefix.Level, s *endpointState, now time.Time) []float64 {
	out := make([]float64, len(levels))
	for i, l := range levels {
		out[i] = -1
		holders, _ := p.levels.Peek(l.Hash)
		for j := range holders {
			if holders[j].state == s {
				out[i] = float64(now.Sub(holders[j].at))
			}
		}
	}
	return out
}

// Accepted records the agent's acceptance. cached is its view of the cached
// tokens, 0 when unknown.
func (a *Attempt) Accepted(cached int64, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.accepted = now
	if cached > 0 {
		a.costMs = min(a.costMs, prefillMs(a.state.load, max(0, float64(a.request.Tokens-cached))))
	}
}

func prefillMs(l Load, tokens float64) float64 { return (&Endpoint{Load: l}).PrefillMs(tokens) }

// Cached records the engine's own count of cached tokens. It teaches the
// block lifetime: a level that was missing had been evicted within its age.
func (a *Attempt) Cached(tokens int64, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	s := a.state
	for i, l := range a.request.Levels {
		age := time.Duration(a.held[i])
		if age < 0 || l.Tokens < prefix.PieceTokens/20 {
			continue
		}
		life := s.lifetime()
		switch {
		case l.Tokens <= tokens+prefix.PieceTokens/4 && age > life/2:
			life += (2*age - life) / 4
		case l.Tokens > tokens+prefix.PieceTokens/4 && age < 2*life:
			life += (max(minLifetime, age) - life) / 4
		}
		s.learned = max(minLifetime, life)
	}
}

// FirstToken records the time of the first token. The first bytes of an
// answer that isn't streamed say nothing of it and only show a working endpoint.
func (a *Attempt) FirstToken(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.first || a.done {
		return
	}
	a.first = true
	if a.request.Stream {
		a.state.observe(ms(now.Sub(a.start)), a.predicted, now)
		a.tracker.learn(a.state, a.state.backlog.started(a.key(), now))
		a.tracker.tell(Event{Kind: Started, Endpoint: a.state.id, Seq: a.seq, Slowdown: a.state.load.Slowdown})
	}
	a.state.failures, a.state.ejection = 0, 0
	a.unqueue()
}

// End records a complete answer of a length in tokens, 0 when unknown, and
// the size of the response body.
func (a *Attempt) End(outputTokens, bytes int64, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.remote {
		a.tracker.crossed += bytes
	}
	k := lengthKey{a.request.Service, a.request.Account}
	switch old, ok := a.tracker.lengths[k]; {
	case outputTokens <= 0:
	case ok:
		a.tracker.lengths[k] = old + outputWeight*(float64(outputTokens)-old)
	case len(a.tracker.lengths) < maxLengths:
		a.tracker.lengths[k] = float64(outputTokens)
	}
	a.finish(now)
}

// Refused records a refusal without a run: the levels aren't there.
func (a *Attempt) Refused(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.forget()
	a.finish(now)
}

// Failed records a failure of the endpoint or its agent.
func (a *Attempt) Failed(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.done {
		return
	}
	s := a.state
	s.failures++
	p := a.request.Policy
	if s.failures >= cmp.Or(p.EjectAfter, defaultEjectAfter) {
		first := cmp.Or(p.ProbeInterval, defaultProbeInterval)
		s.ejection = min(max(maxEjection, first), max(first, 2*s.ejection))
		s.probeAt = now.Add(s.ejection)
	}
	a.forget()
	a.finish(now)
}

// Close ends an attempt that the caller gave up. A first token that was late
// by then still raises the residual: otherwise a straggler whose attempts lose
// to hedges would look normal as soon as they are cancelled.
func (a *Attempt) Close(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if !a.done && !a.first && a.request.Stream {
		waited := ms(now.Sub(a.start))
		if ratio(waited, a.predicted) > a.state.decayed(now) {
			a.state.observe(waited, a.predicted, now)
		}
	}
	a.finish(now)
}

// forget drops the levels that this attempt added.
func (a *Attempt) forget() {
	if a.first || a.done {
		return
	}
	for i, l := range a.request.Levels {
		if a.held[i] < 0 {
			a.tracker.placement.drop(l, a.state)
		}
	}
}

func (a *Attempt) finish(now time.Time) {
	if a.done {
		return
	}
	a.done = true
	a.state.inFlight--
	a.state.backlog.drop(a.key())
	a.state.memory.release(a.key(), now)
	a.tracker.tell(Event{Kind: Ended, Endpoint: a.state.id, Seq: a.seq})
	a.unqueue()
}

func (a *Attempt) unqueue() {
	p := a.state.pending
	for i := range p {
		if p[i] == a {
			a.state.pending = append(p[:i], p[i+1:]...)
			return
		}
	}
}
