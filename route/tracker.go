package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/prefix"
)

const (
	// residualUp and residualDown are the weights of a new observation. Rising
	// fast shows a straggler after one or two slow answers; falling slower
	// avoids returning to it after one fast answer.
	residualUp   = 0.5
	residualDown = 0.2
	// residualHalfLife returns an unused endpoint to normal, so that it is
	// tried again after a momentary slowdown.
	residualHalfLife = 2 * time.Second
	// maxResidual bounds the effect of one observation.
	maxResidual = 20
	// residualFloorMs is added to both sides of the ratio, so that jitter of a
	// few milliseconds in a short answer doesn't count as a straggler.
	residualFloorMs = 20

	// defaultEjectAfter is the number of consecutive failures that ejects an endpoint.
	defaultEjectAfter = 3
	// defaultProbeInterval is the time to the first probe.
	defaultProbeInterval = time.Second
	// maxEjection bounds the time between two probes, unless the first is later.
	maxEjection = 30 * time.Second

	// outputWeight is the weight of a new output length in the average.
	outputWeight = 0.1
	// minLifetime is the least learned block lifetime.
	minLifetime = 500 * time.Millisecond
	// maxLengths bounds the averages of output lengths; there are 380 client
	// accounts and 35 models.
	maxLengths = 16 << 10
)

type endpointState struct {
	id       string
	load     Load
	reported time.Time
	version  any
	pending  []*Attempt
	inFlight int64
	// elsewhere are the latest dispatches of other processes.
	elsewhere []work

	residual   float64
	residualAt time.Time

	failures int
	ejection time.Duration
	probeAt  time.Time

	learned time.Duration
	// assumed is the service's block lifetime, 0 for the default.
	assumed time.Duration

	rtt time.Duration
	// cached is the expected length of the cached prefix in snapshot round.
	cached float64
	round  uint64
}

// expect adds expected cached tokens in a snapshot.
func (s *endpointState) expect(tokens float64, round uint64) {
	if s.round != round {
		s.cached, s.round = 0, round
	}
	s.cached += tokens
}

// expected returns the expected cached tokens of a snapshot.
func (s *endpointState) expected(round uint64) float64 {
	if s.round != round {
		return 0
	}
	return s.cached
}

// lifetime returns the reported block lifetime, else the learned one.
func (s *endpointState) lifetime() time.Duration {
	switch {
	case s.load.BlockLifetime > 0:
		return s.load.BlockLifetime
	case s.learned > 0:
		return s.learned
	default:
		return cmp.Or(s.assumed, defaultLifetime)
	}
}

// Report is what the link to an agent says of an endpoint. Key identifies the
// report: a key that differs from the last one marks a new report.
type Report struct {
	Key  any
	Load Load
	RTT  time.Duration
}

type lengthKey struct{ service, account string }

// Tracker keeps what traffic has shown of the endpoints. It is safe for
// concurrent use. Times are passed in.
type Tracker struct {
	mu        sync.Mutex
	placement placement
	endpoints map[string]*endpointState
	lengths   map[lengthKey]float64
	crossed   int64
	// lookups spares a look-up of each endpoint's state per request.
	lookups map[string]lookup
	// round numbers the snapshots.
	round uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{placement: newPlacement(), endpoints: map[string]*endpointState{}, lengths: map[lengthKey]float64{},
		lookups: map[string]lookup{}}
}

// Snapshot returns the candidates for a request at a time, with the present
// report of each. It also fills in the request's expected output length.
func (t *Tracker) Snapshot(r *Request, members []member.Endpoint, report func(member.Endpoint) Report, now time.Time) []Endpoint {
	for _, m := range members {
		t.Report(m.ID, report(m), now)
	}
	return t.AppendSnapshot(nil, r, members, report, now)
}

// Report records what an endpoint's agent has said of it.
func (t *Tracker) Report(id string, r Report, now time.Time) {
	t.mu.Lock()
	t.state(id).report(r, now)
	t.mu.Unlock()
}

// AppendSnapshot is Snapshot for endpoints whose reports are passed to Report
// as they arrive. Only of an endpoint without a report is it asked for one. The
// members must not be changed later. The candidates are appended to out.
func (t *Tracker) AppendSnapshot(out []Endpoint, r *Request, members []member.Endpoint, report func(member.Endpoint) Report, now time.Time) []Endpoint {
	out = slices.Grow(out, len(members))
	t.mu.Lock()
	defer t.mu.Unlock()
	states := t.statesOf(r.Service, members)
	if r.Policy.BlockLifetime > 0 {
		for _, s := range states {
			s.assumed = r.Policy.BlockLifetime
		}
	}
	t.round++
	t.placement.expect(r.Levels, now, t.round)
	r.OutputTokens = t.lengths[lengthKey{r.Service, r.Account}]
	for i, s := range states {
		if s.version == nil {
			s.report(report(members[i]), now)
		}
		out = append(out, Endpoint{Endpoint: members[i], Load: s.load, InFlight: s.inFlight, WaitMs: s.wait(now), CachedTokens: s.expected(t.round),
			Residual: s.residualNow(now), Ejected: s.ejection > 0, Probe: s.ejection > 0 && !now.Before(s.probeAt), RTT: s.rtt})
	}
	return out
}

// lookup holds the states of a service's members.
type lookup struct {
	members []member.Endpoint
	states  []*endpointState
}

// statesOf returns the states of members, looked up when these have changed.
func (t *Tracker) statesOf(service string, members []member.Endpoint) []*endpointState {
	if len(members) == 0 {
		return nil
	}
	l := t.lookups[service]
	if len(l.members) == len(members) && &l.members[0] == &members[0] {
		return l.states
	}
	l = lookup{members, make([]*endpointState, len(members))}
	for i := range members {
		l.states[i] = t.state(members[i].ID)
	}
	t.lookups[service] = l
	return l.states
}

// Prune forgets endpoints that are no longer listed and have no requests.
func (t *Tracker) Prune(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.endpoints {
		if !listed[id] && s.inFlight == 0 {
			delete(t.endpoints, id)
			clear(t.lookups)
		}
	}
}

// CrossedBytes returns the estimated bytes sent between regions.
func (t *Tracker) CrossedBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crossed
}

func (t *Tracker) state(id string) *endpointState {
	s, ok := t.endpoints[id]
	if !ok {
		s = &endpointState{id: id, residual: 1}
		t.endpoints[id] = s
	}
	return s
}

func (s *endpointState) report(r Report, now time.Time) {
	if r.RTT > 0 {
		s.rtt = r.RTT
	}
	if r.Key == nil || r.Key == s.version {
		return
	}
	s.version, s.load, s.reported = r.Key, r.Load, now
}

// wait is the larger of two estimates: the reported wait, decayed by the time
// since, plus the own requests that the report can't include; and all own
// requests without a first token, because a zero report means unknown.
func (s *endpointState) wait(now time.Time) float64 {
	s.elsewhere = current(s.elsewhere, now)
	if len(s.pending) == 0 && len(s.elsewhere) == 0 && s.load.Wait == 0 {
		return 0
	}
	reported := max(0, ms(s.load.Wait)-ms(now.Sub(s.reported)))
	var own, unreported queued
	for _, a := range s.pending {
		if !a.request.Stream && ms(now.Sub(a.start)) > a.predicted {
			continue // its first token isn't seen; prefill should be over
		}
		w := work{a.start, a.costMs}
		own.add(w)
		if a.accepted.IsZero() || a.accepted.After(s.reported) {
			unreported.add(w)
		}
	}
	for _, w := range s.elsewhere {
		own.add(w)
		if w.start.After(s.reported) {
			unreported.add(w)
		}
	}
	return max(reported+unreported.rest(now), own.rest(now))
}

// queued sums prefill work in milliseconds.
type queued struct {
	total  float64
	oldest time.Time
}

func (q *queued) add(w work) {
	if q.total == 0 || w.start.Before(q.oldest) {
		q.oldest = w.start
	}
	q.total += w.costMs
}

// work is prefill work sent to an endpoint.
type work struct {
	start  time.Time
	costMs float64
}

// elsewhereAge is how long another process's dispatch counts as waiting work;
// its end isn't reported.
const elsewhereAge = 400 * time.Millisecond

// current returns the work that is recent enough to count.
func current(list []work, now time.Time) []work {
	i := 0
	for i < len(list) && now.Sub(list[i].start) > max(elsewhereAge, time.Duration(list[i].costMs*float64(time.Millisecond))) {
		i++
	}
	return list[i:]
}

// DispatchedElsewhere records that another process has sent a request to an
// endpoint, with the prompt's shared levels and the expected time to compute the
// rest in milliseconds. An endpoint that isn't known here is ignored.
func (t *Tracker) DispatchedElsewhere(id string, levels []prefix.Level, costMs float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[id]
	if s == nil {
		return
	}
	s.elsewhere = append(current(s.elsewhere, now), work{now, costMs})
	t.placement.add(levels, s, now)
}

// rest is the work left, as prefill has gone on since the oldest was sent.
func (q *queued) rest(now time.Time) float64 {
	if q.total == 0 {
		return 0
	}
	return max(0, q.total-ms(now.Sub(q.oldest)))
}

// residualNow returns the residual, or the ratio that the oldest request
// without a first token has reached, if that is larger: a straggler shows by
// what it has not answered.
func (s *endpointState) residualNow(now time.Time) float64 {
	residual := s.decayed(now)
	for _, a := range s.pending {
		if a.request.Stream {
			return max(residual, ratio(ms(now.Sub(a.start)), a.predicted))
		}
	}
	return residual
}

// ratio compares times to first token in milliseconds.
func ratio(observed, predicted float64) float64 {
	return min(maxResidual, (observed+residualFloorMs)/(predicted+residualFloorMs))
}

func (s *endpointState) decayed(now time.Time) float64 {
	if s.residual == 1 {
		return 1
	}
	age := float64(now.Sub(s.residualAt)) / float64(residualHalfLife)
	if s.residualAt.IsZero() || age < 0 {
		return s.residual
	}
	return 1 + (s.residual-1)/(1+age)
}

func (s *endpointState) observe(observedMs, predictedMs float64, now time.Time) {
	seen, current := ratio(observedMs, predictedMs), s.decayed(now)
	w := residualDown
	if seen > current {
		w = residualUp
	}
	s.residual, s.residualAt = max(1, current+w*(seen-current)), now
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Attempt is one dispatched request, whose course the caller reports.
type Attempt struct {
	tracker   *Tracker
	state     *endpointState
	request   *Request
	start     time.Time
	accepted  time.Time
	predicted float64
	costMs    float64
	held      []float64
	remote    bool
	first     bool
	done      bool
}

// Dispatch records that a request goes to an endpoint of its snapshot. The
// levels count as held from now on, so that concurrent requests join it.
func (t *Tracker) Dispatch(r *Request, e *Endpoint, d Decision, now time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.ID)
	a := &Attempt{tracker: t, state: s, request: r, start: now, predicted: e.PredictedMs,
		costMs: e.PrefillMs(max(0, float64(r.Tokens)-e.CachedTokens)), remote: e.Region != r.Region}
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
	return a
}

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

// CostMs returns the expected time to compute the prompt, in milliseconds.
func (a *Attempt) CostMs() float64 { return a.costMs }

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
	}
	a.state.failures, a.state.ejection = 0, 0
	a.unqueue()
}

// End records a complete answer of a length in tokens, 0 when unknown, and
// the size of the response body.
func (a *Attempt) End(outputTokens, bytes int64) {
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
	a.finish()
}

// Refused records a refusal without a run: the levels aren't there.
func (a *Attempt) Refused() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.forget()
	a.finish()
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
	a.finish()
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
	a.finish()
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

func (a *Attempt) finish() {
	if a.done {
		return
	}
	a.done = true
	a.state.inFlight--
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
