package route

import (
	"cmp"
	"time"
)

// endpointState is the tracked state of one endpoint.
type endpointState struct {
	id string
	// region and address are set when the endpoint has been a candidate.
	region, address string
	// load is the last reported load, reportedAt the time of the report and reportKey
	// its Report.Key.
	load       Load
	reportedAt time.Time
	reportKey  any
	// pending holds this process's attempts without a first token, oldest first.
	pending  []*Attempt
	inFlight int64
	backlog  backlog
	service  string
	kv       kvUsage

	// residual is the value of Endpoint.Residual at the time residualAt, 1 before any
	// observation.
	residual   float64
	residualAt time.Time

	// failures is the number of consecutive failures. ejection is the time between two
	// probes of an ejected endpoint, 0 for any other; the next probe is due at probeAt.
	failures int
	ejection time.Duration
	probeAt  time.Time

	// pausedUntil is the time before which the endpoint wants no requests, zero for none.
	pausedUntil time.Time
	// paused is true if the endpoint was paused when it was last a candidate.
	paused      bool
	rateLimiter rateLimiter
	// pace is nil for an established endpoint.
	pace *pace
	// newestWeights is the newest version of each model's weights that the incarnation has
	// reported.
	newestWeights map[string]int64

	learnedLifetime time.Duration
	// assumedLifetime is the block lifetime from the service's policy, 0 for the
	// default.
	assumedLifetime time.Duration

	rtt time.Duration
	// summary is the last summary that another process sent, sentSummary the last that this
	// process returned for others.
	summary, sentSummary timedSummary
	// cachedTokens is the expected length of the cached prefix in the snapshot with
	// the number cachedSnapshot.
	cachedTokens   float64
	cachedSnapshot uint64
}

// addExpected adds expected cached tokens for a snapshot.
func (s *endpointState) addExpected(tokens float64, snapshot uint64) {
	if s.cachedSnapshot != snapshot {
		s.cachedTokens, s.cachedSnapshot = 0, snapshot
	}
	s.cachedTokens += tokens
}

// expected returns the expected number of cached tokens in a snapshot.
func (s *endpointState) expected(snapshot uint64) float64 {
	if s.cachedSnapshot != snapshot {
		return 0
	}
	return s.cachedTokens
}

// lifetime returns the reported block lifetime, otherwise the learned one, otherwise
// that of the policy or the default.
func (s *endpointState) lifetime() time.Duration {
	switch {
	case s.load.BlockLifetime > 0:
		return s.load.BlockLifetime
	case s.learnedLifetime > 0:
		return s.learnedLifetime
	default:
		return cmp.Or(s.assumedLifetime, defaultLifetime)
	}
}

// report records a load report; see Tracker.Report.
func (s *endpointState) report(r Report, now time.Time) {
	if r.RTT > 0 {
		s.rtt = r.RTT
	}
	if r.Key == nil || r.Key == s.reportKey {
		return
	}
	s.reportKey, s.load, s.reportedAt = r.Key, r.Load, now
	if r.Load.PrefillTokensPerSecond > 0 {
		s.backlog.tokenMs = 1000 / r.Load.PrefillTokensPerSecond
	}
	s.backlog.setSlowdown(r.Load.Slowdown, now)
}

// wait returns the expected time in milliseconds until the endpoint starts a request.
// To a reported wait it adds the cost of requests sent since the report.
func (s *endpointState) wait(r *Request, now time.Time) float64 {
	w := max(s.backlog.wait(r.Rank, now), s.kv.wait(r.shared(), float64(r.Tokens), float64(s.load.KVCapacityTokens)))
	w = max(w, s.summary.wait(now))
	if s.load.Wait == 0 {
		return w
	}
	reported := max(0, ms(s.load.Wait)-ms(now.Sub(s.reportedAt)))
	for _, a := range s.pending {
		if a.accepted.IsZero() || a.accepted.After(s.reportedAt) {
			reported += a.costMs
		}
	}
	return max(w, reported)
}
