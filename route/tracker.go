package route

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citrontiller/citrontiller/member"
)

const (
	// defaultEjectAfter is the default of Policy.EjectAfter.
	defaultEjectAfter = 3
	// defaultProbeInterval is the default of Policy.ProbeInterval.
	defaultProbeInterval = time.Second
	// maxEjection bounds the time between two probes, unless the configured time to
	// the first probe is longer.
	maxEjection = 30 * time.Second

	// outputWeight is the weight of a new output length in the moving average.
	outputWeight = 0.1
	// usualPrefillWeight is the weight of a new request in the moving average of prefills.
	usualPrefillWeight = 0.01
	// minLifetime is the lower bound of a learned block lifetime.
	minLifetime = 500 * time.Millisecond
	// maxLengths bounds the number of average output lengths, one per service and
	// client account. There are 380 client accounts and 35 models.
	maxLengths = 16 << 10
)

// Report is a load report of an endpoint with the round-trip time to its agent. Key
// identifies the report: a key that differs from the previous one indicates a new
// report. A nil key means that there is no report.
type Report struct {
	Key  any
	Load Load
	RTT  time.Duration
}

type lengthKey struct{ service, account string }

// Tracker maintains the state of endpoints that is observed from requests and load
// reports. It is safe for concurrent use. Callers pass the current time.
type Tracker struct {
	mu        sync.Mutex
	placement placement
	endpoints map[string]*endpointState
	// outputLengths holds the moving average of the length of responses in tokens.
	outputLengths map[lengthKey]float64
	// usualPrefills holds the moving average of the prompt tokens that requests have to
	// compute, by service.
	usualPrefills    map[string]float64
	crossRegionBytes int64
	// onEvent receives each event of this process; nil for none.
	onEvent func(e Event)
	// tokenTimes holds the estimated time per prompt token by service.
	tokenTimes map[string]*tokenTime
	// holdingRegion is the region whose holdings are collected, empty for none, and
	// holdingTimes is when each was last collected; see TakeHoldings.
	holdingRegion string
	holdingPart   Part
	holdings      []Holding
	holdingTimes  *lru.Cache[Holding, time.Time]
	// fleet is the gateways that share the endpoints' rate limits.
	fleet *Fleet
	// seq is the sequence number of the last dispatch of this process.
	seq uint64
	// serviceStates caches the endpoint states of each service's members, which saves
	// a map lookup per endpoint and request.
	serviceStates map[string]memberStates
	// snapshotSeq is the sequence number of the last snapshot.
	snapshotSeq uint64
	// pacing is nil if started endpoints take work at once.
	pacing *pacing
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{placement: newPlacement(), endpoints: map[string]*endpointState{}, outputLengths: map[lengthKey]float64{}, usualPrefills: map[string]float64{},
		serviceStates: map[string]memberStates{}, tokenTimes: map[string]*tokenTime{}, holdingTimes: newHoldingTimes(), fleet: loneFleet}
}

// Snapshot returns the candidates for a request with their state at the time now. It
// calls report for the current report of each member. It also sets the request's
// expected output length.
func (t *Tracker) Snapshot(r *Request, members []member.Endpoint, report func(member.Endpoint) Report, now time.Time) []Endpoint {
	for _, m := range members {
		t.Report(m.ID, report(m), now)
	}
	return t.AppendSnapshot(nil, r, members, nil, report, now)
}

// Report records a load report of an endpoint. A report with the same key as the
// previous one only updates the round-trip time.
func (t *Tracker) Report(id string, r Report, now time.Time) {
	t.mu.Lock()
	t.record(t.state(id), r, now)
	t.mu.Unlock()
}

// SetPause sets the time before which an endpoint wants no requests from this process; a
// time in the past means none.
func (t *Tracker) SetPause(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).pausedUntil = until
}

// AppendSnapshot is like Snapshot for endpoints whose reports are passed to Report as
// they arrive. It calls report only for endpoints without a report. The members must
// not be modified later. The candidates are appended to out, after them those of
// sampled, endpoints of other regions that are chosen anew for each request.
func (t *Tracker) AppendSnapshot(out []Endpoint, r *Request, members, sampled []member.Endpoint, report func(member.Endpoint) Report, now time.Time) []Endpoint {
	out = slices.Grow(out, len(members)+len(sampled))
	t.mu.Lock()
	defer t.mu.Unlock()
	states := t.statesOf(r.Service, members)
	if r.Policy.BlockLifetime > 0 {
		for _, s := range states {
			s.assumedLifetime = r.Policy.BlockLifetime
		}
	}
	t.snapshotSeq++
	t.placement.expect(r.Levels, now, t.snapshotSeq)
	r.OutputTokens = t.outputLengths[lengthKey{r.Service, r.Account}]
	r.UsualPrefillTokens = t.usualPrefills[r.Service]
	first, paced := len(out), false
	for i, s := range states {
		out = append(out, t.candidate(r, members[i], s, report, now))
		paced = paced || s.pace.opened()
	}
	for _, m := range sampled {
		e := t.candidate(r, m, t.state(m.ID), report, now)
		e.Sampled = true
		out = append(out, e)
		paced = paced || e.Paced
	}
	if paced {
		t.applyWindows(out[first:], now)
	}
	return out
}

// candidate returns an endpoint with its state. The caller must hold mu.
func (t *Tracker) candidate(r *Request, m member.Endpoint, s *endpointState, report func(member.Endpoint) Report, now time.Time) Endpoint {
	if s.reportKey == nil {
		t.record(s, report(m), now)
	}
	t.observePause(s, now)
	e := Endpoint{Endpoint: m, Load: s.load, InFlight: s.inFlight, WaitMs: s.wait(r, now), BacklogMs: s.lowestRankWait(now),
		KVUsedTokens: s.kvUsed(now), CachedTokens: s.expected(t.snapshotSeq), Residual: s.residualNow(now), TokenMs: s.backlog.currentTokenMs(),
		Ejected: s.ejection > 0, Probe: s.ejection > 0 && !now.Before(s.probeAt), PausedFor: max(0, s.pausedUntil.Sub(now)),
		RateLimitedFor: t.rateLimitedFor(s, m.Region, now), RateLimitUsed: s.rateLimiter.used(), RateLimited: s.rateLimiter.limited(), RTT: s.rtt}
	e.Load.WeightsVersion = s.load.versionOf(r.Model)
	if s.pace != nil {
		t.applyPace(r, &e, s, now)
	}
	return e
}

// memberStates holds the endpoint states of a service's members.
type memberStates struct {
	members []member.Endpoint
	states  []*endpointState
}

// statesOf returns the endpoint states of a service's members. They are cached until
// the slice of members is replaced.
func (t *Tracker) statesOf(service string, members []member.Endpoint) []*endpointState {
	if len(members) == 0 {
		return nil
	}
	l := t.serviceStates[service]
	if len(l.members) == len(members) && &l.members[0] == &members[0] {
		return l.states
	}
	l = memberStates{members, make([]*endpointState, len(members))}
	for i := range members {
		l.states[i] = t.state(members[i].ID)
		l.states[i].service, l.states[i].region, l.states[i].address = service, members[i].Region, members[i].Address
	}
	t.serviceStates[service] = l
	return l.states
}

// Prune removes endpoints that are no longer listed and have no requests in flight.
func (t *Tracker) Prune(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.endpoints {
		if !listed[id] && s.inFlight == 0 {
			delete(t.endpoints, id)
			clear(t.serviceStates)
		}
	}
}

// CrossRegionBytes returns the estimated number of bytes sent between regions.
func (t *Tracker) CrossRegionBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crossRegionBytes
}

// state returns an endpoint's state, which it creates if there is none. The caller
// must hold mu.
func (t *Tracker) state(id string) *endpointState {
	s, ok := t.endpoints[id]
	if !ok {
		s = &endpointState{id: id, residual: 1, backlog: backlog{tokenMs: defaultTokenMs}}
		t.endpoints[id] = s
	}
	return s
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
