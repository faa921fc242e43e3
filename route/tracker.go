package route

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/member"
)

const (
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
	backlog  backlog
	service  string
	memory   memory

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
	// notify is told of each event, nil for none.
	notify func(e Event)
	// paces are the observed paces of services.
	paces map[string]*pace
	// seq numbers the dispatches of this process.
	seq uint64
	// lookups spares a look-up of each endpoint's state per request.
	lookups map[string]lookup
	// round numbers the snapshots.
	round uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{placement: newPlacement(), endpoints: map[string]*endpointState{}, lengths: map[lengthKey]float64{},
		lookups: map[string]lookup{}, paces: map[string]*pace{}}
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
		out = append(out, Endpoint{Endpoint: members[i], Load: s.load, InFlight: s.inFlight, WaitMs: s.wait(r, now), BacklogMs: s.backlog.wait(math.MaxInt, now), KVUsedTokens: s.memory.tokens, CachedTokens: s.expected(t.round),
			Residual: s.residualNow(now), TokenMs: s.backlog.rate(), Ejected: s.ejection > 0, Probe: s.ejection > 0 && !now.Before(s.probeAt), RTT: s.rtt})
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
		l.states[i].service = service
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
func (t *Tracker) CrossRegionBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crossed
}

func (t *Tracker) state(id string) *endpointState {
	s, ok := t.endpoints[id]
	if !ok {
		s = &endpointState{id: id, residual: 1, backlog: backlog{tokenMs: assumedTokenMs}}
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
	if r.Load.PrefillTokensPerSecond > 0 {
		s.backlog.tokenMs = 1000 / r.Load.PrefillTokensPerSecond
	}
	s.backlog.slow(r.Load.Slowdown, now)
}

// wait returns the expected time until the endpoint begins a request, in
// milliseconds. A reported wait counts with what was sent since.
func (s *endpointState) wait(r *Request, now time.Time) float64 {
	w := max(s.backlog.wait(r.Rank, now), s.memory.wait(r.shared(), float64(r.Tokens), float64(s.load.KVCapacityTokens)))
	if s.load.Wait == 0 {
		return w
	}
	reported := max(0, ms(s.load.Wait)-ms(now.Sub(s.reported)))
	for _, a := range s.pending {
		if a.accepted.IsZero() || a.accepted.After(s.reported) {
			reported += a.costMs
		}
	}
	return max(w, reported)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
