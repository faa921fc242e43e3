package route

import (
	"cmp"
	"time"

	"github.com/citrontiller/citrontiller/prefix"
)

// crossRegionTransit is the assumed time until a request reaches an endpoint in
// another region: one one-way delay on an open connection, three if a connection has
// to be established, two on average.
const crossRegionTransit = 40 * time.Millisecond

// Attempt tracks one dispatch of a request to an endpoint. The caller reports its
// progress and ends it with End, Refused, Failed or Close.
type Attempt struct {
	tracker *Tracker
	state   *endpointState
	request *Request
	start   time.Time
	// accepted is when the agent accepted the request, zero before.
	accepted time.Time
	// predictedMs is the predicted time to first token in milliseconds.
	predictedMs float64
	// costMs is the expected prefill time in milliseconds.
	costMs float64
	seq    uint64
	// levelAges holds the ages of the request's levels at the endpoint before the
	// dispatch; see placement.ages.
	levelAges   []float64
	crossRegion bool
	firstToken  bool
	// published is true if other processes need the attempt's events. Requests without a
	// prompt have no effect on their choices unless the endpoint has a rate limit.
	published bool
	done      bool
}

// Dispatch records that a request is sent to an endpoint of its snapshot. The
// request's levels count as held by the endpoint from now on, so that concurrent
// requests with the same prefix go there too.
func (t *Tracker) Dispatch(r *Request, e *Endpoint, d Decision, now time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.ID)
	a := &Attempt{tracker: t, state: s, request: r, start: now, predictedMs: e.PredictedMs,
		crossRegion: e.Region != r.Region}
	uncached := e.UncachedTokens(r.Tokens)
	a.costMs = e.PrefillMs(uncached)
	t.observePrefill(r, uncached)
	a.levelAges = t.placement.ages(r.Levels, s, now)
	a.published = r.Tokens > 0 || s.rateLimiter.limited()
	s.rateLimiter.send(now)
	s.inFlight++
	s.pending = append(s.pending, a)
	if s.ejection > 0 {
		s.probeAt = now.Add(s.ejection)
	}
	if a.crossRegion {
		t.crossRegionBytes += r.Bytes
	}
	t.collectHoldings(r.shared(), s, now)
	t.placement.add(r.Levels, s, now)
	t.seq++
	a.seq = t.seq
	s.kv.add(a.key(), r.shared(), float64(r.Tokens), now)
	transit := time.Duration(0)
	if a.crossRegion {
		transit = crossRegionTransit
	}
	t.pacePrefill(s, a.key(), uncached, prediction{now, a.predictedMs})
	s.backlog.add(pendingPrefill{key: a.key(), rank: r.Rank, arrival: now.Add(transit), tokens: uncached}, now)
	a.emit(Event{Kind: Dispatched, Endpoint: s.id, Seq: a.seq, Levels: r.shared(), PromptTokens: r.Tokens, Rank: r.Rank, TransitTime: transit, UncachedTokens: uncached})
	return a
}

// observePrefill records the prompt tokens that a request has to compute. The caller
// must hold mu.
func (t *Tracker) observePrefill(r *Request, tokens float64) {
	if r.Tokens == 0 {
		return
	}
	usual, ok := t.usualPrefills[r.Service]
	if !ok {
		usual = tokens
	}
	t.usualPrefills[r.Service] = usual + usualPrefillWeight*(tokens-usual)
}

// emit passes an event of the attempt to the callback.
func (a *Attempt) emit(e Event) {
	if a.published {
		a.tracker.emit(e)
	}
}

// key returns the attempt's key in the endpoint's backlog and KV usage.
func (a *Attempt) key() dispatchKey { return dispatchKey{seq: a.seq} }

// ages returns the time since the last use of each level at the endpoint in
// nanoseconds, -1 if the endpoint isn't recorded as a holder.
func (p placement) ages(levels []prefix.Level, s *endpointState, now time.Time) []float64 {
	out := make([]float64, len(levels))
	for i, l := range levels {
		out[i] = -1
		holders, _ := p.levels.Peek(l.Hash)
		for j := range holders {
			if holders[j].state == s {
				out[i] = float64(now.Sub(holders[j].usedAt))
			}
		}
	}
	return out
}

// Accepted records that the agent accepted the request. cached is the number of
// cached prompt tokens that the agent expects, 0 when unknown.
func (a *Attempt) Accepted(cached int64, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.accepted = now
	if cached > 0 {
		a.costMs = min(a.costMs, prefillMs(a.state.load, max(0, float64(a.request.Tokens-cached))))
	}
}

func prefillMs(l Load, tokens float64) float64 { return (&Endpoint{Load: l}).PrefillMs(tokens) }

// Cached records the number of cached prompt tokens that the engine reported, and
// adjusts the learned block lifetime: a level that was not cached had been evicted
// within its age, one that was cached had survived it.
func (a *Attempt) Cached(tokens int64, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	s := a.state
	for i, l := range a.request.Levels {
		age := time.Duration(a.levelAges[i])
		if age < 0 || l.Tokens < prefix.PieceTokens/20 {
			continue
		}
		lifetime := s.lifetime()
		switch {
		case l.Tokens <= tokens+prefix.PieceTokens/4 && age > lifetime/2:
			lifetime += (2*age - lifetime) / 4
		case l.Tokens > tokens+prefix.PieceTokens/4 && age < 2*lifetime:
			lifetime += (max(minLifetime, age) - lifetime) / 4
		}
		s.learnedLifetime = max(minLifetime, lifetime)
	}
}

// FirstToken records the time of the first token. For a response that is not
// streamed, the first bytes don't show that time but only that the endpoint works.
func (a *Attempt) FirstToken(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.firstToken || a.done {
		return
	}
	a.firstToken = true
	if a.request.Stream {
		a.state.observe(ms(now.Sub(a.start)), a.predictedMs, now)
		a.tracker.observeServed(a.state, a.state.backlog.started(a.key(), now))
		a.tracker.paceStarted(a, now)
		a.emit(Event{Kind: Started, Endpoint: a.state.id, Seq: a.seq, Slowdown: a.state.load.Slowdown})
	}
	if a.state.ejection > 0 {
		a.tracker.beginPace(a.state, PaceEjection, now)
	}
	a.state.failures, a.state.ejection = 0, 0
	a.removePending()
}

// End records a complete response with its length in tokens, 0 when unknown, and the
// size of its body in bytes.
func (a *Attempt) End(outputTokens, bytes int64, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.crossRegion {
		a.tracker.crossRegionBytes += bytes
	}
	k := lengthKey{a.request.Service, a.request.Account}
	switch old, ok := a.tracker.outputLengths[k]; {
	case outputTokens <= 0:
	case ok:
		a.tracker.outputLengths[k] = old + outputWeight*(float64(outputTokens)-old)
	case len(a.tracker.outputLengths) < maxLengths:
		a.tracker.outputLengths[k] = float64(outputTokens)
	}
	a.finish(now)
}

// Refused records that the request was refused without being run. The endpoint does
// not hold the levels that the dispatch added.
func (a *Attempt) Refused(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.done {
		return
	}
	a.tracker.paceChanged(a.state, a.state.pace.refused(a.key(), a.start, now))
	a.dropAddedLevels()
	a.finish(now)
}

// Failed records a failure of the endpoint or its agent. The endpoint is ejected
// after a number of consecutive failures.
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
	a.tracker.paceChanged(s, s.pace.refused(a.key(), a.start, now))
	a.dropAddedLevels()
	a.finish(now)
}

// Close ends an attempt that the caller abandoned; it has no effect on an attempt
// that has ended. A first token that was already late raises the residual, because
// otherwise a straggler whose attempts lose to hedges would appear normal as soon as
// they are cancelled.
func (a *Attempt) Close(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if !a.done && !a.firstToken && a.request.Stream {
		waited := ms(now.Sub(a.start))
		if ratio(waited, a.predictedMs) > a.state.decayed(now) {
			a.state.observe(waited, a.predictedMs, now)
		}
	}
	a.finish(now)
}

// dropAddedLevels removes the endpoint from the holders of the levels that this
// attempt added, unless a first token has shown that they were computed.
func (a *Attempt) dropAddedLevels() {
	if a.firstToken || a.done {
		return
	}
	for i, l := range a.request.Levels {
		if a.levelAges[i] < 0 {
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
	a.state.pace.drop(a.key())
	a.state.kv.release(a.key(), now)
	a.emit(Event{Kind: Ended, Endpoint: a.state.id, Seq: a.seq})
	a.removePending()
}

func (a *Attempt) removePending() {
	p := a.state.pending
	for i := range p {
		if p[i] == a {
			a.state.pending = append(p[:i], p[i+1:]...)
			return
		}
	}
}
